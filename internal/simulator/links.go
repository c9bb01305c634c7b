package simulator

import (
	"fmt"
	"slices"
	"time"

	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
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
		sim.countEvent("rows sent")
		sim.redeliverRows(from, to, reversePath, f)
	case transport.MsgTransferLeader:
		if !sim.announcedTerms[f.Term] {
			sim.announcedTerms[f.Term] = true
			sim.countEvent("handover announced")
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
		sim.countEvent("old rows")
		if sim.cfg.Mutation == FreshenStaleRows {
			late.ID = sim.newestHeartbeat[reversePath]
			late.LinkState[0].Sequence += staleSequenceOffset
		}
		to.whenResponsive(to.incarnation, func() { to.controller.HandleFrame(ident.NodeID(from.name), &late) })
	})
}

// staleSequenceOffset makes the sequence of an old row larger than that of any newer one.
const staleSequenceOffset = 100_000

// countLeaderChanges counts the changes of the lead from now on under a name.
func (sim *Simulation) countLeaderChanges(what string) {
	sim.onNewTerm(func() { sim.countEvent(what) })
}

// forgedRows says of one node that all its links work, and of the others that none does.
func forgedRows(sim *Simulation, best *node) []links.Advertisement {
	var rows []links.Advertisement
	for _, n := range sim.nodes {
		r := links.Advertisement{Origin: ident.NodeID(n.name), Incarnation: 1 << 60, Sequence: sim.eventSequence}
		state := links.Down
		if n == best {
			state = links.Up
		}
		peers := []links.Endpoint{{Kind: links.KVStore}, {Kind: links.Cloud}, {Kind: links.Machines, Name: "east"}, {Kind: links.Machines, Name: "west"}}
		for _, p := range peers {
			r.Links = append(r.Links, links.LinkState{Endpoint: p, In: state, Out: state})
		}
		rows = append(rows, r)
	}
	return rows
}

// handingOver says whether a node's process has announced a handover and its term is not over.
func (sim *Simulation) handingOver(n *node) bool {
	life, ok := sim.handovers[n.name]
	if ok && (life != n.incarnation || n.controller.Election().State() != election.Leading) {
		delete(sim.handovers, n.name)
		return false
	}
	return ok
}

// checkHandoverWrites checks that a node which hands the lead over writes nothing new but the end of
// its term, and starts nothing. Repeats of what was under way come with it.
func (sim *Simulation) checkHandoverWrites(n *node, r kvstore.Request) {
	if r.Op != kvstore.Txn || !sim.handingOver(n) || len(r.Mutations) == 1 && r.Mutations[0].Delete == election.LeaderKey {
		return
	}
	if !sim.sentTransactions[transactionKey(n, r)] {
		sim.reportViolation("%s writes %s%s while it hands the lead over", n.name, r.Mutations[0].Put, r.Mutations[0].Delete)
	}
}

// transactionKey names a transaction of a process: a repeat is the same.
func transactionKey(n *node, r kvstore.Request) string {
	return fmt.Sprint(n.name, n.incarnation, r.Compares, len(r.Mutations), r.Mutations[0].Put, r.Mutations[0].Delete)
}

// recordTransaction remembers a transaction, for its repeats to be known.
func (sim *Simulation) recordTransaction(n *node, r kvstore.Request) {
	if sim.cfg.LinkMonitoring && r.Op == kvstore.Txn && len(r.Mutations) > 0 {
		sim.checkHandoverWrites(n, r)
		sim.sentTransactions[transactionKey(n, r)] = true
	}
}
