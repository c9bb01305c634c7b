package links

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"opaldale/internal/ident"
)

func drawAdvertisement(t *rapid.T) Advertisement {
	name := rapid.StringMatching(`[a-z0-9.:-]{1,20}`)
	state := rapid.Custom(func(t *rapid.T) State { return State(rapid.IntRange(0, int(Down)).Draw(t, "state")) })
	r := Advertisement{Origin: ident.NodeID(name.Draw(t, "origin")), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Sequence: rapid.Uint64().Draw(t, "sequence"), Age: time.Duration(rapid.IntRange(0, 10_000).Draw(t, "age")) * time.Millisecond}
	for range rapid.IntRange(0, 5).Draw(t, "links") {
		r.Links = append(r.Links, LinkState{Endpoint: Endpoint{Kind(rapid.IntRange(int(KVStore), int(Machines)).Draw(t, "kind")), name.Draw(t, "name")},
			In: state.Draw(t, "in"), Out: state.Draw(t, "out"), Refusing: rapid.Bool().Draw(t, "refusing"), Damped: rapid.Bool().Draw(t, "damped")})
	}
	for range rapid.IntRange(0, 3).Draw(t, "witnesses") {
		r.ProbeTargets = append(r.ProbeTargets, ProbeTarget{name.Draw(t, "zone"), name.Draw(t, "address")})
	}
	return r
}

// TestAdvertisementsRoundTrip: rows come back as they were written; what is cut short or has bytes
// behind it doesn't.
func TestAdvertisementsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := rapid.SliceOfN(rapid.Custom(drawAdvertisement), 0, 4).Draw(t, "rows")
		b := AppendAdvertisements(nil, rows)
		got, err := DecodeAdvertisements(b)
		if err != nil || len(got) != len(rows) || len(rows) > 0 && !reflect.DeepEqual(got, rows) {
			t.Fatalf("%+v came back as %+v, %v", rows, got, err)
		}
		short := rapid.IntRange(0, len(b)-1).Draw(t, "short")
		if _, err := DecodeAdvertisements(b[:short]); !errors.Is(err, ErrMalformedAdvertisements) {
			t.Fatalf("%d of %d bytes: %v", short, len(b), err)
		}
		if _, err := DecodeAdvertisements(append(b, 0)); !errors.Is(err, ErrMalformedAdvertisements) {
			t.Fatalf("a byte too many: %v", err)
		}
	})
}

// FuzzDecodeAdvertisements: the decoder never panics, and what it accepts is what would be written.
func FuzzDecodeAdvertisements(f *testing.F) {
	f.Add(AppendAdvertisements(nil, nil))
	f.Add(AppendAdvertisements(nil, []Advertisement{{Origin: "agent-0", Incarnation: 1, Sequence: 2, Age: time.Second,
		Links: []LinkState{{Endpoint: Endpoint{PeerNode, "agent-1"}, In: Up, Out: Down, Refusing: true}}, ProbeTargets: []ProbeTarget{{"east", "10.0.0.1:1"}}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		rows, err := DecodeAdvertisements(b)
		if err != nil {
			return
		}
		if again := AppendAdvertisements(nil, rows); !bytes.Equal(again, b) {
			t.Fatalf("%x decodes to %+v, which is written as %x", b, rows, again)
		}
	})
}

// TestMalformedAdvertisements: states, kinds, flags and numbers that can't be are malformed.
func TestMalformedAdvertisements(t *testing.T) {
	good := AppendAdvertisements(nil, []Advertisement{{Origin: "a", Links: []LinkState{{Endpoint: Endpoint{PeerNode, "b"}, In: Up, Out: Up}}}})
	const header = 2 + 2 + 8 + 8 + 4
	for name, change := range map[string]func([]byte){
		"version":          func(b []byte) { b[0]++ },
		"too many rows":    func(b []byte) { b[1] = MaxAdvertisements + 1 },
		"no origin":        func(b []byte) { b[2] = 0 },
		"too many links":   func(b []byte) { b[header] = MaxLinks + 1 },
		"unknown kind":     func(b []byte) { b[header+1] = byte(Machines) + 1 },
		"kind 0":           func(b []byte) { b[header+1] = 0 },
		"impossible state": func(b []byte) { b[header+4] = byte(Down) + 1 },
		"unknown flag":     func(b []byte) { b[header+6] = 1 << 7 },
		"long name":        func(b []byte) { b[header+2] = MaxName + 1 },
	} {
		b := bytes.Clone(good)
		change(b)
		if rows, err := DecodeAdvertisements(b); !errors.Is(err, ErrMalformedAdvertisements) {
			t.Errorf("%s: %+v, %v", name, rows, err)
		}
	}
}

// TestSupersededAdvertisements merges rows in any order, with copies and late ones among them: what
// is held is the newest that is not too old.
func TestSupersededAdvertisements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewDatabase([]ident.NodeID{"a"})
		now := ident.MonotonicTime(time.Hour)
		var held *Advertisement // by a simple model
		var made ident.MonotonicTime
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause_ms")) * time.Millisecond)
			r := Advertisement{Origin: "a", Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"), Sequence: rapid.Uint64Range(1, 20).Draw(t, "sequence"),
				Age: time.Duration(rapid.IntRange(0, 6000).Draw(t, "age_ms")) * time.Millisecond}
			expired := held == nil || now.Sub(made) >= AdvertisementLifetime
			newer := expired || r.Incarnation > held.Incarnation || r.Incarnation == held.Incarnation && r.Sequence > held.Sequence
			want := r.Age < AdvertisementLifetime && newer
			if got := v.Merge(r, now); (got == Accepted) != want {
				t.Fatalf("row %+v over %+v: %v", r, held, got)
			}
			if want {
				held, made = &r, now.Add(-r.Age)
			}
			got, ok := v.Advertisement("a", now)
			if fresh := held != nil && now.Sub(made) < AdvertisementLifetime; ok != fresh || ok && got.Sequence != held.Sequence {
				t.Fatalf("held %+v, %v; want %+v, %v", got, ok, held, fresh)
			}
		}
		if got := v.Merge(Advertisement{Origin: "stranger", Incarnation: 9, Sequence: 9}, now); got != UnknownOrigin {
			t.Fatalf("a row of a node that isn't in the settings: %v", got)
		}
	})
}

// TestAssess: a leader is worse placed when a part of its standing is lost that a sibling
// has, and not when both have lost it or nobody knows.
func TestAssess(t *testing.T) {
	cluster := Cluster{Peers: []ident.NodeID{"b", "c"}, Machines: map[string]int{"east": 10, "west": 10}}
	row := func(origin ident.NodeID, change func(*LinkState)) Advertisement {
		r := Advertisement{Origin: origin, Incarnation: 1, Sequence: 1}
		for _, p := range []Endpoint{{Kind: KVStore}, {Kind: Cloud}, {PeerNode, "x"}, {PeerNode, "y"}, {Machines, "east"}, {Machines, "west"}} {
			l := LinkState{Endpoint: p, In: Up, Out: Up}
			if change != nil {
				change(&l)
			}
			r.Links = append(r.Links, l)
		}
		return r
	}
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
		name     string
		own, b   func(*LinkState)
		worse    bool
		isolated bool
	}{
		{"all is well", nil, nil, false, false},
		{"the leader has lost the machines", lose(Machines, Down), nil, true, false},
		{"both have", lose(Machines, Down), lose(Machines, Down), false, false},
		{"the sibling doesn't know", lose(Machines, Down), lose(Machines, Unknown), false, false},
		{"the leader doesn't know", lose(Machines, Unknown), nil, false, false},
		{"the leader has lost the cloud", lose(Cloud, Down), nil, true, false},
		{"the leader has lost its siblings", lose(PeerNode, Down), nil, true, false},
		{"the leader is refused", refuse, nil, true, false},
		{"the sibling is refused", lose(Machines, Down), refuse, false, false},
		{"the leader's machines come and go", damp, nil, true, false},
		{"one zone of two", func(l *LinkState) {
			if l.Endpoint.Name == "west" {
				l.Out = Down
			}
		}, nil, true, false},
		{"neither siblings nor machines", func(l *LinkState) {
			if l.Endpoint.Kind == PeerNode || l.Endpoint.Kind == Machines {
				l.Out = Down
			}
		}, lose(KVStore, Down), false, true},
	} {
		v := NewDatabase(cluster.Peers)
		now := ident.MonotonicTime(time.Hour)
		v.Merge(row("b", c.b), now)
		a := cluster.Assess(row("a", c.own), v, now)
		if a.Worse() != c.worse || a.Isolated != c.isolated {
			t.Errorf("%s: own %d, best %q %d, worse %v, isolated %v", c.name, a.OwnScore, a.BestPeer, a.BestScore, a.Worse(), a.Isolated)
		}
		if a = cluster.Assess(row("a", c.own), v, now.Add(AdvertisementLifetime)); a.Worse() {
			t.Errorf("%s: worse than a row that is too old", c.name)
		}
	}
}
