package simulator

import (
	"strings"
	"time"

	"opaldale/internal/ident"
)

// Parties that send and receive messages, in addition to nodes and machines, which are identified by their names.
const (
	storeParty      = "state"
	cloudParty      = "cloud"
	usersParty      = "users"
	duplicatesParty = "copies" // sender of the duplicates of heartbeats
	// machines matches all machines, including those provisioned later, as one end of a link.
	machines = "machines"
	// anyParty matches every party, as one end of a link.
	anyParty = "*"

	nodePrefix    = "agent-"
	machinePrefix = "host-"
)

// link is a network link from one party to another.
type link struct{ from, to string }

// networkPartition is a fault in effect that blocks a link or all links between a zone and the rest of the cluster.
type networkPartition struct {
	hold bool     // messages are buffered and delivered in order when the fault ends, instead of dropped
	held []func() // deliveries buffered until the fault ends
}

// networkFaults holds the network faults in effect.
type networkFaults struct {
	partitions           map[link]*networkPartition // links blocked in both directions
	directedPartitions   map[link]*networkPartition // links blocked in one direction
	zonePartitions       map[string]*networkPartition
	inboundBlockedUntil  map[string]ident.MonotonicTime // by machine: no message reaches it until then
	outboundBlockedUntil map[string]ident.MonotonicTime // by machine: none of its messages reach nodes until then
	// blockedOneWay counts the messages dropped or held by a fault that blocks one direction of a link.
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

// deliver delivers a message from one party to another, normally within milliseconds. A fault may delay or drop it.
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
		oneIn = 25 // late commands test the fencing tokens
	}
	if sim.cfg.Faults && sim.now < ident.MonotonicTime(sim.cfg.ActiveDuration) && sim.rng.IntN(oneIn) == 0 {
		if sim.rng.IntN(2) == 0 {
			return
		}
		latency = time.Duration(sim.rng.IntN(30_000)) * time.Millisecond
	}
	sim.schedule(latency+sim.extraLatency(from, to), receive)
}

// partitionOf returns the fault that blocks messages from one party to another, or nil if there is none. It counts the
// messages that are blocked in one direction only.
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

// partitionBetween returns the fault that blocks both directions between two parties, or nil if there is none.
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

// directedPartition returns the fault that blocks only the direction from one party to another, or nil if there is none.
func (sim *Simulation) directedPartition(from, to string) *networkPartition {
	for _, l := range []link{{from, to}, {from, anyParty}, {anyParty, to}, {from, partyGroup(to)}, {partyGroup(from), to}} {
		if p := sim.directedPartitions[l]; p != nil {
			return p
		}
	}
	return nil
}

// zoneOf returns the zone of a node or a machine, or "" for any other party.
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

// partyGroup returns the group of parties that a party belongs to, or "" if it belongs to none.
func partyGroup(party string) string {
	if isMachine(party) {
		return machines
	}
	return ""
}

// partitionZone blocks all messages between a zone and the rest of the cluster for d.
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

// deliverHeld delivers the messages buffered during a fault, in order.
func (sim *Simulation) deliverHeld(p *networkPartition) {
	for i, receive := range p.held {
		sim.schedule(time.Duration(i)*time.Microsecond, receive)
	}
}

// disconnect blocks both directions of a link for d.
func (sim *Simulation) disconnect(a, b string, hold bool, d time.Duration) {
	sim.addPartition(sim.partitions, link{a, b}, hold, d)
}

// disconnectOneWay blocks one direction of a link for d. It blocks requests as well as replies.
func (sim *Simulation) disconnectOneWay(from, to string, hold bool, d time.Duration) {
	sim.addPartition(sim.directedPartitions, link{from, to}, hold, d)
}

// addPartition blocks a link for d by an entry in the table. A link that is already blocked keeps its current fault.
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

// flapLink blocks one direction of a link repeatedly over total: for down at the start of each period.
func (sim *Simulation) flapLink(from, to string, down, period, total time.Duration) {
	for at := time.Duration(0); at < total; at += period {
		sim.schedule(at, func() { sim.disconnectOneWay(from, to, false, down) })
	}
}

// forEachPeer calls f for each node except n.
func (sim *Simulation) forEachPeer(n *node, f func(*node)) {
	for _, o := range sim.nodes {
		if o != n {
			f(o)
		}
	}
}

// isolate disconnects a node from the store and from the other nodes; workers and users can still reach it.
func (sim *Simulation) isolate(n *node, hold bool, d time.Duration) {
	sim.disconnect(n.name, storeParty, hold, d)
	sim.forEachPeer(n, func(o *node) { sim.disconnect(n.name, o.name, hold, d) })
}

// call sends a request over the network and calls done once, with the reply, or with ok false if no reply arrives within
// the timeout. handle serves the request at the receiver and may reply at any later time.
func call[T any](sim *Simulation, from, to string, timeout time.Duration, handle func(reply func(T)),
	done func(reply T, ok bool)) {
	finished := false
	finish := func(reply T, ok bool) {
		if !finished {
			finished = true
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
