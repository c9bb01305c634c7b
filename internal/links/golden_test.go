package links

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"opaldale/internal/golden"
)

// goldenRows has links of every kind in every state.
func goldenRows() []Advertisement {
	full := Advertisement{Origin: "agent-1", Incarnation: 0x1101, Sequence: 0x1102, Age: 0x1103 * time.Millisecond,
		ProbeTargets: []ProbeTarget{{Zone: "east", Address: "10.1.0.1:9000"}, {Zone: "west", Address: "10.2.0.1:9000"}}}
	states := []State{Unknown, Up, Suspect, Down}
	for i, k := range []Kind{KVStore, Cloud, PeerNode, Machines} {
		full.Links = append(full.Links, LinkState{Endpoint: Endpoint{Kind: k, Name: string(rune('a' + i))}, In: states[i], Out: states[3-i],
			Refusing: i&1 != 0, Damped: i&2 != 0})
	}
	return []Advertisement{full, {Origin: "agent-2", Incarnation: 0x2201, Sequence: 0x2202}}
}

// TestGoldenRows pins the bytes of rows.
func TestGoldenRows(t *testing.T) {
	rows := goldenRows()
	raw := AppendAdvertisements(nil, rows)
	golden.Compare(t, "rows", hex.Dump(raw))
	if decoded, err := DecodeAdvertisements(raw); err != nil || !reflect.DeepEqual(decoded, rows) {
		t.Errorf("%+v is read as %+v, %v", rows, decoded, err)
	}
}
