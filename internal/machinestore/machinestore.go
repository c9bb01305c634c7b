// Package machinestore persists a leader's machines in the key-value store. Each key holds a group of machines of the
// same type, because one key per machine would need too many writes in a large fleet. Groups are written in the packed
// format once it is enabled in the cluster, and in the legacy format before that.
package machinestore

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/decode"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/workers"
)

const (
	// Prefix is the prefix of the keys of all groups.
	Prefix = "fleet/"
	// MaxGroupMachines bounds the number of machines in a group. It is also the largest number that one request to the
	// cloud provisions.
	MaxGroupMachines = 50

	// groupOverheadBytes is an upper bound on the size of a group record without its machines, model and zone.
	// legacyMachineBytes and packedMachineBytes are upper bounds on the size of a machine without its ID and address, in
	// the legacy and the packed format. minAddressBytes is the size reserved for an address that is not known yet or
	// shorter.
	groupOverheadBytes = 100
	legacyMachineBytes = 40
	packedMachineBytes = 14
	minAddressBytes    = 21
)

// Config configures a Store for a term.
type Config struct {
	Term          ident.Term
	Packed        bool // whether the packed format is enabled
	MaxValueBytes int  // the largest value that the key-value store accepts, both now and under announced limits
	Now           func() ident.MonotonicTime
	WallMS        func() int64
	// OnPersisted is called when the record of a new machine has become durable. No tasks may be placed on a machine
	// before that.
	OnPersisted func()
}

// Store persists the machines during one term of a leader. It is not safe for concurrent use.
type Store struct {
	config    Config
	committer *commit.Committer
	workers   *workers.Table

	openGroups      map[groupKey]*workers.RecordGroup // groups to which new machines are added
	legacyGroups    []*workers.RecordGroup            // restored from the legacy format while the packed format is enabled
	lastGroupNumber int
}

// groupKey holds the properties that all machines of a group share.
type groupKey struct {
	model, zone string
	spot        bool
}

// New returns a store without any groups.
func New(config Config, committer *commit.Committer, table *workers.Table) *Store {
	return &Store{
		config:     config,
		committer:  committer,
		workers:    table,
		openGroups: map[groupKey]*workers.RecordGroup{},
	}
}

// Commit persists a new or changed machine. The record of a new machine is written with the next transaction, since the
// next leader must know the machine before any task runs on it. Other changes are written lazily.
func (s *Store) Commit(machine *workers.Worker) {
	isNew := machine.Group == nil
	if isNew {
		s.addToGroup(machine)
	}
	group := machine.Group
	switch {
	case machine.State == workers.Terminated:
		isMachine := func(member *workers.Worker) bool { return member == machine }
		group.Members = slices.DeleteFunc(slices.Clone(group.Members), isMachine)
		s.committer.MarkDirtyLazily(group.Doc, func() { machine.Persisted = false })
	case isNew:
		s.committer.MarkDirty(group.Doc, func() {
			if machine.State != workers.Terminated {
				machine.Persisted = true
				s.config.OnPersisted()
			}
		})
	default:
		s.committer.MarkDirtyLazily(group.Doc, nil)
	}
}

// addToGroup adds a new machine to the open group for its properties. It opens a new group if there is none or the
// machine does not fit.
func (s *Store) addToGroup(machine *workers.Worker) {
	key := groupKey{machine.Model, machine.Zone, machine.Spot}
	group := s.openGroups[key]
	if group == nil || group.Deleted || !s.fits(group, key, machine) {
		group = s.nextGroup(key)
		s.openGroups[key] = group
	}
	machine.Group = group
	group.Members = append(group.Members, machine)
}

// fits reports whether a group, with more machines added to it, stays within the limits on its size and on the number of
// its machines.
func (s *Store) fits(group *workers.RecordGroup, key groupKey, more ...*workers.Worker) bool {
	size := groupOverheadBytes + len(key.model) + len(key.zone)
	perMachine := legacyMachineBytes
	if s.config.Packed {
		perMachine = packedMachineBytes
	}
	for _, list := range [][]*workers.Worker{group.Members, more} {
		for _, w := range list {
			size += perMachine + len(w.ID) + max(len(w.Addr), minAddressBytes)
		}
	}
	return size <= s.config.MaxValueBytes && len(group.Members)+len(more) <= MaxGroupMachines
}

// nextGroup returns a new, empty group under a key that has never been used, in this term or an earlier one.
func (s *Store) nextGroup(key groupKey) *workers.RecordGroup {
	s.lastGroupNumber++
	return s.newGroup(fmt.Sprintf("%s%d-%d", Prefix, s.config.Term, s.lastGroupNumber), key)
}

// newGroup returns an empty group that is stored under a key.
func (s *Store) newGroup(path string, key groupKey) *workers.RecordGroup {
	group := &workers.RecordGroup{Doc: &commit.Document{Key: path}}
	group.Doc.Render = func() json.RawMessage { return s.render(group, key) }
	return group
}

// render returns the value to be stored for a group, or nil to delete the key of an empty group. A deleted group is not
// used again.
func (s *Store) render(group *workers.RecordGroup, key groupKey) json.RawMessage {
	members := slices.Concat(group.Members, group.Leaving)
	if len(members) == 0 {
		group.Deleted = true
		return nil
	}
	record := GroupRecord{Model: key.model, Zone: key.zone, Spot: key.spot}
	machines := make([]MachineRecord, 0, len(members))
	for _, w := range members {
		createdMS := s.config.WallMS() - s.config.Now().Sub(w.CreatedAt).Milliseconds()
		machines = append(machines, MachineRecord{ID: w.ID, Addr: w.Addr, CreatedMS: createdMS})
	}
	if !s.config.Packed {
		record.Machines = machines
		return api.JSON(record)
	}
	record.Encode(machines)
	value := api.JSON(record)
	// Escaped addresses may be longer than fits has assumed. If the value is too large, addresses are left out, and are
	// learned again from heartbeats: first those of leaving machines, which their new group also stores, then all.
	for _, from := range []int{len(group.Members), 0} {
		if len(value) > s.config.MaxValueBytes {
			for i := range machines[from:] {
				machines[from+i].Addr = ""
			}
			record.Encode(machines)
			value = api.JSON(record)
		}
	}
	return value
}

// Restore loads a group that was stored in an earlier term. It returns an error if the record can't be decoded.
func (s *Store) Restore(pair kvstore.KeyValue) error {
	var record GroupRecord
	if err := decode.JSON(pair.Value, &record); err != nil {
		return fmt.Errorf("machine group %s: %w", pair.Key, err)
	}
	machines, err := record.Decode()
	if err != nil {
		return fmt.Errorf("machine group %s: %w", pair.Key, err)
	}
	group := s.newGroup(pair.Key, groupKey{record.Model, record.Zone, record.Spot})
	group.Doc.Revision = pair.Revision
	now := s.config.Now()
	for _, m := range machines {
		if w := s.workers.Workers[m.ID]; w != nil {
			// The earlier term ended while the machine was being moved between groups. Another group with it has already
			// been restored.
			s.workers.RestoreAddress(w, m.Addr)
			s.committer.MarkDirtyLazily(group.Doc, nil)
			continue
		}
		age := time.Duration(s.config.WallMS()-m.CreatedMS) * time.Millisecond
		createdAt := now.Add(-max(0, age))
		info := workers.MachineInfo{
			ID: m.ID, Model: record.Model, Zone: record.Zone, Spot: record.Spot, CreatedAt: createdAt,
		}
		w := s.workers.Restore(info, m.Addr, group)
		group.Members = append(group.Members, w)
	}
	if s.config.Packed && record.Packed == "" {
		s.legacyGroups = append(s.legacyGroups, group)
	}
	return nil
}

// RewriteLegacy rewrites restored groups from the legacy format to the packed format, if the latter is enabled. It is to
// be removed together with the legacy format.
func (s *Store) RewriteLegacy() {
	for _, g := range s.legacyGroups {
		s.rewrite(g)
	}
	s.legacyGroups = nil
}

// UsePackedFormat switches to the packed format when it is enabled during the term. It rewrites all groups, and splits
// those that were written under larger size limits.
func (s *Store) UsePackedFormat() {
	s.config.Packed = true
	seen := map[*workers.RecordGroup]bool{}
	for _, w := range s.workers.Sorted() {
		g := w.Group
		if g == nil || seen[g] {
			continue
		}
		seen[g] = true
		s.rewrite(g)
	}
}

// rewrite writes a group again, and splits it if it is too large.
func (s *Store) rewrite(group *workers.RecordGroup) {
	if len(group.Members) == 0 {
		return
	}
	first := group.Members[0]
	key := groupKey{first.Model, first.Zone, first.Spot}
	if s.fits(group, key) {
		s.committer.MarkDirtyLazily(group.Doc, nil)
	} else {
		s.split(group, key)
	}
}

// split moves machines from a group to new groups until the group fits its limits. A moved machine also stays in the
// record of the old group until the record of the new group is durable, so that the next leader always finds it in at
// least one of them.
func (s *Store) split(group *workers.RecordGroup, key groupKey) {
	slog.Info("splitting machine group record", "path", group.Doc.Key, "machines", len(group.Members))
	for !s.fits(group, key) && len(group.Members) > 1 {
		target := s.nextGroup(key)
		s.moveMembers(group, target, key)
		if len(target.Members) == 0 {
			return
		}
		moved := slices.Clone(target.Members)
		isMoved := func(machine *workers.Worker) bool { return slices.Contains(moved, machine) }
		s.committer.MarkDirty(target.Doc, func() {
			group.Leaving = slices.DeleteFunc(group.Leaving, isMoved)
			s.committer.MarkDirtyLazily(group.Doc, nil)
		})
	}
}

// moveMembers moves machines from the end of one group to another, until the source fits its limits or the target is
// full.
func (s *Store) moveMembers(from, to *workers.RecordGroup, key groupKey) {
	for len(from.Members) > 1 {
		machine := from.Members[len(from.Members)-1]
		if !s.fits(to, key, machine) {
			return
		}
		from.Members = from.Members[:len(from.Members)-1]
		from.Leaving = append(from.Leaving, machine)
		to.Members = append(to.Members, machine)
		machine.Group = to
		if s.fits(from, key) {
			return
		}
	}
}
