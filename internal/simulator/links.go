package simulator

import (
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/links"
	"opaldale/internal/transport"
)

// linkMonitor records the link states and leadership handovers that the nodes announce to each other.
type linkMonitor struct {
	announcedTerms      map[ident.Term]bool
	onHandover          func(from *node, to ident.NodeID) // called when a handover of a term is first announced
	staleLinkStateDelay time.Duration                     // delay of duplicated link states; 0: no duplicates
	newestHeartbeat     map[string]uint64                 // id of the newest heartbeat by "sender receiver"
	// sentTransactions is the set of the transactions that were sent, by transactionKey.
	sentTransactions map[string]bool
	handovers        map[string]int // incarnation of each node that is handing over leadership
}

// observeFrame records a frame before it is sent. It returns false for a link frame to or from a legacy node, which is a
// violation: the version in production closes the connection when it receives an unknown frame.
func (sim *Simulation) observeFrame(from, to *node, f *transport.Frame) bool {
	reversePath := to.name + " " + from.name
	switch f.Type {
	case transport.MsgHeartbeat:
		sim.newestHeartbeat[from.name+" "+to.name] = f.ID
	case transport.MsgLinkState, transport.MsgTransferLeader, transport.MsgRelayRequest:
		if to.alive && to.env.legacy || from.env.legacy {
			sim.reportViolation("%s sent a frame about links to %s, one of which is a legacy node", from.name, to.name)
			return false
		}
	}
	switch f.Type {
	case transport.MsgLinkState:
		sim.countEvent(linkStatesSentEvent)
		sim.redeliverLinkStates(from, to, reversePath, f)
	case transport.MsgTransferLeader:
		if !sim.announcedTerms[f.Term] {
			sim.announcedTerms[f.Term] = true
			sim.countEvent(handoverAnnouncedEvent)
			sim.handovers[from.name] = from.incarnation
			sim.logf("%s hands term %d over to %q", from.name, f.Term, f.Node)
			if sim.onHandover != nil {
				sim.onHandover(from, f.Node)
			}
		}
	}
	return true
}

// redeliverLinkStates delivers a duplicate of a frame of link states late. With the mutation AcceptStaleLinkStates the
// duplicate refers to the newest heartbeat of the receiver and has a higher sequence number, so that it appears to be current.
func (sim *Simulation) redeliverLinkStates(from, to *node, reversePath string, f *transport.Frame) {
	if sim.staleLinkStateDelay == 0 {
		return
	}
	late := *f
	late.LinkState = slices.Clone(f.LinkState[:1]) // the sender's own advertisement
	sim.schedule(sim.staleLinkStateDelay, func() {
		if !to.alive {
			return
		}
		sim.countEvent(linkStatesRedeliveredEvent)
		if sim.mutates(AcceptStaleLinkStates) {
			late.ID = sim.newestHeartbeat[reversePath]
			late.LinkState[0].Sequence += staleSequenceOffset
		}
		to.whenResponsive(to.incarnation, func() { to.controller.HandleFrame(ident.NodeID(from.name), &late) })
	})
}

// staleSequenceOffset raises the sequence number of a stale advertisement above that of any newer one.
const staleSequenceOffset = 100_000

// forgedLinkStates returns forged advertisements in which all links of one node are up and all links of the other nodes are
// down.
func forgedLinkStates(sim *Simulation, best *node) []links.Advertisement {
	var advertisements []links.Advertisement
	for _, n := range sim.nodes {
		r := links.Advertisement{Origin: ident.NodeID(n.name), Incarnation: 1 << 60, Sequence: sim.eventSequence}
		state := links.Down
		if n == best {
			state = links.Up
		}
		peers := []links.Endpoint{{Kind: links.KVStore}, {Kind: links.Cloud}, {Kind: links.Machines, Name: "east"},
			{Kind: links.Machines, Name: "west"}}
		for _, p := range peers {
			r.Links = append(r.Links, links.LinkState{Endpoint: p, In: state, Out: state})
		}
		advertisements = append(advertisements, r)
	}
	return advertisements
}
