package simulator

import (
	"time"

	"opaldale/internal/ident"
)

// leader returns the node with a valid leader lease, nil if there is none.
func (sim *Simulation) leader() *node {
	for _, n := range sim.nodes {
		if n.alive && n.controller.Election().LeaseValid() {
			return n
		}
	}
	return nil
}

// newestTerm returns the newest term, which is also the number of terms so far.
func (sim *Simulation) newestTerm() ident.Term {
	most := ident.Term(0)
	for _, n := range sim.nodes {
		most = max(most, n.controller.Election().Term())
	}
	return most
}

// onNewTerm calls f whenever a leader of a newer term is there.
func (sim *Simulation) onNewTerm(f func()) {
	newest := sim.newestTerm()
	sim.every(20*time.Millisecond, func() bool {
		if n := sim.leader(); n != nil && n.controller.Election().Term() > newest {
			newest = n.controller.Election().Term()
			f()
		}
		return true
	})
}

// countLeaderChanges counts an event for each newer term from now on.
func (sim *Simulation) countLeaderChanges(name eventName) {
	sim.onNewTerm(func() { sim.countEvent(name) })
}
