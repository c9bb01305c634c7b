package controller

import (
	"log/slog"
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/migration"
	"opaldale/internal/settings"
	"opaldale/internal/statesvc"
)

// MoveReport is what operators are shown of moves of running tasks.
type MoveReport struct {
	Node ident.NodeID       `json:"node"`
	Mode settings.Rebalance `json:"mode"`
	// Leads says that the node leads, and knows where each move stands. Another one shows
	// what the state service has on record of the jobs that are not over.
	Leads bool        `json:"leads"`
	Moves []MoveEntry `json:"moves"`
	// Truncated says that more is on record than is shown.
	Truncated bool `json:"truncated,omitempty"`
	// Error says why nothing is shown.
	Error string `json:"error,omitempty"`
}

// MoveEntry is one move.
type MoveEntry struct {
	Task          string          `json:"task"`
	Team          string          `json:"team,omitempty"`
	From          ident.MachineID `json:"from"`
	To            ident.MachineID `json:"to"`
	For           string          `json:"for,omitempty"`
	Source        string          `json:"source"`
	State         string          `json:"state"`
	Reason        string          `json:"reason,omitempty"`
	AgeS          float64         `json:"age_s"`
	ExpectedGainS float64         `json:"expected_gain_s"`
	CostS         float64         `json:"cost_s"`
	// RealisedGainS is the gain as it came about, for a move that has ended.
	RealisedGainS *float64 `json:"realised_gain_s,omitempty"`
}

// recordedState stands for the state of a move that another node carries out.
const recordedState = "recorded"

// MoveReport tells what this node knows of moves; reply is called once.
func (c *Controller) MoveReport(reply func(MoveReport)) {
	r := MoveReport{Node: c.set.Node, Mode: c.set.Tuning.Rebalance, Moves: []MoveEntry{}}
	if l := c.lead; l != nil && l.ready && l.mover != nil {
		r.Leads = true
		r.Moves = l.mover.entries(c.env.Now())
		reply(r)
		return
	}
	if !c.reads.take(c.env.Now(), 1) {
		r.Error = "too many questions at present"
		reply(r)
		return
	}
	c.env.Store(statesvc.Request{Op: statesvc.List, Prefix: migration.Prefix, Timeout: commitTime}, func(a statesvc.Response) {
		if a.Outcome != statesvc.OK {
			r.Error = errState.Error()
		}
		r.Truncated = a.Truncated
		for _, p := range a.KeyValues {
			r.Moves = append(r.Moves, recorded(p, c.env.WallMS())...)
		}
		reply(r)
	})
}

// recorded lists the moves of one key.
func recorded(p statesvc.KeyValue, nowMS int64) []MoveEntry {
	record, err := migration.ReadRecord(p.Value)
	if err != nil {
		slog.Error("unreadable record of moves", "path", p.Key, "err", err)
		return nil
	}
	job := ident.JobID(p.Key[len(migration.Prefix):])
	var out []MoveEntry
	for _, e := range record.Moves {
		age := time.Duration(max(0, nowMS-e.AtMS)) * time.Millisecond
		out = append(out, MoveEntry{
			Task:          ident.TaskID{Job: job, Index: e.Index}.String(),
			From:          e.From,
			To:            e.To,
			For:           e.BeneficiaryID,
			Source:        e.Purpose,
			State:         recordedState,
			AgeS:          age.Seconds(),
			ExpectedGainS: e.GainS,
			CostS:         e.CostS,
		})
	}
	return out
}

// entries lists the moves under way, and those that have ended of late.
func (m *mover) entries(now ident.MonotonicTime) []MoveEntry {
	out := []MoveEntry{}
	for _, x := range slices.Concat(m.table.Active(), m.table.Recent()) {
		e := MoveEntry{
			Task:          x.Task.String(),
			Team:          x.Team,
			From:          x.From,
			To:            x.To,
			For:           x.Beneficiary(),
			Source:        x.Purpose.String(),
			State:         x.State.String(),
			Reason:        x.Reason.String(),
			AgeS:          now.Sub(x.StartedAt).Seconds(),
			ExpectedGainS: x.Gain.Seconds(),
			CostS:         x.Cost.Seconds(),
		}
		if x.State.Ended() {
			gain := x.RealizedGain().Seconds()
			e.RealisedGainS = &gain
		}
		out = append(out, e)
	}
	return out
}

// counts fills in the counters of moves.
func (m *mover) counts(s *Snapshot) {
	s.MovesProposed, s.MoveGainSeconds = m.proposed, m.gain.Seconds()
	s.SlowMachines = m.slow
	s.MovesActive, s.MovesEnded = len(m.table.Active()), m.table.ByReason()
	s.MoveRealisedSeconds = m.table.TotalGain.Seconds()
	s.MovesHeldBack = map[string]uint64{}
	for why, n := range m.heldBack {
		if n > 0 {
			s.MovesHeldBack[restraint(why).String()] = n
		}
	}
	for _, w := range m.lead.workers.Sorted() {
		if w.HasReservation() {
			s.Reservations++
		}
	}
}
