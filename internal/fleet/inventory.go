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
	// minListInterval is the shortest time between the end of a listing and the start of the next.
	minListInterval = 5 * time.Second
	// listTimeout is an upper bound on the provider's response time to a list request.
	listTimeout = 5 * time.Second
)

// inventory periodically reconciles the machine table with the provider's list of machines.
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

// refresh starts a listing if the last one is old enough and none is in progress.
func (inv *inventory) refresh() {
	interval := max(minListInterval, settings.Seconds(inv.cfg.Cloud.ListLagS))
	if inv.inProgress || inv.requester.port.Now().Sub(inv.lastListed) < interval || !inv.requester.acquire() {
		return
	}
	inv.inProgress = true
	inv.listPage("")
}

// listPage requests the page of the listing after a machine ID, and then all further pages.
func (inv *inventory) listPage(startAfter ident.MachineID) {
	inv.requester.call(cloud.Request{Op: cloud.List, StartAfter: startAfter}, func(response cloud.Response) {
		if response.Outcome != cloud.OK {
			inv.finish()
			return
		}
		// Each page is a request of its own, which counts towards the provider's rate limit.
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

// finish records the end of a listing.
func (inv *inventory) finish() {
	inv.inProgress = false
	inv.lastListed = inv.requester.port.Now()
}

// reconcile adds a listed machine to the table if it is missing, and terminates it if it has failed.
func (inv *inventory) reconcile(listed cloud.ListedMachine) {
	w := inv.machines.Workers[listed.ID]
	if w == nil {
		if inv.mayBeStale() {
			return
		}
		w = inv.adopt(listed)
	}
	// A failed machine should run nothing, but only the confirmation of its termination proves it.
	if listed.Status == cloud.InstanceFailed {
		inv.terminator.terminate(w, workers.ReasonFailedToStart)
	}
}

// mayBeStale reports whether a listing may describe a time before this term. Such a listing may contain
// machines that the previous leader has terminated, and these would count as booting capacity if they
// were adopted. Machines that do exist are listed again later, or send a heartbeat.
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
