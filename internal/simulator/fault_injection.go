package simulator

import (
	"time"

	"opaldale/internal/ident"
)

// injectFault lets something go wrong, again and again until the calm.
func (sim *Simulation) injectFault() {
	if sim.now > ident.MonotonicTime(sim.cfg.ActiveDuration) {
		return
	}
	sec := func(a, b int) time.Duration { return time.Duration(a+sim.rng.IntN(b-a)) * time.Second }
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	for _, o := range sim.nodes {
		if o.alive && o.controller.Election().LeaseValid() && sim.rng.IntN(2) == 0 {
			n = o
		}
	}
	hold := sim.rng.IntN(2) == 0
	restartAfter := sec(2, 8)
	if sim.rng.IntN(3) == 0 {
		restartAfter = 200 * time.Millisecond
	}
	w := sim.anyWorker()
	kinds := 20
	if sim.cfg.ConcurrentFaults {
		kinds = 35
	}
	if sim.cfg.LinkMonitoring && sim.rng.IntN(3) == 0 {
		sim.injectOneWayFault(n)
		sim.schedule(time.Duration(1000+sim.rng.IntN(14_000))*time.Millisecond, sim.injectFault)
		return
	}
	switch kind := sim.rng.IntN(kinds); kind {
	case 0, 1:
		n.crash(restartAfter)
	case 2:
		for _, o := range sim.nodes {
			o.crash(restartAfter)
		}
	case 3:
		sim.logf("state service down")
		sim.store.downUntil = sim.now.Add(sec(3, 30))
	case 4:
		sim.disconnect(n.name, "state", hold, sec(2, 20))
	case 5:
		sim.disconnect(n.name, "*", hold, sec(3, 30))
	case 6:
		for _, o := range sim.nodes {
			if o != n {
				sim.disconnect(n.name, o.name, hold, sec(3, 20))
			}
		}
	case 7:
		sim.disconnect(n.name, machines, hold, sec(5, 45))
	case 8, 9:
		if w != nil {
			sim.disconnect(string(w.id), "*", hold, sec(3, 50))
		}
	case 10:
		if w != nil {
			w.hangFor(sec(3, 40))
		}
	case 11:
		sim.cloud.reclaimSpot(0.5)
	case 12:
		sim.logf("state service refuses %s", n.name)
		sim.store.rejectUntil[n.name] = sim.now.Add(sec(3, 20))
	case 13:
		sim.logf("cloud trouble")
		sim.cloud.downUntil = sim.now.Add(sec(3, 20))
	case 14:
		if w != nil {
			sim.logf("nothing reaches %s", w.id)
			sim.inboundBlockedUntil[string(w.id)] = sim.now.Add(sec(3, 50))
		}
	case 15, 16:
		// Its workers still reach it.
		sim.isolate(n, hold, sec(3, 40))
	case 17:
		if w != nil {
			w.restart()
		}
	case 19:
		n.pauseFor(sec(3, 45))
	case 18:
		sim.partitionZone(sim.settings.Zones[sim.rng.IntN(2)], hold, sec(5, 60))
	default:
		sim.injectConcurrentFault(kind, n, w)
	}
	pause := 14000
	if sim.cfg.ConcurrentFaults {
		pause = 7000 // two or three at once
	}
	sim.schedule(time.Duration(1000+sim.rng.IntN(pause))*time.Millisecond, sim.injectFault)
}

// injectConcurrentFault lets one of the operators' further troubles happen, which may meet others.
func (sim *Simulation) injectConcurrentFault(kind int, n *node, w *worker) {
	sec := func(a, b int) time.Duration { return time.Duration(a+sim.rng.IntN(b-a)) * time.Second }
	window := func(share float64) faultWindow { return faultWindow{share, sim.now.Add(sec(5, 30))} }
	switch kind {
	case 20:
		sim.delayedWrites = window(0.4)
	case 21:
		sim.droppedReplies = window(0.5)
	case 22:
		sim.delayedHeartbeats = window(0.3)
	case 23:
		sim.holdHeartbeatsForNextLeader(0.3, sec(5, 30))
	case 24:
		sim.slowStore = window(0.8)
	case 25:
		sim.slowLinks = window(0.7)
	case 26:
		sim.delayedCommands = window(0.4)
	case 27:
		sim.fastBoots = window(1)
	case 28:
		sim.cancelAtCompletion = window(0.7)
	case 29:
		sim.probeAfterAnswer = window(1)
	case 30:
		if w != nil {
			sim.blockOutbound(w, sec(3, 40))
		}
	case 31:
		sim.cancelRunning(1+sim.rng.IntN(3), time.Duration(sim.rng.IntN(2))*sec(2, 19))
	case 32:
		sim.sendEdgeCaseRequests(sim.now.Add(10 * time.Second))
	case 34:
		n.eventPause.window = window(0.01)
	case 33:
		// The leader alone is refused, then everybody for longer than cancel_s.
		if l := sim.leader(); l != nil {
			sim.store.rejectUntil[l.name] = sim.now.Add(14 * time.Second)
			sim.schedule(sec(1, 5), func() { sim.store.downUntil = sim.now.Add(seconds(sim.settings.Workers.CancelS) + sec(1, 12)) })
		}
	}
}

// injectOneWayFault breaks one direction of a node's links, for a while or again and again.
func (sim *Simulation) injectOneWayFault(n *node) {
	o := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	ends := []string{"state", "cloud", machines}
	if o != n {
		ends = append(ends, o.name)
	}
	from, to := n.name, ends[sim.rng.IntN(len(ends))]
	if sim.rng.IntN(2) == 0 {
		from, to = to, from
	}
	total := time.Duration(5+sim.rng.IntN(40)) * time.Second
	if sim.rng.IntN(2) == 0 {
		sim.disconnectOneWay(from, to, sim.rng.IntN(3) == 0, total)
		return
	}
	period := time.Duration(1000+sim.rng.IntN(5000)) * time.Millisecond
	sim.flapLink(from, to, period*time.Duration(3+sim.rng.IntN(5))/10, period, total)
}
