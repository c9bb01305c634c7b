package controller

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/workers"
)

// groupRecord is the value of a key of machines, all of one kind.
type groupRecord struct {
	Model    string          `json:"model"`
	Zone     string          `json:"site"`
	Spot     bool            `json:"standby,omitempty"`
	Machines []machineRecord `json:"hosts,omitempty"` // of the first format
	Packed   string          `json:"text,omitempty"`  // from it on: host, address and birth of each
	BaseMS   int64           `json:"base,omitempty"`  // from which births are counted, in seconds
}

type machineRecord struct {
	ID        ident.MachineID `json:"h"`
	Addr      string          `json:"a,omitempty"`
	CreatedMS int64           `json:"b"`
}

const (
	// maxGroupMachines bounds the machines on record under one key: what one request rents.
	maxGroupMachines = 50
	// groupOverheadBytes, plainMachineBytes and packedMachineBytes bound what a record takes beside the names
	// in it, and what a machine does in either format; minAddressBytes is kept for an address.
	groupOverheadBytes = 100
	plainMachineBytes  = 40
	packedMachineBytes = 14
	minAddressBytes    = 21
)

// encode puts machines into text.
func (r *groupRecord) encode(machines []machineRecord) {
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
		fmt.Fprintf(&b, "%s,%s,%d", url.PathEscape(string(m.ID)), url.PathEscape(m.Addr), (m.CreatedMS-r.BaseMS)/1000)
	}
	r.Packed = b.String()
}

// decode returns the machines of a record in either format.
func (r *groupRecord) decode() ([]machineRecord, error) {
	records := r.Machines
	for _, field := range strings.Fields(r.Packed) {
		parts := strings.Split(field, ",")
		if len(parts) != 3 {
			return nil, fmt.Errorf("malformed machine %q", field)
		}
		id, err := url.PathUnescape(parts[0])
		if err != nil {
			return nil, err
		}
		addr, err := url.PathUnescape(parts[1])
		if err != nil {
			return nil, err
		}
		age, err := strconv.ParseInt(parts[2], 10, 64)
		if err != nil {
			return nil, err
		}
		records = append(records, machineRecord{ident.MachineID(id), addr, r.BaseMS + age*1000})
	}
	return records, nil
}

// groupKey names what the machines of a group have in common.
type groupKey struct {
	model, zone string
	spot        bool
}

// groupFits says whether a group's record stays within the limits that may come, with
// so many machines more.
func (l *leaderTerm) groupFits(group *workers.RecordGroup, key groupKey, more ...*workers.Worker) bool {
	size := groupOverheadBytes + len(key.model) + len(key.zone)
	perMachine := plainMachineBytes
	if l.formatLevel >= ident.FormatPacked {
		perMachine = packedMachineBytes
	}
	for _, list := range [][]*workers.Worker{group.Members, more} {
		for _, w := range list {
			size += perMachine + len(w.ID) + max(len(w.Addr), minAddressBytes)
		}
	}
	return size <= l.maxValueBytes && len(group.Members)+len(more) <= maxGroupMachines
}

// commitMachine writes a machine's record, new or changed. A new machine is waited
// for, as a successor must know it before anything runs there; the rest has time.
func (l *leaderTerm) commitMachine(machine *workers.Worker) {
	isNew := machine.Group == nil
	if isNew {
		key := groupKey{machine.Model, machine.Zone, machine.Spot}
		group := l.openGroups[key]
		if group == nil || group.Deleted || !l.groupFits(group, key, machine) {
			group = l.nextGroup(key)
			l.openGroups[key] = group
		}
		machine.Group = group
		group.Members = append(group.Members, machine)
	}
	if machine.State == workers.Terminated {
		group := machine.Group
		group.Members = slices.DeleteFunc(slices.Clone(group.Members), func(o *workers.Worker) bool { return o == machine })
		l.committer.MarkDirtyLazily(group.Doc, func() { machine.Persisted = false })
		return
	}
	if isNew {
		l.committer.MarkDirty(machine.Group.Doc, func() {
			if machine.State != workers.Terminated {
				machine.Persisted = true
				l.dispatchNeeded = true
			}
		})
		return
	}
	l.committer.MarkDirtyLazily(machine.Group.Doc, nil)
}

func (l *leaderTerm) nextGroup(k groupKey) *workers.RecordGroup {
	l.lastGroupNumber++
	return l.newGroup(fmt.Sprintf("%s%d-%d", fleetPrefix, l.term, l.lastGroupNumber), k)
}

func (l *leaderTerm) newGroup(path string, key groupKey) *workers.RecordGroup {
	group := &workers.RecordGroup{Doc: &commit.Document{Key: path}}
	group.Doc.Render = func() json.RawMessage {
		members := slices.Concat(group.Members, group.Leaving)
		if len(members) == 0 {
			// Deleted, and not used again.
			group.Deleted = true
			return nil
		}
		record := groupRecord{Model: key.model, Zone: key.zone, Spot: key.spot}
		var list []machineRecord
		for _, w := range members {
			list = append(list, machineRecord{w.ID, w.Addr, l.controller.env.WallMS() - l.controller.env.Now().Sub(w.CreatedAt).Milliseconds()})
		}
		if l.formatLevel >= ident.FormatPacked {
			record.encode(list)
		} else {
			record.Machines = list
		}
		b := api.JSON(record)
		// Those that leave have their address in their next group; of longer addresses
		// than expected, reports tell again.
		for _, from := range []int{len(group.Members), 0} {
			if len(b) > l.maxValueBytes && l.formatLevel >= ident.FormatPacked {
				for i := range list[from:] {
					list[from+i].Addr = ""
				}
				record.encode(list)
				b = api.JSON(record)
			}
		}
		return b
	}
	return group
}

func (l *leaderTerm) restoreGroup(pair kvstore.KeyValue) error {
	var record groupRecord
	if err := json.Unmarshal(pair.Value, &record); err != nil {
		return fmt.Errorf("%s: %w", pair.Key, err)
	}
	list, err := record.decode()
	if err != nil {
		return fmt.Errorf("%s: %w", pair.Key, err)
	}
	key := groupKey{record.Model, record.Zone, record.Spot}
	group := l.newGroup(pair.Key, key)
	group.Doc.Revision = pair.Revision
	now := l.controller.env.Now()
	for _, m := range list {
		if w := l.workers.Workers[m.ID]; w != nil {
			// On its way from one group to another when a term ended.
			l.workers.RestoreAddress(w, m.Addr)
			l.committer.MarkDirtyLazily(group.Doc, nil)
			continue
		}
		age := time.Duration(l.controller.env.WallMS()-m.CreatedMS) * time.Millisecond
		w := l.workers.Restore(workers.MachineInfo{ID: m.ID, Model: record.Model, Zone: record.Zone, Spot: record.Spot,
			CreatedAt: now.Add(-max(0, age))}, m.Addr, group)
		group.Members = append(group.Members, w)
	}
	if l.formatLevel >= ident.FormatPacked && record.Packed == "" {
		l.legacyGroups = append(l.legacyGroups, group)
	}
	return nil
}

// rewriteLegacyGroups brings machines' records that an earlier term left in the first format to
// the present one. It goes with the first format.
func (l *leaderTerm) rewriteLegacyGroups() {
	for _, g := range l.legacyGroups {
		l.rewriteGroup(g)
	}
	l.legacyGroups = nil
}

// rewriteAllGroups splits the groups that were put under larger limits: none must have to be
// put again when it is too large.
func (l *leaderTerm) rewriteAllGroups() {
	seen := map[*workers.RecordGroup]bool{}
	for _, w := range l.workers.Sorted() {
		g := w.Group
		if g == nil || seen[g] {
			continue
		}
		seen[g] = true
		l.rewriteGroup(g)
	}
}

func (l *leaderTerm) rewriteGroup(group *workers.RecordGroup) {
	if len(group.Members) == 0 {
		return
	}
	w := group.Members[0]
	key := groupKey{w.Model, w.Zone, w.Spot}
	if l.groupFits(group, key) {
		l.committer.MarkDirtyLazily(group.Doc, nil)
	} else {
		l.splitGroup(group, key)
	}
}

// splitGroup moves machines to other groups. They leave the old one when the new record is
// durable, so that a successor finds each in at least one of both.
func (l *leaderTerm) splitGroup(group *workers.RecordGroup, key groupKey) {
	slog.Info("splitting a record of machines", "path", group.Doc.Key, "machines", len(group.Members))
	for !l.groupFits(group, key) && len(group.Members) > 1 {
		target := l.nextGroup(key)
		for len(group.Members) > 1 && l.groupFits(target, key, group.Members[len(group.Members)-1]) {
			machine := group.Members[len(group.Members)-1]
			group.Members = group.Members[:len(group.Members)-1]
			group.Leaving = append(group.Leaving, machine)
			target.Members = append(target.Members, machine)
			machine.Group = target
			if l.groupFits(group, key) {
				break
			}
		}
		if len(target.Members) == 0 {
			return
		}
		moved := slices.Clone(target.Members)
		l.committer.MarkDirty(target.Doc, func() {
			group.Leaving = slices.DeleteFunc(group.Leaving, func(machine *workers.Worker) bool { return slices.Contains(moved, machine) })
			l.committer.MarkDirtyLazily(group.Doc, nil)
		})
	}
}
