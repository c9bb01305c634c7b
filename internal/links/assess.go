package links

import (
	"slices"

	"opaldale/internal/ident"
)

// Standing tells how well a node is placed to lead, from 0, not at all, to 100.
type Standing int

// The parts of a standing. Without the state service a node can record nothing, so it has
// none of the others either.
const (
	stateStanding    = 30
	machinesStanding = 30
	siblingsStanding = 25
	cloudStanding    = 15
)

// ClearMargin is the difference in standing that is worth a change of leader: the loss of
// one part that can't be made up for by a sibling.
const ClearMargin Standing = 15

// Cluster is what the standing of a node is judged by.
type Cluster struct {
	Siblings []ident.NodeID // of the node that judges, itself left out
	Machines map[string]int // by zone, those that are up
}

// nodes returns how many nodes there are.
func (c *Cluster) nodes() int { return len(c.Siblings) + 1 }

// standing judges a row. What is unknown counts in favour where the benefit of the doubt is
// given: a leader gives it to itself and not to those who would take its place.
func (c *Cluster) standing(r *Row, doubt bool) Standing {
	counts := func(p Peer) bool {
		l := r.Link(p)
		if l.Damped {
			return false
		}
		if doubt {
			return !l.broken()
		}
		return l.usable()
	}
	if !counts(Peer{Kind: StateService}) {
		return 0
	}
	s := stateStanding + c.machinesPart(counts) + c.siblingsPart(r, counts)
	if counts(Peer{Kind: Cloud}) {
		s += cloudStanding
	}
	return Standing(s)
}

// machinesPart weighs each zone by its machines.
func (c *Cluster) machinesPart(counts func(Peer) bool) int {
	all, reached := 0, 0
	for zone, n := range c.Machines {
		all += n
		if counts(Peer{Machines, zone}) {
			reached += n
		}
	}
	if all == 0 {
		return machinesStanding
	}
	return machinesStanding * reached / all
}

func (c *Cluster) siblingsPart(r *Row, counts func(Peer) bool) int {
	others, reached := 0, 0
	for _, l := range r.Links {
		if l.Peer.Kind != Sibling {
			continue
		}
		others++
		if counts(l.Peer) {
			reached++
		}
	}
	if others == 0 {
		return siblingsStanding
	}
	return siblingsStanding * reached / others
}

// Assessment compares a leader with its siblings.
type Assessment struct {
	Own      Standing
	Best     ident.NodeID // the best placed sibling, empty if none is known
	BestRank Standing
	// Isolated says that neither siblings nor machines are reached, in either direction:
	// nobody can be reached to hand the lead over to.
	Isolated bool
}

// Worse says whether a sibling is better placed by a clear margin.
func (a Assessment) Worse() bool { return a.Best != "" && a.BestRank >= a.Own+ClearMargin }

// Assess compares a node's own row with those of its siblings.
func (c *Cluster) Assess(own Row, v *View, now ident.MonotonicTime) Assessment {
	a := Assessment{Own: c.standing(&own, true), Isolated: c.isolated(&own)}
	siblings := slices.Clone(c.Siblings)
	slices.Sort(siblings)
	for _, n := range siblings {
		r, ok := v.Row(n, now)
		if !ok {
			continue
		}
		if s := c.standing(&r, false); a.Best == "" || s > a.BestRank {
			a.Best, a.BestRank = n, s
		}
	}
	return a
}

// isolated says whether all links to siblings and machines are broken.
func (c *Cluster) isolated(r *Row) bool {
	if c.nodes() == 1 {
		return false
	}
	machines := 0
	for _, l := range r.Links {
		switch l.Peer.Kind {
		case Sibling:
			if !l.broken() {
				return false
			}
		case Machines:
			if c.Machines[l.Peer.Name] == 0 {
				continue
			}
			machines++
			if l.Out != Down {
				return false
			}
		}
	}
	return machines > 0
}
