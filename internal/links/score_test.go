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

// TestAssess: a peer is better placed than the leader if the leader has lost a part of its score that
// the peer has, but not if both have lost it or the loss is unknown.
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
		name      string
		own, peer func(*LinkState)
		worse     bool
		isolated  bool
	}{
		{"no link is broken", nil, nil, false, false},
		{"the leader has lost the machines", lose(Machines, Down), nil, true, false},
		{"both have", lose(Machines, Down), lose(Machines, Down), false, false},
		{"the peer doesn't know", lose(Machines, Down), lose(Machines, Unknown), false, false},
		{"the leader doesn't know", lose(Machines, Unknown), nil, false, false},
		{"the leader has lost the cloud", lose(Cloud, Down), nil, true, false},
		{"the leader has lost its peers", lose(PeerNode, Down), nil, true, false},
		{"the leader is refused", refuse, nil, true, false},
		{"the peer is refused", lose(Machines, Down), refuse, false, false},
		{"the leader's links to the machines are damped", damp, nil, true, false},
		{"one zone of two", func(l *LinkState) {
			if l.Endpoint.Name == "west" {
				l.Out = Down
			}
		}, nil, true, false},
		{"neither peers nor machines", func(l *LinkState) {
			if l.Endpoint.Kind == PeerNode || l.Endpoint.Kind == Machines {
				l.Out = Down
			}
		}, lose(KVStore, Down), false, true},
	} {
		database := NewDatabase(cluster.Peers)
		now := ident.MonotonicTime(time.Hour)
		database.Merge(advertisementOf("b", c.peer), now)
		a := cluster.Assess(advertisementOf("a", c.own), database, now)
		if a.PeerIsBetter() != c.worse || a.Isolated != c.isolated {
			t.Errorf("%s: worse %v, isolated %v: %+v", c.name, a.PeerIsBetter(), a.Isolated, a)
		}
		a = cluster.Assess(advertisementOf("a", c.own), database, now.Add(AdvertisementLifetime))
		if a.PeerIsBetter() {
			t.Errorf("%s: worse than an advertisement that has expired", c.name)
		}
	}
}
