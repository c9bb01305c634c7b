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
func (w *Simulation) observeFrame(from, to *node, f *transport.Frame) bool {
	reversePath := to.name + " " + from.name
	switch f.Type {
	case transport.MsgHeartbeat:
		w.newestHeartbeat[from.name+" "+to.name] = f.ID
	case transport.MsgLinkState, transport.MsgTransferLeader, transport.MsgRelayRequest:
		if to.alive && to.env.legacy || from.env.legacy {
			w.reportViolation("%s sent a frame about links to %s, of which one is old", from.name, to.name)
			return false
		}
	}
	switch f.Type {
	case transport.MsgLinkState:
		w.countEvent("rows sent")
		w.redeliverRows(from, to, reversePath, f)
	case transport.MsgTransferLeader:
		if !w.announcedTerms[f.Term] {
			w.announcedTerms[f.Term] = true
			w.countEvent("handover announced")
			w.handovers[from.name] = from.incarnation
			w.logf("%s hands term %d over to %q", from.name, f.Term, f.Node)
			if w.onHandover != nil {
				w.onHandover(from, f.Node)
			}
		}
	}
	return true
}

// redeliverRows has a copy of a message of rows come late. Of the mutation FreshenStaleRows, it names
// the receiver's newest heartbeat, as if it had been made just before.
func (w *Simulation) redeliverRows(from, to *node, reversePath string, f *transport.Frame) {
	if w.staleRowDelay == 0 {
		return
	}
	late := *f
	late.LinkState = slices.Clone(f.LinkState[:1]) // that of the sender
	w.schedule(w.staleRowDelay, func() {
		if !to.alive {
			return
		}
		w.countEvent("old rows")
		if w.cfg.Mutation == FreshenStaleRows {
			late.ID = w.newestHeartbeat[reversePath]
			late.LinkState[0].Sequence += staleSequenceOffset
		}
		to.whenResponsive(to.incarnation, func() { to.controller.HandleFrame(ident.NodeID(from.name), &late) })
	})
}

// staleSequenceOffset makes the sequence of an old row larger than that of any newer one.
const staleSequenceOffset = 100_000

// countLeaderChanges counts the changes of the lead from now on under a name.
func (w *Simulation) countLeaderChanges(what string) {
	w.onNewTerm(func() { w.countEvent(what) })
}

// forgedRows says of one node that all its links work, and of the others that none does.
func forgedRows(w *Simulation, best *node) []links.Advertisement {
	var rows []links.Advertisement
	for _, n := range w.nodes {
		r := links.Advertisement{Origin: ident.NodeID(n.name), Incarnation: 1 << 60, Sequence: w.eventSequence}
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
func (w *Simulation) handingOver(n *node) bool {
	life, ok := w.handovers[n.name]
	if ok && (life != n.incarnation || n.controller.Election().State() != election.Leading) {
		delete(w.handovers, n.name)
		return false
	}
	return ok
}

// checkHandoverWrites checks that a node which hands the lead over writes nothing new but the end of
// its term, and starts nothing. Repeats of what was under way come with it.
func (w *Simulation) checkHandoverWrites(n *node, r kvstore.Request) {
	if r.Op != kvstore.Txn || !w.handingOver(n) || len(r.Mutations) == 1 && r.Mutations[0].Delete == election.LeaderKey {
		return
	}
	if !w.sentTransactions[transactionKey(n, r)] {
		w.reportViolation("%s writes %s%s while it hands the lead over", n.name, r.Mutations[0].Put, r.Mutations[0].Delete)
	}
}

// transactionKey names a transaction of a process: a repeat is the same.
func transactionKey(n *node, r kvstore.Request) string {
	return fmt.Sprint(n.name, n.incarnation, r.Compares, len(r.Mutations), r.Mutations[0].Put, r.Mutations[0].Delete)
}

// recordTransaction remembers a transaction, for its repeats to be known.
func (w *Simulation) recordTransaction(n *node, r kvstore.Request) {
	if w.cfg.LinkMonitoring && r.Op == kvstore.Txn && len(r.Mutations) > 0 {
		w.checkHandoverWrites(n, r)
		w.sentTransactions[transactionKey(n, r)] = true
	}
}
