package workers

import (
	"log/slog"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// handleUnknownMachine responds to a heartbeat from an unknown machine. The heartbeat may be a delayed
// duplicate from a terminated machine, so the worker is probed and the machine added only if it responds.
func (tb *Table) handleUnknownMachine(heartbeat *api.Heartbeat) *api.HeartbeatResponse {
	if heartbeat.FencingToken.Term() > tb.cfg.Term {
		tb.cfg.OnLaterTerm()
		return nil
	}
	token := ident.MakeFencingToken(tb.cfg.Term, 0)
	if !tb.probedUnknown[heartbeat.MachineID] && len(tb.probedUnknown) < tb.unknownProbeLimit() {
		tb.probeUnknownMachine(heartbeat, token)
	}
	return &api.HeartbeatResponse{FencingToken: token, Commands: []api.Command{}}
}

// probeUnknownMachine sends a command call without commands to the sender of a heartbeat. The response
// carries the worker's current heartbeat.
func (tb *Table) probeUnknownMachine(heartbeat *api.Heartbeat, token ident.FencingToken) {
	tb.probedUnknown[heartbeat.MachineID] = true
	call := CommandCall{
		Addr: heartbeat.Addr,
		Zone: heartbeat.Zone,
		Body: api.CommandRequest{
			FencingToken: token,
			Incarnation:  heartbeat.Incarnation,
			Commands:     []api.Command{},
		},
	}
	tb.port.Worker(call, func(result CommandResult) { tb.handleUnknownProbe(heartbeat, result) })
}

// handleUnknownProbe adds an unknown machine if its worker has responded to the probe.
func (tb *Table) handleUnknownProbe(heartbeat *api.Heartbeat, result CommandResult) {
	if tb.closed {
		return
	}
	delete(tb.probedUnknown, heartbeat.MachineID)
	if result.Heartbeat == nil || result.Heartbeat.MachineID != heartbeat.MachineID {
		return
	}
	slog.Info("unknown machine registered", "machine", string(heartbeat.MachineID))
	w := tb.Add(MachineInfo{
		ID:        heartbeat.MachineID,
		Model:     heartbeat.Model,
		Zone:      heartbeat.Zone,
		Spot:      heartbeat.Spot,
		CreatedAt: tb.port.Now(),
	})
	if w.State != Terminated {
		tb.applyCommandResponse(w, result.Heartbeat)
	}
}

// The number of unknown machines that are probed concurrently is limited to the larger of
// minUnknownProbes and the fleet size divided by unknownProbesDivisor.
const (
	minUnknownProbes     = 100
	unknownProbesDivisor = 10
)

func (tb *Table) unknownProbeLimit() int {
	return max(minUnknownProbes, len(tb.sorted)/unknownProbesDivisor)
}
