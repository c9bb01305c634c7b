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
func (v *inventory) refresh() {
	interval := max(minListInterval, settings.Seconds(v.cfg.Cloud.ListLagS))
	if v.inProgress || v.requester.port.Now().Sub(v.lastListed) < interval || !v.requester.acquire() {
		return
	}
	v.inProgress = true
	v.listPage("")
}

// listPage requests one page of the listing, and the next ones until the listing is complete.
func (v *inventory) listPage(startAfter ident.MachineID) {
	v.requester.call(cloud.Request{Op: cloud.List, StartAfter: startAfter}, func(response cloud.Response) {
		if response.Outcome != cloud.OK {
			v.finish()
			return
		}
		// The request of a page counts against the rate limit as well.
		v.requester.limiter.charge()
		last := startAfter
		for _, listed := range response.Machines {
			last = listed.ID
			v.reconcile(listed)
		}
		if response.Truncated && last > startAfter {
			v.listPage(last)
			return
		}
		v.finish()
	})
}

// finish ends a listing.
func (v *inventory) finish() {
	v.inProgress = false
	v.lastListed = v.requester.port.Now()
}

// reconcile adopts a listed machine that is not in the table, and terminates one that has failed.
func (v *inventory) reconcile(listed cloud.ListedMachine) {
	w := v.machines.Workers[listed.ID]
	if w == nil {
		if v.mayBeStale() {
			return
		}
		w = v.adopt(listed)
	}
	// Nothing runs on a failed machine, but only the confirmation of its termination proves that.
	if listed.Status == cloud.InstanceFailed {
		v.terminator.terminate(w, workers.ReasonFailedToStart)
	}
}

// mayBeStale reports whether a listing may be older than this term. It may then show machines that
// the previous leader has terminated, which would count as requested capacity. A machine that exists
// is listed again, or its worker sends a heartbeat.
func (v *inventory) mayBeStale() bool {
	return v.requester.port.Now().Sub(v.termStarted) < 2*settings.Seconds(v.cfg.Cloud.ListLagS)+listTimeout
}

// adopt adds a listed machine to the table.
func (v *inventory) adopt(listed cloud.ListedMachine) *workers.Worker {
	slog.Info("adopting unknown machine from cloud inventory",
		"machine", listed.ID, "status", listed.Status, "age_s", listed.AgeS)
	w := v.machines.Add(workers.MachineInfo{
		ID:        listed.ID,
		Model:     listed.Model,
		Zone:      listed.Zone,
		Spot:      listed.Spot,
		CreatedAt: v.requester.port.Now().Add(-settings.Seconds(listed.AgeS)),
	})
	if w.Addr == "" {
		w.Addr = listed.Addr
	}
	return w
}
