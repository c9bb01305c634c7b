package simulator

import (
	"strings"
	"time"

	"opaldale/internal/ident"
)

// The parties between which messages pass, beside nodes and machines, which are parties by their names.
const (
	storeParty      = "state"
	cloudParty      = "cloud"
	usersParty      = "users"
	duplicatesParty = "copies" // sends duplicates of heartbeats
	// machines is all machines, including later ones, as one end of a link.
	machines = "machines"
	// anyParty is everybody, as one end of a link.
	anyParty = "*"

	nodePrefix    = "agent-"
	machinePrefix = "host-"
)

// link is a link from one party to another.
type link struct{ from, to string }

// networkPartition is a fault of a link or of a zone's links while it lasts.
type networkPartition struct {
	hold bool     // messages are delivered when the fault ends, in order, not dropped
	held []func() // deliveries that wait for that
}

// networkFaults has the faults of the network at present.
type networkFaults struct {
	partitions           map[link]*networkPartition // of both directions of a link
	directedPartitions   map[link]*networkPartition // of one direction
	zonePartitions       map[string]*networkPartition
	inboundBlockedUntil  map[string]ident.MonotonicTime // machines that receive nothing until then
	outboundBlockedUntil map[string]ident.MonotonicTime // machines from which nothing reaches nodes until then
	// blockedOneWay counts the messages that did not pass a link broken in one direction.
	blockedOneWay int
}

func newNetworkFaults() networkFaults {
	return networkFaults{
		partitions:           map[link]*networkPartition{},
		directedPartitions:   map[link]*networkPartition{},
		zonePartitions:       map[string]*networkPartition{},
		inboundBlockedUntil:  map[string]ident.MonotonicTime{},
		outboundBlockedUntil: map[string]ident.MonotonicTime{},
	}
}

// deliver carries a message from one party to another: normally within milliseconds, under faults late or never.
func (sim *Simulation) deliver(from, to string, receive func()) {
	if p := sim.partitionOf(from, to); p != nil {
		if p.hold {
			p.held = append(p.held, receive)
		}
		return
	}
	if sim.now < sim.inboundBlockedUntil[to] || sim.now < sim.outboundBlockedUntil[from] && isNode(to) {
		return
	}
	latency := time.Duration(200+sim.rng.IntN(3000)) * time.Microsecond
	oneIn := 200
	if isMachine(to) {
		oneIn = 25 // late commands are what fencing tokens protect against
	}
	if sim.cfg.Faults && sim.now < ident.MonotonicTime(sim.cfg.ActiveDuration) && sim.rng.IntN(oneIn) == 0 {
		if sim.rng.IntN(2) == 0 {
			return
		}
		latency = time.Duration(sim.rng.IntN(30_000)) * time.Millisecond
	}
	sim.schedule(latency+sim.extraLatency(from, to), receive)
}

// partitionOf returns the fault that keeps messages from one party from another, nil if there is none. It counts those
// held up by a fault of one direction.
func (sim *Simulation) partitionOf(from, to string) *networkPartition {
	if p := sim.partitionBetween(from, to); p != nil {
		return p
	}
	p := sim.directedPartition(from, to)
	if p != nil {
		sim.blockedOneWay++
	}
	return p
}

// partitionBetween returns the fault of both directions between two parties, nil if there is none.
func (sim *Simulation) partitionBetween(a, b string) *networkPartition {
	for _, l := range []link{{a, b}, {b, a}, {a, anyParty}, {b, anyParty}, {a, partyGroup(b)}, {b, partyGroup(a)}} {
		if p := sim.partitions[l]; p != nil {
			return p
		}
	}
	zoneA, zoneB := sim.zoneOf(a), sim.zoneOf(b)
	if zoneA == zoneB {
		return nil
	}
	if p := sim.zonePartitions[zoneA]; p != nil {
		return p
	}
	return sim.zonePartitions[zoneB]
}

// directedPartition returns the fault of a link in the direction from one party to another, nil if there is none.
func (sim *Simulation) directedPartition(from, to string) *networkPartition {
	for _, l := range []link{{from, to}, {from, anyParty}, {anyParty, to}, {from, partyGroup(to)}, {partyGroup(from), to}} {
		if p := sim.directedPartitions[l]; p != nil {
			return p
		}
	}
	return nil
}

// zoneOf returns the zone of a node or a machine, "" for any other party.
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

func isNode(party string) bool { return strings.HasPrefix(party, nodePrefix) }

func isMachine(party string) bool { return strings.HasPrefix(party, machinePrefix) }

// partyGroup returns the end of a link that a party belongs to, "" if it belongs to none.
func partyGroup(party string) string {
	if isMachine(party) {
		return machines
	}
	return ""
}

// partitionZone separates a zone from everything outside for d.
func (sim *Simulation) partitionZone(zone string, hold bool, d time.Duration) {
	if sim.zonePartitions[zone] != nil {
		return
	}
	sim.logf("zone %s partitioned, hold=%v, for %v", zone, hold, d)
	p := &networkPartition{hold: hold}
	sim.zonePartitions[zone] = p
	sim.schedule(d, func() {
		delete(sim.zonePartitions, zone)
		sim.logf("zone %s healed", zone)
		sim.deliverHeld(p)
	})
}

// deliverHeld delivers the messages held during a fault, in order.
func (sim *Simulation) deliverHeld(p *networkPartition) {
	for i, receive := range p.held {
		sim.schedule(time.Duration(i)*time.Microsecond, receive)
	}
}

// disconnect breaks both directions of a link for d.
func (sim *Simulation) disconnect(a, b string, hold bool, d time.Duration) {
	sim.addPartition(sim.partitions, link{a, b}, hold, d)
}

// disconnectOneWay breaks one direction of a link for d, for requests and replies alike.
func (sim *Simulation) disconnectOneWay(from, to string, hold bool, d time.Duration) {
	sim.addPartition(sim.directedPartitions, link{from, to}, hold, d)
}

// addPartition breaks a link of a table for d. A link that is broken already stays as it is.
func (sim *Simulation) addPartition(table map[link]*networkPartition, l link, hold bool, d time.Duration) {
	if table[l] != nil {
		return
	}
	sim.logf("link %s to %s broken, hold=%v, for %v", l.from, l.to, hold, d)
	p := &networkPartition{hold: hold}
	table[l] = p
	sim.schedule(d, func() {
		delete(table, l)
		sim.logf("link %s to %s healed", l.from, l.to)
		sim.deliverHeld(p)
	})
}

// flapLink breaks one direction of a link repeatedly, for down out of each period.
func (sim *Simulation) flapLink(from, to string, down, period, total time.Duration) {
	for at := time.Duration(0); at < total; at += period {
		sim.schedule(at, func() { sim.disconnectOneWay(from, to, false, down) })
	}
}

// forEachPeer calls f for each node but n.
func (sim *Simulation) forEachPeer(n *node, f func(*node)) {
	for _, o := range sim.nodes {
		if o != n {
			f(o)
		}
	}
}

// isolate separates a node from the store and the other nodes, but not from workers and users.
func (sim *Simulation) isolate(n *node, hold bool, d time.Duration) {
	sim.disconnect(n.name, storeParty, hold, d)
	sim.forEachPeer(n, func(o *node) { sim.disconnect(n.name, o.name, hold, d) })
}

// call sends a request and passes its reply to done. handle serves the request and may reply at any time; done gets
// false if no reply comes within the timeout.
func call[T any](sim *Simulation, from, to string, timeout time.Duration, handle func(reply func(T)),
	done func(reply T, ok bool)) {
	over := false
	finish := func(reply T, ok bool) {
		if !over {
			over = true
			done(reply, ok)
		}
	}
	sim.schedule(timeout, func() {
		var none T
		finish(none, false)
	})
	sim.deliver(from, to, func() {
		handle(func(reply T) { sim.deliver(to, from, func() { finish(reply, true) }) })
	})
}
