package links

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"opaldale/internal/golden"
)

// goldenAdvertisements returns advertisements with links of each kind and in each state.
func goldenAdvertisements() []Advertisement {
	full := Advertisement{
		Origin:      "agent-1",
		Incarnation: 0x1101,
		Sequence:    0x1102,
		Age:         0x1103 * time.Millisecond,
		ProbeTargets: []ProbeTarget{
			{Zone: "east", Address: "10.1.0.1:9000"},
			{Zone: "west", Address: "10.2.0.1:9000"},
		},
	}
	states := []State{Unknown, Up, Suspect, Down}
	for i, k := range []Kind{KVStore, Cloud, PeerNode, Machines} {
		full.Links = append(full.Links, LinkState{
			Endpoint: Endpoint{Kind: k, Name: string(rune('a' + i))},
			In:       states[i],
			Out:      states[3-i],
			Refusing: i&1 != 0,
			Damped:   i&2 != 0,
		})
	}
	return []Advertisement{full, {Origin: "agent-2", Incarnation: 0x2201, Sequence: 0x2202}}
}

// TestGoldenAdvertisements pins the bytes of encoded advertisements.
func TestGoldenAdvertisements(t *testing.T) {
	advertisements := goldenAdvertisements()
	raw := AppendAdvertisements(nil, advertisements)
	golden.Compare(t, "rows", hex.Dump(raw))
	if decoded, err := DecodeAdvertisements(raw); err != nil || !reflect.DeepEqual(decoded, advertisements) {
		t.Errorf("decoded %+v, error %v; want %+v", decoded, err, advertisements)
	}
}
