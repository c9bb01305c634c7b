package machinestore

// This file defines the stored record of a group of machines, and encodes and decodes it.

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"opaldale/internal/ident"
)

// GroupRecord is the value stored for a group of machines. All machines of a group have the same type and zone, and are
// either all spot or all on-demand.
type GroupRecord struct {
	Model    string          `json:"model"`
	Zone     string          `json:"site"`
	Spot     bool            `json:"standby,omitempty"`
	Machines []MachineRecord `json:"hosts,omitempty"` // in the legacy format
	Packed   string          `json:"text,omitempty"`  // in the packed format: ID, address and creation time of each machine
	BaseMS   int64           `json:"base,omitempty"`  // earliest creation time; those in Packed are whole seconds after it
}

// MachineRecord is one machine of a GroupRecord.
type MachineRecord struct {
	ID        ident.MachineID `json:"h"`
	Addr      string          `json:"a,omitempty"`
	CreatedMS int64           `json:"b"` // creation time by the wall clock, in milliseconds since the Unix epoch
}

const (
	// packedFields is the number of comma-separated fields per machine in the packed format.
	packedFields = 3
	msPerSecond  = 1000
)

// Encode stores machines in the record in the packed format, with creation times in whole seconds after BaseMS.
func (r *GroupRecord) Encode(machines []MachineRecord) {
	for i, m := range machines {
		if i == 0 || m.CreatedMS < r.BaseMS {
			r.BaseMS = m.CreatedMS
		}
	}
	var b strings.Builder
	for i, m := range machines {
		if i > 0 {
			b.WriteByte(' ')
		}
		sinceBaseS := (m.CreatedMS - r.BaseMS) / msPerSecond
		fmt.Fprintf(&b, "%s,%s,%d", url.PathEscape(string(m.ID)), url.PathEscape(m.Addr), sinceBaseS)
	}
	r.Packed = b.String()
}

// Decode returns the machines of a record in either format. It returns an error if any of them is malformed.
func (r *GroupRecord) Decode() ([]MachineRecord, error) {
	records := r.Machines
	for _, field := range strings.Fields(r.Packed) {
		machine, err := r.decodeMachine(field)
		if err != nil {
			return nil, err
		}
		records = append(records, machine)
	}
	return records, nil
}

// decodeMachine decodes a machine in the packed format: its ID, its address and its creation time in seconds after BaseMS,
// separated by commas.
func (r *GroupRecord) decodeMachine(field string) (MachineRecord, error) {
	parts := strings.Split(field, ",")
	if len(parts) != packedFields {
		return MachineRecord{}, fmt.Errorf("malformed machine %q: got %d fields, want %d", field, len(parts), packedFields)
	}
	id, err := url.PathUnescape(parts[0])
	if err != nil {
		return MachineRecord{}, err
	}
	addr, err := url.PathUnescape(parts[1])
	if err != nil {
		return MachineRecord{}, err
	}
	sinceBaseS, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return MachineRecord{}, err
	}
	return MachineRecord{ID: ident.MachineID(id), Addr: addr, CreatedMS: r.BaseMS + sinceBaseS*msPerSecond}, nil
}
