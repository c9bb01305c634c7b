package simulator

import (
	"time"

	"opaldale/internal/ident"
)

// injectFault lets something go wrong, again and again until the calm.
func (w *Simulation) injectFault() {
	if w.now > ident.MonotonicTime(w.cfg.ActiveDuration) {
		return
	}
	sec := func(a, b int) time.Duration { return time.Duration(a+w.rng.IntN(b-a)) * time.Second }
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	for _, o := range w.nodes {
		if o.alive && o.controller.Election().LeaseValid() && w.rng.IntN(2) == 0 {
			n = o
		}
	}
	hold := w.rng.IntN(2) == 0
	restartAfter := sec(2, 8)
	if w.rng.IntN(3) == 0 {
		restartAfter = 200 * time.Millisecond
	}
	k := w.anyWorker()
	kinds := 20
	if w.cfg.ConcurrentFaults {
		kinds = 35
	}
	if w.cfg.LinkMonitoring && w.rng.IntN(3) == 0 {
		w.injectOneWayFault(n)
		w.schedule(time.Duration(1000+w.rng.IntN(14_000))*time.Millisecond, w.injectFault)
		return
	}
	switch kind := w.rng.IntN(kinds); kind {
	case 0, 1:
		n.crash(restartAfter)
	case 2:
		for _, o := range w.nodes {
			o.crash(restartAfter)
		}
	case 3:
		w.logf("state service down")
		w.store.downUntil = w.now.Add(sec(3, 30))
	case 4:
		w.disconnect(n.name, "state", hold, sec(2, 20))
	case 5:
		w.disconnect(n.name, "*", hold, sec(3, 30))
	case 6:
		for _, o := range w.nodes {
			if o != n {
				w.disconnect(n.name, o.name, hold, sec(3, 20))
			}
		}
	case 7:
		w.disconnect(n.name, machines, hold, sec(5, 45))
	case 8, 9:
		if k != nil {
			w.disconnect(string(k.id), "*", hold, sec(3, 50))
		}
	case 10:
		if k != nil {
			k.hangFor(sec(3, 40))
		}
	case 11:
		w.cloud.reclaimSpot(0.5)
	case 12:
		w.logf("state service refuses %s", n.name)
		w.store.rejectUntil[n.name] = w.now.Add(sec(3, 20))
	case 13:
		w.logf("cloud trouble")
		w.cloud.downUntil = w.now.Add(sec(3, 20))
	case 14:
		if k != nil {
			w.logf("nothing reaches %s", k.id)
			w.inboundBlockedUntil[string(k.id)] = w.now.Add(sec(3, 50))
		}
	case 15, 16:
		// Its workers still reach it.
		w.isolate(n, hold, sec(3, 40))
	case 17:
		if k != nil {
			k.restart()
		}
	case 19:
		n.pauseFor(sec(3, 45))
	case 18:
		w.partitionZone(w.settings.Zones[w.rng.IntN(2)], hold, sec(5, 60))
	default:
		w.injectConcurrentFault(kind, n, k)
	}
	pause := 14000
	if w.cfg.ConcurrentFaults {
		pause = 7000 // two or three at once
	}
	w.schedule(time.Duration(1000+w.rng.IntN(pause))*time.Millisecond, w.injectFault)
}

// injectConcurrentFault lets one of the operators' further troubles happen, which may meet others.
func (w *Simulation) injectConcurrentFault(kind int, n *node, k *worker) {
	sec := func(a, b int) time.Duration { return time.Duration(a+w.rng.IntN(b-a)) * time.Second }
	window := func(share float64) faultWindow { return faultWindow{share, w.now.Add(sec(5, 30))} }
	switch kind {
	case 20:
		w.delayedWrites = window(0.4)
	case 21:
		w.droppedReplies = window(0.5)
	case 22:
		w.delayedHeartbeats = window(0.3)
	case 23:
		w.holdHeartbeatsForNextLeader(0.3, sec(5, 30))
	case 24:
		w.slowStore = window(0.8)
	case 25:
		w.slowLinks = window(0.7)
	case 26:
		w.delayedCommands = window(0.4)
	case 27:
		w.fastBoots = window(1)
	case 28:
		w.cancelAtCompletion = window(0.7)
	case 29:
		w.probeAfterAnswer = window(1)
	case 30:
		if k != nil {
			w.blockOutbound(k, sec(3, 40))
		}
	case 31:
		w.cancelRunning(1+w.rng.IntN(3), time.Duration(w.rng.IntN(2))*sec(2, 19))
	case 32:
		w.sendEdgeCaseRequests(w.now.Add(10 * time.Second))
	case 34:
		n.eventPause.window = window(0.01)
	case 33:
		// The leader alone is refused, then everybody for longer than cancel_s.
		if l := w.leader(); l != nil {
			w.store.rejectUntil[l.name] = w.now.Add(14 * time.Second)
			w.schedule(sec(1, 5), func() { w.store.downUntil = w.now.Add(seconds(w.settings.Workers.CancelS) + sec(1, 12)) })
		}
	}
}

// injectOneWayFault breaks one direction of a node's links, for a while or again and again.
func (w *Simulation) injectOneWayFault(n *node) {
	o := w.nodes[w.rng.IntN(len(w.nodes))]
	ends := []string{"state", "cloud", machines}
	if o != n {
		ends = append(ends, o.name)
	}
	from, to := n.name, ends[w.rng.IntN(len(ends))]
	if w.rng.IntN(2) == 0 {
		from, to = to, from
	}
	total := time.Duration(5+w.rng.IntN(40)) * time.Second
	if w.rng.IntN(2) == 0 {
		w.disconnectOneWay(from, to, w.rng.IntN(3) == 0, total)
		return
	}
	period := time.Duration(1000+w.rng.IntN(5000)) * time.Millisecond
	w.flapLink(from, to, period*time.Duration(3+w.rng.IntN(5))/10, period, total)
}
