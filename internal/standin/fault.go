package standin

import (
	"time"

	"opaldale/internal/ident"
)

// fault lets something go wrong, again and again until the calm.
func (w *World) fault() {
	if w.now > ident.MonotonicTime(w.cfg.Length) {
		return
	}
	sec := func(a, b int) time.Duration { return time.Duration(a+w.rng.IntN(b-a)) * time.Second }
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	for _, o := range w.nodes {
		if o.alive && o.ctl.Election().LeaseValid() && w.rng.IntN(2) == 0 {
			n = o
		}
	}
	hold := w.rng.IntN(2) == 0
	back := sec(2, 8)
	if w.rng.IntN(3) == 0 {
		back = 200 * time.Millisecond
	}
	k := w.anyWorker()
	kinds := 20
	if w.cfg.Meet {
		kinds = 35
	}
	if w.cfg.Links && w.rng.IntN(3) == 0 {
		w.oneWayFault(n)
		w.at(time.Duration(1000+w.rng.IntN(14_000))*time.Millisecond, w.fault)
		return
	}
	switch kind := w.rng.IntN(kinds); kind {
	case 0, 1:
		n.kill(back)
	case 2:
		for _, o := range w.nodes {
			o.kill(back)
		}
	case 3:
		w.logf("state service down")
		w.store.downUntil = w.now.Add(sec(3, 30))
	case 4:
		w.sever(n.name, "state", hold, sec(2, 20))
	case 5:
		w.sever(n.name, "*", hold, sec(3, 30))
	case 6:
		for _, o := range w.nodes {
			if o != n {
				w.sever(n.name, o.name, hold, sec(3, 20))
			}
		}
	case 7:
		w.sever(n.name, machines, hold, sec(5, 45))
	case 8, 9:
		if k != nil {
			w.sever(string(k.host), "*", hold, sec(3, 50))
		}
	case 10:
		if k != nil {
			k.hang(sec(3, 40))
		}
	case 11:
		w.cloud.wave(0.5)
	case 12:
		w.logf("state service refuses %s", n.name)
		w.store.refuses[n.name] = w.now.Add(sec(3, 20))
	case 13:
		w.logf("cloud trouble")
		w.cloud.downUntil = w.now.Add(sec(3, 20))
	case 14:
		if k != nil {
			w.logf("nothing reaches %s", k.host)
			w.deaf[string(k.host)] = w.now.Add(sec(3, 50))
		}
	case 15, 16:
		// Its workers still reach it.
		w.isolate(n, hold, sec(3, 40))
	case 17:
		if k != nil {
			k.restart()
		}
	case 19:
		n.freeze(sec(3, 45))
	case 18:
		w.cutZone(w.set.Zones[w.rng.IntN(2)], hold, sec(5, 60))
	default:
		w.meetingFault(kind, n, k)
	}
	pause := 14000
	if w.cfg.Meet {
		pause = 7000 // two or three at once
	}
	w.at(time.Duration(1000+w.rng.IntN(pause))*time.Millisecond, w.fault)
}

// meetingFault lets one of the operators' further troubles happen, which may meet others.
func (w *World) meetingFault(kind int, n *node, k *worker) {
	sec := func(a, b int) time.Duration { return time.Duration(a+w.rng.IntN(b-a)) * time.Second }
	spellOf := func(share float64) spell { return spell{share, w.now.Add(sec(5, 30))} }
	switch kind {
	case 20:
		w.lateWrites = spellOf(0.4)
	case 21:
		w.lostAnswers = spellOf(0.5)
	case 22:
		w.lateReports = spellOf(0.3)
	case 23:
		w.keepReports(0.3, sec(5, 30))
	case 24:
		w.slowState = spellOf(0.8)
	case 25:
		w.slowLinks = spellOf(0.7)
	case 26:
		w.heldOrders = spellOf(0.4)
	case 27:
		w.quickBoots = spellOf(1)
	case 28:
		w.lastMoment = spellOf(0.7)
	case 29:
		w.closeLooks = spellOf(1)
	case 30:
		if k != nil {
			w.silence(k, sec(3, 40))
		}
	case 31:
		w.cancelNow(1+w.rng.IntN(3), time.Duration(w.rng.IntN(2))*sec(2, 19))
	case 32:
		w.odd(w.now.Add(10 * time.Second))
	case 34:
		n.halts.spell = spellOf(0.01)
	case 33:
		// The leader alone is refused, then everybody for longer than cancel_s.
		if l := w.leader(); l != nil {
			w.store.refuses[l.name] = w.now.Add(14 * time.Second)
			w.at(sec(1, 5), func() { w.store.downUntil = w.now.Add(seconds(w.set.Workers.CancelS) + sec(1, 12)) })
		}
	}
}

// oneWayFault breaks one direction of a node's links, for a while or again and again.
func (w *World) oneWayFault(n *node) {
	o := w.nodes[w.rng.IntN(len(w.nodes))]
	ends := []string{"state", "cloud", machines}
	if o != n {
		ends = append(ends, o.name)
	}
	from, to := n.name, ends[w.rng.IntN(len(ends))]
	if w.rng.IntN(2) == 0 {
		from, to = to, from
	}
	whole := time.Duration(5+w.rng.IntN(40)) * time.Second
	if w.rng.IntN(2) == 0 {
		w.severWay(from, to, w.rng.IntN(3) == 0, whole)
		return
	}
	period := time.Duration(1000+w.rng.IntN(5000)) * time.Millisecond
	w.flap(from, to, period*time.Duration(3+w.rng.IntN(5))/10, period, whole)
}
