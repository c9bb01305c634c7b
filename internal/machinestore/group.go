package machinestore

// This file defines the stored form of a group of machines, and encodes it.

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"opaldale/internal/ident"
)

// GroupRecord is the stored value of a group of machines, all of the same type and zone, and all spot or all on-demand.
type GroupRecord struct {
	Model    string          `json:"model"`
	Zone     string          `json:"site"`
	Spot     bool            `json:"standby,omitempty"`
	Machines []MachineRecord `json:"hosts,omitempty"` // of the first format
	Packed   string          `json:"text,omitempty"`  // of the packed format: ID, address and age of each machine
	BaseMS   int64           `json:"base,omitempty"`  // from which ages in Packed are counted, in seconds
}

// MachineRecord is one machine of a GroupRecord.
type MachineRecord struct {
	ID        ident.MachineID `json:"h"`
	Addr      string          `json:"a,omitempty"`
	CreatedMS int64           `json:"b"` // by the wall clock, in milliseconds since the epoch
}

const (
	// packedFields is the number of fields of a machine in the packed format.
	packedFields = 3
	msPerSecond  = 1000
)

// Encode sets the machines of the record, in the packed format. Creation times are kept to the second.
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
		ageS := (m.CreatedMS - r.BaseMS) / msPerSecond
		fmt.Fprintf(&b, "%s,%s,%d", url.PathEscape(string(m.ID)), url.PathEscape(m.Addr), ageS)
	}
	r.Packed = b.String()
}

// Decode returns the machines of a record in either format, or an error if any of them is malformed.
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

// decodeMachine decodes a machine in the packed format: its ID, address and age, separated by commas.
func (r *GroupRecord) decodeMachine(field string) (MachineRecord, error) {
	parts := strings.Split(field, ",")
	if len(parts) != packedFields {
		return MachineRecord{}, fmt.Errorf("malformed machine %q", field)
	}
	id, err := url.PathUnescape(parts[0])
	if err != nil {
		return MachineRecord{}, err
	}
	addr, err := url.PathUnescape(parts[1])
	if err != nil {
		return MachineRecord{}, err
	}
	ageS, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return MachineRecord{}, err
	}
	return MachineRecord{ID: ident.MachineID(id), Addr: addr, CreatedMS: r.BaseMS + ageS*msPerSecond}, nil
}
