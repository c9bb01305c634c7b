package simulator

import (
	"time"

	"opaldale/internal/ident"
)

// leader returns the node that surely leads, nil if none does.
func (sim *Simulation) leader() *node {
	for _, n := range sim.nodes {
		if n.alive && n.controller.Election().LeaseValid() {
			return n
		}
	}
	return nil
}

// newestTerm returns the newest term, which is also how many there were.
func (sim *Simulation) newestTerm() ident.Term {
	most := ident.Term(0)
	for _, n := range sim.nodes {
		most = max(most, n.controller.Election().Term())
	}
	return most
}

// onNewTerm calls f whenever another term has begun.
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

// countLeaderChanges counts the changes of the lead from now on under a name.
func (sim *Simulation) countLeaderChanges(name eventName) {
	sim.onNewTerm(func() { sim.countEvent(name) })
}
