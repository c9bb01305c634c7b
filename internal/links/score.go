package links

import (
	"slices"

	"opaldale/internal/ident"
)

// Score rates the links that a node would have as leader, from 0 to 100.
type Score int

// The maximum contribution to a score of working links to each kind of endpoint. The score is 0 without a
// link to the key-value store, because a leader cannot record decisions without it.
const (
	storeScore    = 30
	machinesScore = 30
	peersScore    = 25
	cloudScore    = 15
)

// minScoreMargin is the minimum difference in scores that justifies a change of leader: the smallest
// maximum contribution of a kind of endpoint.
const minScoreMargin Score = cloudScore

// Cluster holds the inputs of scores in addition to the advertisements.
type Cluster struct {
	Peers    []ident.NodeID // all nodes except the one that calls Assess
	Machines map[string]int // number of machines that are up, by zone
}

// linkTest reports whether a node's link to an endpoint counts as working.
type linkTest func(Endpoint) bool

// scoreOwn returns the score of the node that calls Assess. Unknown and suspect links count as
// working.
func (c *Cluster) scoreOwn(advertisement *Advertisement) Score {
	return c.score(advertisement, func(endpoint Endpoint) bool {
		l := advertisement.Link(endpoint)
		return !l.Damped && !l.broken()
	})
}

// scorePeer returns the score of a peer that may become leader. A link counts as working only if its
// outbound direction is Up.
func (c *Cluster) scorePeer(advertisement *Advertisement) Score {
	return c.score(advertisement, func(endpoint Endpoint) bool {
		l := advertisement.Link(endpoint)
		return !l.Damped && l.usable()
	})
}

func (c *Cluster) score(advertisement *Advertisement, works linkTest) Score {
	if !works(Endpoint{Kind: KVStore}) {
		return 0
	}
	score := storeScore + c.machinesPart(works) + peersPart(advertisement, works)
	if works(Endpoint{Kind: Cloud}) {
		score += cloudScore
	}
	return Score(score)
}

// machinesPart returns the contribution of the zones' machines. Each zone is weighted by its number of
// machines.
func (c *Cluster) machinesPart(works linkTest) int {
	total, reached := 0, 0
	for zone, n := range c.Machines {
		total += n
		if works(Endpoint{Machines, zone}) {
			reached += n
		}
	}
	if total == 0 {
		return machinesScore
	}
	return machinesScore * reached / total
}

// peersPart returns the contribution of the links to other nodes, all of which have the same weight.
func peersPart(advertisement *Advertisement, works linkTest) int {
	total, reached := 0, 0
	for _, l := range advertisement.Links {
		if l.Endpoint.Kind != PeerNode {
			continue
		}
		total++
		if works(l.Endpoint) {
			reached++
		}
	}
	if total == 0 {
		return peersScore
	}
	return peersScore * reached / total
}

// Assessment is the result of comparing a leader with its peers.
type Assessment struct {
	OwnScore  Score
	BestPeer  ident.NodeID // the peer with the highest score, "" if no peer's score is known
	BestScore Score        // of BestPeer
	// Isolated is set if the links to all peers and all machines are broken. The leader cannot choose
	// a successor in that case.
	Isolated bool
}

// PeerIsBetter reports whether BestScore exceeds OwnScore by at least minScoreMargin.
func (a Assessment) PeerIsBetter() bool {
	return a.BestPeer != "" && a.BestScore >= a.OwnScore+minScoreMargin
}

// Successor returns BestPeer if PeerIsBetter, and "" otherwise.
func (a Assessment) Successor() ident.NodeID {
	if !a.PeerIsBetter() {
		return ""
	}
	return a.BestPeer
}

// Assess compares a node's own advertisement with those of its peers.
func (c *Cluster) Assess(own Advertisement, database *Database, now ident.MonotonicTime) Assessment {
	assessment := Assessment{OwnScore: c.scoreOwn(&own), Isolated: c.isolated(&own)}
	// Among peers with the same score, the first by node ID is the best.
	for _, peer := range slices.Sorted(slices.Values(c.Peers)) {
		advertisement, ok := database.Advertisement(peer, now)
		if !ok {
			continue
		}
		score := c.scorePeer(&advertisement)
		if assessment.BestPeer == "" || score > assessment.BestScore {
			assessment.BestPeer, assessment.BestScore = peer, score
		}
	}
	return assessment
}

// isolated reports whether the links to all peers are broken and those to all machines are down
// outbound. It is false for a cluster of one node or without machines.
func (c *Cluster) isolated(advertisement *Advertisement) bool {
	if len(c.Peers) == 0 {
		return false
	}
	zonesDown := 0
	for _, l := range advertisement.Links {
		switch {
		case l.Endpoint.Kind == PeerNode && !l.broken():
			return false
		case l.Endpoint.Kind == Machines && c.Machines[l.Endpoint.Name] > 0:
			if l.Out != Down {
				return false
			}
			zonesDown++
		}
	}
	return zonesDown > 0
}
