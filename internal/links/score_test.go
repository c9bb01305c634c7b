package links

import (
	"testing"
	"time"

	"opaldale/internal/ident"
)

// advertisementOf returns an advertisement whose links are up, with change applied to each. change may
// be nil.
func advertisementOf(origin ident.NodeID, change func(*LinkState)) Advertisement {
	a := Advertisement{Origin: origin, Incarnation: 1, Sequence: 1}
	for _, endpoint := range []Endpoint{
		{Kind: KVStore}, {Kind: Cloud},
		{PeerNode, "x"}, {PeerNode, "y"},
		{Machines, "east"}, {Machines, "west"},
	} {
		l := LinkState{Endpoint: endpoint, In: Up, Out: Up}
		if change != nil {
			change(&l)
		}
		a.Links = append(a.Links, l)
	}
	return a
}

// TestAssess: a peer counts as better than the leader if links of the leader are broken that work for the
// peer, but not if they are broken for both or their state is unknown at either node.
func TestAssess(t *testing.T) {
	cluster := Cluster{Peers: []ident.NodeID{"b", "c"}, Machines: map[string]int{"east": 10, "west": 10}}
	lose := func(kind Kind, state State) func(*LinkState) {
		return func(l *LinkState) {
			if l.Endpoint.Kind == kind {
				l.Out = state
			}
		}
	}
	refuse := func(l *LinkState) { l.Refusing = l.Endpoint.Kind == KVStore }
	damp := func(l *LinkState) { l.Damped = l.Endpoint.Kind == Machines }
	for _, c := range []struct {
		name         string
		own, peer    func(*LinkState)
		peerIsBetter bool
		isolated     bool
	}{
		{"no link is broken", nil, nil, false, false},
		{"the leader has lost the machines", lose(Machines, Down), nil, true, false},
		{"both have lost the machines", lose(Machines, Down), lose(Machines, Down), false, false},
		{"the peer's link to the machines is unknown", lose(Machines, Down), lose(Machines, Unknown), false, false},
		{"the leader's link to the machines is unknown", lose(Machines, Unknown), nil, false, false},
		{"the leader has lost the cloud", lose(Cloud, Down), nil, true, false},
		{"the leader has lost its peers", lose(PeerNode, Down), nil, true, false},
		{"the store refuses the leader", refuse, nil, true, false},
		{"the store refuses the peer", lose(Machines, Down), refuse, false, false},
		{"the leader's links to the machines are damped", damp, nil, true, false},
		{"the leader has lost one zone of two", func(l *LinkState) {
			if l.Endpoint.Name == "west" {
				l.Out = Down
			}
		}, nil, true, false},
		{"the leader has lost peers and machines", func(l *LinkState) {
			if l.Endpoint.Kind == PeerNode || l.Endpoint.Kind == Machines {
				l.Out = Down
			}
		}, lose(KVStore, Down), false, true},
	} {
		database := NewDatabase(cluster.Peers)
		now := ident.MonotonicTime(time.Hour)
		database.Merge(advertisementOf("b", c.peer), now)
		a := cluster.Assess(advertisementOf("a", c.own), database, now)
		if a.PeerIsBetter() != c.peerIsBetter || a.Isolated != c.isolated {
			t.Errorf("%s: got peer is better %v, isolated %v; want %v, %v: %+v",
				c.name, a.PeerIsBetter(), a.Isolated, c.peerIsBetter, c.isolated, a)
		}
		a = cluster.Assess(advertisementOf("a", c.own), database, now.Add(AdvertisementLifetime))
		if a.PeerIsBetter() {
			t.Errorf("%s, with an expired advertisement of the peer: got peer is better true, want false: %+v", c.name, a)
		}
	}
}
