package simulator

import (
	"strings"
	"time"

	"opaldale/internal/ident"
)

// networkPartition is a broken link.
type networkPartition struct {
	hold bool
	held []func()
}

// deliver carries something from one party to another: after a short time, after
// a long one, or never.
func (w *Simulation) deliver(from, to string, f func()) {
	c := w.partitionBetween(from, to)
	if c == nil {
		if c = w.directedPartition(from, to); c != nil {
			w.blockedOneWay++
		}
	}
	if c != nil {
		if c.hold {
			c.held = append(c.held, f)
		}
		return
	}
	if w.now < w.inboundBlockedUntil[to] || w.now < w.outboundBlockedUntil[from] && strings.HasPrefix(to, "agent-") {
		return
	}
	d := time.Duration(200+w.rng.IntN(3000)) * time.Microsecond
	oneIn := 200
	if strings.HasPrefix(to, "host-") {
		oneIn = 25 // commands that come late are what tokens are for
	}
	if w.cfg.Faults && w.now < ident.MonotonicTime(w.cfg.ActiveDuration) && w.rng.IntN(oneIn) == 0 {
		if w.rng.IntN(2) == 0 {
			return
		}
		d = time.Duration(w.rng.IntN(30_000)) * time.Millisecond
	}
	w.schedule(d+w.extraLatency(from, to), f)
}

func (w *Simulation) partitionBetween(a, b string) *networkPartition {
	for _, k := range [][2]string{{a, b}, {b, a}, {a, "*"}, {b, "*"}, {a, partyGroup(b)}, {b, partyGroup(a)}} {
		if c := w.partitions[k]; c != nil {
			return c
		}
	}
	if za, zb := w.zoneOf(a), w.zoneOf(b); za != zb {
		if c := w.zonePartitions[za]; c != nil {
			return c
		}
		return w.zonePartitions[zb]
	}
	return nil
}

// zoneOf returns the zone of a node or a machine, "" for what belongs to none.
func (w *Simulation) zoneOf(name string) string {
	for _, n := range w.nodes {
		if n.name == name {
			return n.zone
		}
	}
	if k := w.workers[ident.MachineID(name)]; k != nil {
		return k.machine.zone
	}
	return ""
}

// partitionZone cuts a zone off from everything outside for a while.
func (w *Simulation) partitionZone(zone string, hold bool, d time.Duration) {
	if w.zonePartitions[zone] != nil {
		return
	}
	w.logf("zone %s is cut off, hold=%v, for %v", zone, hold, d)
	c := &networkPartition{hold: hold}
	w.zonePartitions[zone] = c
	w.schedule(d, func() {
		delete(w.zonePartitions, zone)
		w.logf("zone %s is back", zone)
		w.deliverHeld(c)
	})
}

// deliverHeld delivers what a cut has held, in order.
func (w *Simulation) deliverHeld(c *networkPartition) {
	for i, f := range c.held {
		w.schedule(time.Duration(i)*time.Microsecond, f)
	}
}

// machines stands for all machines, those to come as well, as one end of a cut.
const machines = "machines"

func partyGroup(name string) string {
	if strings.HasPrefix(name, "host-") {
		return machines
	}
	return ""
}

// disconnect breaks a link for a while; what was held is then delivered in order.
func (w *Simulation) disconnect(a, b string, hold bool, d time.Duration) {
	w.addPartition(w.partitions, a, b, "link", hold, d)
}

// addPartition breaks a link of a table for a while.
func (w *Simulation) addPartition(table map[[2]string]*networkPartition, a, b, what string, hold bool, d time.Duration) {
	k := [2]string{a, b}
	if table[k] != nil {
		return
	}
	w.logf("%s %s to %s is cut, hold=%v, for %v", what, a, b, hold, d)
	c := &networkPartition{hold: hold}
	table[k] = c
	w.schedule(d, func() {
		delete(table, k)
		w.logf("%s %s to %s heals", what, a, b)
		w.deliverHeld(c)
	})
}

// directedPartition returns the break of a link in the direction from one party to another.
func (w *Simulation) directedPartition(from, to string) *networkPartition {
	for _, k := range [][2]string{{from, to}, {from, "*"}, {"*", to}, {from, partyGroup(to)}, {partyGroup(from), to}} {
		if c := w.directedPartitions[k]; c != nil {
			return c
		}
	}
	return nil
}

// disconnectOneWay breaks a link in one direction for a while: nothing that the first says comes to
// the second, requests and answers alike.
func (w *Simulation) disconnectOneWay(from, to string, hold bool, d time.Duration) {
	w.addPartition(w.directedPartitions, from, to, "way", hold, d)
}

// flapLink breaks a link in one direction again and again, for down out of each period.
func (w *Simulation) flapLink(from, to string, down, period, total time.Duration) {
	for at := time.Duration(0); at < total; at += period {
		w.schedule(at, func() { w.disconnectOneWay(from, to, false, down) })
	}
}

// forEachPeer calls f for each node but one.
func (w *Simulation) forEachPeer(n *node, f func(*node)) {
	for _, o := range w.nodes {
		if o != n {
			f(o)
		}
	}
}

// isolate cuts a node from the state service and the other nodes, not from workers and
// users.
func (w *Simulation) isolate(n *node, hold bool, d time.Duration) {
	w.disconnect(n.name, "state", hold, d)
	w.forEachPeer(n, func(o *node) { w.disconnect(n.name, o.name, hold, d) })
}

// call is a request with its answer; exec may answer at any time. done gets nil
// without an answer in time.
func (w *Simulation) call(from, to string, timeout time.Duration, handle func(reply func(any)), done func(any)) {
	over := false
	finish := func(a any) {
		if !over {
			over = true
			done(a)
		}
	}
	w.schedule(timeout, func() { finish(nil) })
	w.deliver(from, to, func() {
		handle(func(a any) { w.deliver(to, from, func() { finish(a) }) })
	})
}
