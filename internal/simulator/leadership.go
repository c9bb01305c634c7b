package simulator

import (
	"time"

	"opaldale/internal/ident"
)

// leader returns the node that holds a valid leader lease, or nil if there is none.
func (sim *Simulation) leader() *node {
	for _, n := range sim.nodes {
		if n.alive && n.controller.Election().LeaseValid() {
			return n
		}
	}
	return nil
}

// newestTerm returns the highest term that a node knows. Terms count up from 1, so it is also the number of terms so far.
func (sim *Simulation) newestTerm() ident.Term {
	most := ident.Term(0)
	for _, n := range sim.nodes {
		most = max(most, n.controller.Election().Term())
	}
	return most
}

// onNewTerm calls f each time that a leader of a newer term holds its lease.
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

// countLeaderChanges counts the given event for each new term from now on.
func (sim *Simulation) countLeaderChanges(name eventName) {
	sim.onNewTerm(func() { sim.countEvent(name) })
}
