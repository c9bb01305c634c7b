package machinestore

import (
	"slices"
	"testing"
)

// TestGroupRecordRoundTrip: a record in the packed format preserves IDs and addresses with any characters, and creation
// times to the second.
func TestGroupRecordRoundTrip(t *testing.T) {
	machines := []MachineRecord{
		{ID: "host-1", Addr: "10.1.0.1:9000", CreatedMS: 1_700_000_005_000},
		{ID: "host 2,a%", Addr: "[fe80::1%eth0]:9000", CreatedMS: 1_700_000_000_000},
		{ID: "host-3", CreatedMS: 1_700_000_009_000},
	}
	var r GroupRecord
	r.Encode(machines)
	got, err := r.Decode()
	if err != nil || !slices.Equal(got, machines) {
		t.Errorf("decoded %v, error %v; want %v", got, err, machines)
	}
}

// TestMalformedGroupRecords: decoding a record with a malformed machine returns an error, not the other machines.
func TestMalformedGroupRecords(t *testing.T) {
	for _, x := range []struct{ name, packed string }{
		{"a field missing", "host-1,10.1.0.1:9000"},
		{"a field too many", "host-1,10.1.0.1:9000,5,6"},
		{"malformed ID", "host%zz,10.1.0.1:9000,5"},
		{"malformed address", "host-1,%zz,5"},
		{"malformed creation time", "host-1,10.1.0.1:9000,x"},
		{"malformed second machine", "host-1,10.1.0.1:9000,5 host-2"},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := GroupRecord{Packed: x.packed}
			if got, err := r.Decode(); err == nil {
				t.Errorf("decoded %q as %v, want an error", x.packed, got)
			}
		})
	}
}
