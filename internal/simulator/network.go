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
func (sim *Simulation) deliver(from, to string, f func()) {
	c := sim.partitionBetween(from, to)
	if c == nil {
		if c = sim.directedPartition(from, to); c != nil {
			sim.blockedOneWay++
		}
	}
	if c != nil {
		if c.hold {
			c.held = append(c.held, f)
		}
		return
	}
	if sim.now < sim.inboundBlockedUntil[to] || sim.now < sim.outboundBlockedUntil[from] && strings.HasPrefix(to, "agent-") {
		return
	}
	d := time.Duration(200+sim.rng.IntN(3000)) * time.Microsecond
	oneIn := 200
	if strings.HasPrefix(to, "host-") {
		oneIn = 25 // commands that come late are what tokens are for
	}
	if sim.cfg.Faults && sim.now < ident.MonotonicTime(sim.cfg.ActiveDuration) && sim.rng.IntN(oneIn) == 0 {
		if sim.rng.IntN(2) == 0 {
			return
		}
		d = time.Duration(sim.rng.IntN(30_000)) * time.Millisecond
	}
	sim.schedule(d+sim.extraLatency(from, to), f)
}

func (sim *Simulation) partitionBetween(a, b string) *networkPartition {
	for _, k := range [][2]string{{a, b}, {b, a}, {a, "*"}, {b, "*"}, {a, partyGroup(b)}, {b, partyGroup(a)}} {
		if c := sim.partitions[k]; c != nil {
			return c
		}
	}
	if za, zb := sim.zoneOf(a), sim.zoneOf(b); za != zb {
		if c := sim.zonePartitions[za]; c != nil {
			return c
		}
		return sim.zonePartitions[zb]
	}
	return nil
}

// zoneOf returns the zone of a node or a machine, "" for what belongs to none.
func (sim *Simulation) zoneOf(name string) string {
	for _, n := range sim.nodes {
		if n.name == name {
			return n.zone
		}
	}
	if w := sim.workers[ident.MachineID(name)]; w != nil {
		return w.machine.zone
	}
	return ""
}

// partitionZone cuts a zone off from everything outside for a while.
func (sim *Simulation) partitionZone(zone string, hold bool, d time.Duration) {
	if sim.zonePartitions[zone] != nil {
		return
	}
	sim.logf("zone %s is cut off, hold=%v, for %v", zone, hold, d)
	c := &networkPartition{hold: hold}
	sim.zonePartitions[zone] = c
	sim.schedule(d, func() {
		delete(sim.zonePartitions, zone)
		sim.logf("zone %s is back", zone)
		sim.deliverHeld(c)
	})
}

// deliverHeld delivers what a cut has held, in order.
func (sim *Simulation) deliverHeld(c *networkPartition) {
	for i, f := range c.held {
		sim.schedule(time.Duration(i)*time.Microsecond, f)
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
func (sim *Simulation) disconnect(a, b string, hold bool, d time.Duration) {
	sim.addPartition(sim.partitions, a, b, "link", hold, d)
}

// addPartition breaks a link of a table for a while.
func (sim *Simulation) addPartition(table map[[2]string]*networkPartition, a, b, what string, hold bool, d time.Duration) {
	k := [2]string{a, b}
	if table[k] != nil {
		return
	}
	sim.logf("%s %s to %s is cut, hold=%v, for %v", what, a, b, hold, d)
	c := &networkPartition{hold: hold}
	table[k] = c
	sim.schedule(d, func() {
		delete(table, k)
		sim.logf("%s %s to %s heals", what, a, b)
		sim.deliverHeld(c)
	})
}

// directedPartition returns the break of a link in the direction from one party to another.
func (sim *Simulation) directedPartition(from, to string) *networkPartition {
	for _, k := range [][2]string{{from, to}, {from, "*"}, {"*", to}, {from, partyGroup(to)}, {partyGroup(from), to}} {
		if c := sim.directedPartitions[k]; c != nil {
			return c
		}
	}
	return nil
}

// disconnectOneWay breaks a link in one direction for a while: nothing that the first says comes to
// the second, requests and answers alike.
func (sim *Simulation) disconnectOneWay(from, to string, hold bool, d time.Duration) {
	sim.addPartition(sim.directedPartitions, from, to, "way", hold, d)
}

// flapLink breaks a link in one direction again and again, for down out of each period.
func (sim *Simulation) flapLink(from, to string, down, period, total time.Duration) {
	for at := time.Duration(0); at < total; at += period {
		sim.schedule(at, func() { sim.disconnectOneWay(from, to, false, down) })
	}
}

// forEachPeer calls f for each node but one.
func (sim *Simulation) forEachPeer(n *node, f func(*node)) {
	for _, o := range sim.nodes {
		if o != n {
			f(o)
		}
	}
}

// isolate cuts a node from the state service and the other nodes, not from workers and
// users.
func (sim *Simulation) isolate(n *node, hold bool, d time.Duration) {
	sim.disconnect(n.name, "state", hold, d)
	sim.forEachPeer(n, func(o *node) { sim.disconnect(n.name, o.name, hold, d) })
}

// call is a request with its answer; exec may answer at any time. done gets nil
// without an answer in time.
func (sim *Simulation) call(from, to string, timeout time.Duration, handle func(reply func(any)), done func(any)) {
	over := false
	finish := func(a any) {
		if !over {
			over = true
			done(a)
		}
	}
	sim.schedule(timeout, func() { finish(nil) })
	sim.deliver(from, to, func() {
		handle(func(a any) { sim.deliver(to, from, func() { finish(a) }) })
	})
}
