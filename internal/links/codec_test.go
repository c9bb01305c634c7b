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
	kind := rapid.Custom(func(t *rapid.T) Kind { return Kind(rapid.IntRange(int(KVStore), int(Machines)).Draw(t, "kind")) })
	a := Advertisement{
		Origin:      ident.NodeID(name.Draw(t, "origin")),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Sequence:    rapid.Uint64().Draw(t, "sequence"),
		Age:         time.Duration(rapid.IntRange(0, 10_000).Draw(t, "age")) * time.Millisecond,
	}
	for range rapid.IntRange(0, 5).Draw(t, "links") {
		a.Links = append(a.Links, LinkState{
			Endpoint: Endpoint{Kind: kind.Draw(t, "endpoint kind"), Name: name.Draw(t, "name")},
			In:       state.Draw(t, "in"),
			Out:      state.Draw(t, "out"),
			Refusing: rapid.Bool().Draw(t, "refusing"),
			Damped:   rapid.Bool().Draw(t, "damped"),
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "probe targets") {
		a.ProbeTargets = append(a.ProbeTargets, ProbeTarget{name.Draw(t, "zone"), name.Draw(t, "address")})
	}
	return a
}

// TestAdvertisementsRoundTrip: decoding an encoded list returns it. Truncated lists and trailing bytes
// are malformed.
func TestAdvertisementsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.Custom(drawAdvertisement), 0, 4).Draw(t, "advertisements")
		b := AppendAdvertisements(nil, sent)
		got, err := DecodeAdvertisements(b)
		if err != nil || len(got) != len(sent) || len(sent) > 0 && !reflect.DeepEqual(got, sent) {
			t.Fatalf("decoded %+v, error %v; want %+v", got, err, sent)
		}
		short := rapid.IntRange(0, len(b)-1).Draw(t, "short")
		if _, err := DecodeAdvertisements(b[:short]); !errors.Is(err, ErrMalformedAdvertisements) {
			t.Fatalf("decoding %d of %d bytes: got error %v, want %v", short, len(b), err, ErrMalformedAdvertisements)
		}
		if _, err := DecodeAdvertisements(append(b, 0)); !errors.Is(err, ErrMalformedAdvertisements) {
			t.Fatalf("decoding with a trailing byte: got error %v, want %v", err, ErrMalformedAdvertisements)
		}
	})
}

// FuzzDecodeAdvertisements: the decoder never panics, and encoding the decoded list gives the input bytes.
func FuzzDecodeAdvertisements(f *testing.F) {
	f.Add(AppendAdvertisements(nil, nil))
	f.Add(AppendAdvertisements(nil, []Advertisement{{
		Origin:       "agent-0",
		Incarnation:  1,
		Sequence:     2,
		Age:          time.Second,
		Links:        []LinkState{{Endpoint: Endpoint{PeerNode, "agent-1"}, In: Up, Out: Down, Refusing: true}},
		ProbeTargets: []ProbeTarget{{"east", "10.0.0.1:1"}},
	}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		advertisements, err := DecodeAdvertisements(b)
		if err != nil {
			return
		}
		if again := AppendAdvertisements(nil, advertisements); !bytes.Equal(again, b) {
			t.Fatalf("got %x after encoding %+v, want the input %x", again, advertisements, b)
		}
	})
}

// TestMalformedAdvertisements: a list with an invalid version, state, kind, flag, name or count is malformed.
func TestMalformedAdvertisements(t *testing.T) {
	links := []LinkState{{Endpoint: Endpoint{PeerNode, "b"}, In: Up, Out: Up}}
	good := AppendAdvertisements(nil, []Advertisement{{Origin: "a", Links: links}})
	const header = 2 + 2 + 8 + 8 + 4
	for name, change := range map[string]func([]byte){
		"version":          func(b []byte) { b[0]++ },
		"too many":         func(b []byte) { b[1] = MaxAdvertisements + 1 },
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
		if got, err := DecodeAdvertisements(b); !errors.Is(err, ErrMalformedAdvertisements) {
			t.Errorf("%s: got %+v, error %v; want error %v", name, got, err, ErrMalformedAdvertisements)
		}
	}
}
