package standin

import (
	"fmt"
	"slices"
	"time"

	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/links"
	"opaldale/internal/mesh"
	"opaldale/internal/statesvc"
)

// linkEvents is what the stand-in does when nodes speak of their links.
type linkEvents struct {
	announced map[ident.Term]bool
	onYield   func(from *node, to ident.NodeID) // at the first announcement of a term
	oldRows   time.Duration                     // copies of rows come so much later as well
	newest    map[string]uint64                 // the newest heartbeat from one node to another
	// sentBefore holds the transactions that were sent.
	sentBefore map[string]bool
	yields     map[string]int // nodes that hand the lead over, by their process
}

// linkFrame takes note of a frame about links before it is sent; false drops it. A node of
// the version in production would close the connection on one.
func (w *World) linkFrame(from, to *node, f *mesh.Frame) bool {
	way := to.name + " " + from.name
	switch f.Type {
	case mesh.MsgHeartbeat:
		w.newest[from.name+" "+to.name] = f.ID
	case mesh.MsgLinkState, mesh.MsgTransferLeader, mesh.MsgRelayRequest:
		if to.alive && to.env.old || from.env.old {
			w.broken("%s sent a frame about links to %s, of which one is old", from.name, to.name)
			return false
		}
	}
	switch f.Type {
	case mesh.MsgLinkState:
		w.took("rows sent")
		w.copyRows(from, to, way, f)
	case mesh.MsgTransferLeader:
		if !w.announced[f.Term] {
			w.announced[f.Term] = true
			w.took("handover announced")
			w.yields[from.name] = from.life
			w.logf("%s hands term %d over to %q", from.name, f.Term, f.Node)
			if w.onYield != nil {
				w.onYield(from, f.Node)
			}
		}
	}
	return true
}

// copyRows has a copy of a message of rows come late. Of the mutation UndatedRows, it names
// the receiver's newest heartbeat, as if it had been made just before.
func (w *World) copyRows(from, to *node, way string, f *mesh.Frame) {
	if w.oldRows == 0 {
		return
	}
	late := *f
	late.LinkState = slices.Clone(f.LinkState[:1]) // that of the sender
	w.at(w.oldRows, func() {
		if !to.alive {
			return
		}
		w.took("old rows")
		if w.cfg.Mutation == UndatedRows {
			late.ID = w.newest[way]
			late.LinkState[0].Sequence += undatedBy
		}
		to.when(to.life, func() { to.ctl.HandleFrame(ident.NodeID(from.name), &late) })
	})
}

// undatedBy makes the sequence of an old row larger than that of any newer one.
const undatedBy = 100_000

// countTerms counts the changes of the lead from now on under a name.
func (w *World) countTerms(what string) {
	w.watchLeaders(func() { w.took(what) })
}

// wrongRows says of one node that all its links work, and of the others that none does.
func wrongRows(w *World, best *node) []links.Advertisement {
	var rows []links.Advertisement
	for _, n := range w.nodes {
		r := links.Advertisement{Origin: ident.NodeID(n.name), Incarnation: 1 << 60, Sequence: w.seq}
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

// yielding says whether a node's process has announced a handover and its term is not over.
func (w *World) yielding(n *node) bool {
	life, ok := w.yields[n.name]
	if ok && (life != n.life || n.ctl.Election().State() != election.Leading) {
		delete(w.yields, n.name)
		return false
	}
	return ok
}

// checkYield checks that a node which hands the lead over writes nothing new but the end of
// its term, and starts nothing. Repeats of what was under way come with it.
func (w *World) checkYield(n *node, r statesvc.Request) {
	if r.Op != statesvc.Txn || !w.yielding(n) || len(r.Mutations) == 1 && r.Mutations[0].Delete == election.LeaderKey {
		return
	}
	if !w.sentBefore[txnKey(n, r)] {
		w.broken("%s writes %s%s while it hands the lead over", n.name, r.Mutations[0].Put, r.Mutations[0].Delete)
	}
}

// txnKey names a transaction of a process: a repeat is the same.
func txnKey(n *node, r statesvc.Request) string {
	return fmt.Sprint(n.name, n.life, r.Compares, len(r.Mutations), r.Mutations[0].Put, r.Mutations[0].Delete)
}

// noteTxn remembers a transaction, for its repeats to be known.
func (w *World) noteTxn(n *node, r statesvc.Request) {
	if w.cfg.Links && r.Op == statesvc.Txn && len(r.Mutations) > 0 {
		w.checkYield(n, r)
		w.sentBefore[txnKey(n, r)] = true
	}
}
