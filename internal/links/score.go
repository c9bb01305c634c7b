package links

import (
	"slices"

	"opaldale/internal/ident"
)

// Score tells how well a node is placed to lead, from 0, not at all, to 100.
type Score int

// The parts of a standing. Without the state service a node can record nothing, so it has
// none of the others either.
const (
	storeScore    = 30
	machinesScore = 30
	peersScore    = 25
	cloudScore    = 15
)

// MinScoreMargin is the difference in standing that is worth a change of leader: the loss of
// one part that can't be made up for by a sibling.
const MinScoreMargin Score = 15

// Cluster is what the standing of a node is judged by.
type Cluster struct {
	Peers    []ident.NodeID // of the node that judges, itself left out
	Machines map[string]int // by zone, those that are up
}

// nodes returns how many nodes there are.
func (c *Cluster) nodes() int { return len(c.Peers) + 1 }

// score judges a row. What is unknown counts in favour where the benefit of the doubt is
// given: a leader gives it to itself and not to those who would take its place.
func (c *Cluster) score(advertisement *Advertisement, assumeUp bool) Score {
	works := func(p Endpoint) bool {
		l := advertisement.Link(p)
		if l.Damped {
			return false
		}
		if assumeUp {
			return !l.broken()
		}
		return l.usable()
	}
	if !works(Endpoint{Kind: KVStore}) {
		return 0
	}
	score := storeScore + c.machineScore(works) + c.peerScore(advertisement, works)
	if works(Endpoint{Kind: Cloud}) {
		score += cloudScore
	}
	return Score(score)
}

// machineScore weighs each zone by its machines.
func (c *Cluster) machineScore(works func(Endpoint) bool) int {
	all, reached := 0, 0
	for zone, n := range c.Machines {
		all += n
		if works(Endpoint{Machines, zone}) {
			reached += n
		}
	}
	if all == 0 {
		return machinesScore
	}
	return machinesScore * reached / all
}

func (c *Cluster) peerScore(r *Advertisement, works func(Endpoint) bool) int {
	peers, reached := 0, 0
	for _, l := range r.Links {
		if l.Endpoint.Kind != PeerNode {
			continue
		}
		peers++
		if works(l.Endpoint) {
			reached++
		}
	}
	if peers == 0 {
		return peersScore
	}
	return peersScore * reached / peers
}

// Assessment compares a leader with its siblings.
type Assessment struct {
	OwnScore  Score
	BestPeer  ident.NodeID // the best placed sibling, empty if none is known
	BestScore Score
	// Isolated says that neither siblings nor machines are reached, in either direction:
	// nobody can be reached to hand the lead over to.
	Isolated bool
}

// Worse says whether a sibling is better placed by a clear margin.
func (a Assessment) Worse() bool { return a.BestPeer != "" && a.BestScore >= a.OwnScore+MinScoreMargin }

// Successor returns the best placed peer if it is better placed by a clear margin, and "" otherwise.
func (a Assessment) Successor() ident.NodeID {
	if !a.Worse() {
		return ""
	}
	return a.BestPeer
}

// Assess compares a node's own row with those of its siblings.
func (c *Cluster) Assess(own Advertisement, database *Database, now ident.MonotonicTime) Assessment {
	a := Assessment{OwnScore: c.score(&own, true), Isolated: c.isolated(&own)}
	peers := slices.Clone(c.Peers)
	slices.Sort(peers)
	for _, n := range peers {
		advertisement, ok := database.Advertisement(n, now)
		if !ok {
			continue
		}
		if score := c.score(&advertisement, false); a.BestPeer == "" || score > a.BestScore {
			a.BestPeer, a.BestScore = n, score
		}
	}
	return a
}

// isolated says whether all links to siblings and machines are broken.
func (c *Cluster) isolated(advertisement *Advertisement) bool {
	if c.nodes() == 1 {
		return false
	}
	machines := 0
	for _, l := range advertisement.Links {
		switch l.Endpoint.Kind {
		case PeerNode:
			if !l.broken() {
				return false
			}
		case Machines:
			if c.Machines[l.Endpoint.Name] == 0 {
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
