package simulator

import (
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/links"
	"opaldale/internal/transport"
)

// linkMonitor is what the stand-in does when nodes speak of their links.
type linkMonitor struct {
	announcedTerms  map[ident.Term]bool
	onHandover      func(from *node, to ident.NodeID) // at the first announcement of a term
	staleRowDelay   time.Duration                     // copies of rows come so much later as well
	newestHeartbeat map[string]uint64                 // the newest heartbeat from one node to another
	// sentTransactions holds the transactions that were sent.
	sentTransactions map[string]bool
	handovers        map[string]int // nodes that hand the lead over, by their process
}

// observeFrame takes note of a frame about links before it is sent; false drops it. A node of
// the version in production would close the connection on one.
func (sim *Simulation) observeFrame(from, to *node, f *transport.Frame) bool {
	reversePath := to.name + " " + from.name
	switch f.Type {
	case transport.MsgHeartbeat:
		sim.newestHeartbeat[from.name+" "+to.name] = f.ID
	case transport.MsgLinkState, transport.MsgTransferLeader, transport.MsgRelayRequest:
		if to.alive && to.env.legacy || from.env.legacy {
			sim.reportViolation("%s sent a frame about links to %s, of which one is old", from.name, to.name)
			return false
		}
	}
	switch f.Type {
	case transport.MsgLinkState:
		sim.countEvent(rowsSentEvent)
		sim.redeliverRows(from, to, reversePath, f)
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

// redeliverRows has a copy of a message of rows come late. Of the mutation FreshenStaleRows, it names
// the receiver's newest heartbeat, as if it had been made just before.
func (sim *Simulation) redeliverRows(from, to *node, reversePath string, f *transport.Frame) {
	if sim.staleRowDelay == 0 {
		return
	}
	late := *f
	late.LinkState = slices.Clone(f.LinkState[:1]) // that of the sender
	sim.schedule(sim.staleRowDelay, func() {
		if !to.alive {
			return
		}
		sim.countEvent(rowsRedeliveredEvent)
		if sim.mutates(FreshenStaleRows) {
			late.ID = sim.newestHeartbeat[reversePath]
			late.LinkState[0].Sequence += staleSequenceOffset
		}
		to.whenResponsive(to.incarnation, func() { to.controller.HandleFrame(ident.NodeID(from.name), &late) })
	})
}

// staleSequenceOffset makes the sequence of an old row larger than that of any newer one.
const staleSequenceOffset = 100_000

// forgedRows says of one node that all its links work, and of the others that none does.
func forgedRows(sim *Simulation, best *node) []links.Advertisement {
	var rows []links.Advertisement
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
		rows = append(rows, r)
	}
	return rows
}
