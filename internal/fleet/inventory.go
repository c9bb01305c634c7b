package fleet

import (
	"log/slog"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

const (
	// minListInterval is the least time from one listing to the next.
	minListInterval = 5 * time.Second
	// listTimeout bounds the time for which the provider takes to respond to a listing request.
	listTimeout = 5 * time.Second
)

// inventory reconciles the machine table with the machines that the provider lists.
type inventory struct {
	cfg        *Config
	requester  *requester
	machines   *workers.Table
	terminator *terminator

	termStarted ident.MonotonicTime
	lastListed  ident.MonotonicTime
	inProgress  bool
}

func newInventory(cfg *Config, r *requester, machines *workers.Table, t *terminator) *inventory {
	now := r.port.Now()
	return &inventory{
		cfg:         cfg,
		requester:   r,
		machines:    machines,
		terminator:  t,
		termStarted: now,
		lastListed:  now.Add(-longAgo),
	}
}

// refresh begins a listing when one is due.
func (inv *inventory) refresh() {
	interval := max(minListInterval, settings.Seconds(inv.cfg.Cloud.ListLagS))
	if inv.inProgress || inv.requester.port.Now().Sub(inv.lastListed) < interval || !inv.requester.acquire() {
		return
	}
	inv.inProgress = true
	inv.listPage("")
}

// listPage requests one page of the listing, and the next ones until the listing is complete.
func (inv *inventory) listPage(startAfter ident.MachineID) {
	inv.requester.call(cloud.Request{Op: cloud.List, StartAfter: startAfter}, func(response cloud.Response) {
		if response.Outcome != cloud.OK {
			inv.finish()
			return
		}
		// The request of a page counts against the rate limit as well.
		inv.requester.limiter.charge()
		last := startAfter
		for _, listed := range response.Machines {
			last = listed.ID
			inv.reconcile(listed)
		}
		if response.Truncated && last > startAfter {
			inv.listPage(last)
			return
		}
		inv.finish()
	})
}

// finish ends a listing.
func (inv *inventory) finish() {
	inv.inProgress = false
	inv.lastListed = inv.requester.port.Now()
}

// reconcile adopts a listed machine that is not in the table, and terminates one that has failed.
func (inv *inventory) reconcile(listed cloud.ListedMachine) {
	w := inv.machines.Workers[listed.ID]
	if w == nil {
		if inv.mayBeStale() {
			return
		}
		w = inv.adopt(listed)
	}
	// Nothing runs on a failed machine, but only the confirmation of its termination proves that.
	if listed.Status == cloud.InstanceFailed {
		inv.terminator.terminate(w, workers.ReasonFailedToStart)
	}
}

// mayBeStale reports whether a listing may be older than this term. It may then show machines that
// the previous leader has terminated, which would count as requested capacity. A machine that exists
// is listed again, or its worker sends a heartbeat.
func (inv *inventory) mayBeStale() bool {
	return inv.requester.port.Now().Sub(inv.termStarted) < 2*settings.Seconds(inv.cfg.Cloud.ListLagS)+listTimeout
}

// adopt adds a listed machine to the table.
func (inv *inventory) adopt(listed cloud.ListedMachine) *workers.Worker {
	slog.Info("adopting unknown machine from cloud inventory",
		"machine", listed.ID, "status", listed.Status, "age_s", listed.AgeS)
	w := inv.machines.Add(workers.MachineInfo{
		ID:        listed.ID,
		Model:     listed.Model,
		Zone:      listed.Zone,
		Spot:      listed.Spot,
		CreatedAt: inv.requester.port.Now().Add(-settings.Seconds(listed.AgeS)),
	})
	if w.Addr == "" {
		w.Addr = listed.Addr
	}
	return w
}
