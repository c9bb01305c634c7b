package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
	"opaldale/internal/machinestore"
	"opaldale/internal/settings"
)

// recordingStore is a fakeEnv with a store that keeps a leader's writes. When txnsLeft reaches 0, it no longer answers
// transactions, which ends the term's progress. It may drop one transaction before that.
type recordingStore struct {
	*fakeEnv
	*kvstoretest.MemoryStore
	t             *testing.T
	maxValueBytes int
	txnsLeft      int
	txnToLose     int // counts down to the transaction that is dropped
}

func (s *recordingStore) Store(r kvstore.Request, done func(kvstore.Response)) {
	switch r.Op {
	case kvstore.Txn:
		if s.txnsLeft == 0 {
			return
		}
		s.txnsLeft--
		if s.txnToLose--; s.txnToLose == 0 {
			return
		}
		for _, c := range r.Mutations {
			if len(c.Value) > s.maxValueBytes {
				s.t.Errorf("%s: got a value of %d bytes, want at most %d", c.Put, len(c.Value), s.maxValueBytes)
			}
		}
		done(s.Apply(r.Mutations))
	case kvstore.Get:
		done(s.Get(r.Key))
	case kvstore.List:
		done(s.List(r.Prefix))
	}
}

func (s *recordingStore) Cloud(r cloud.Request, done func(cloud.Response)) {
	if r.Op == cloud.Catalog {
		done(cloud.Response{Outcome: cloud.OK, MachineTypes: testMachineTypes()})
	}
}

// startLeader starts a term from the stored state.
func (s *recordingStore) startLeader(term ident.Term) *Controller {
	cfg := testSettings()
	cfg.Cluster.Store.Announced = &settings.AnnouncedStoreLimits{ValueKB: float64(s.maxValueBytes) / 1024, TxnOps: 5}
	c := New(s, cfg, newTestRand())
	c.OnStartedLeading(term, ident.FormatPacked, kvstore.Compare{Key: "leader", Revision: 9})
	for _, w := range c.leader.workers.Sorted() {
		c.leader.committer.MarkDirtyLazily(w.Group.Doc, nil) // as after a heartbeat with another address
	}
	for range 200 {
		s.Advance(100 * time.Millisecond)
		c.AfterEvent()
	}
	return c
}

// newRecordingStore returns a recordingStore without records that answers all transactions.
func newRecordingStore(t *testing.T, now ident.MonotonicTime, maxValueBytes int) *recordingStore {
	t.Helper()
	return &recordingStore{
		fakeEnv:       newFakeEnv(now),
		t:             t,
		MemoryStore:   kvstoretest.NewMemoryStore(),
		maxValueBytes: maxValueBytes,
		txnsLeft:      1 << 30,
	}
}

const (
	legacyGroups   = 3
	legacyMachines = 50 // per group
	spotGroup      = 2
)

// putLegacyGroups stores machine groups in the legacy format, as the previous version wrote them.
func (s *recordingStore) putLegacyGroups() {
	for g := range legacyGroups {
		r := machinestore.GroupRecord{Model: "m8", Zone: "a", Spot: g == spotGroup}
		for i := range legacyMachines {
			r.Machines = append(r.Machines, machinestore.MachineRecord{
				ID:        ident.MachineID(fmt.Sprintf("host-%06d", legacyMachines*g+i)),
				Addr:      fmt.Sprintf("10.1.%d.%d:9000", g, i),
				CreatedMS: int64(-1000 * i),
			})
		}
		b, err := json.Marshal(r)
		if err != nil {
			s.t.Fatal(err)
		}
		path := fmt.Sprintf("%s1-%d", machinestore.Prefix, g)
		s.Entries[path] = kvstore.KeyValue{Key: path, Value: b, Revision: ident.Revision(10 + g)}
	}
}

// TestMachineGroupsSplitToLimit: records of 50 machines, as the previous version wrote them, are split to fit the announced
// limits, whichever transaction is the last of a term or is lost. Every machine stays recorded, and none is recorded twice.
func TestMachineGroupsSplitToLimit(t *testing.T) {
	for n := range 40 {
		t.Run(fmt.Sprintf("term ends after %d transactions", n), func(t *testing.T) { testGroupsSplit(t, n, 0) })
		t.Run(fmt.Sprintf("transaction %d is lost", n), func(t *testing.T) { testGroupsSplit(t, 1<<30, n) })
	}
}

// testGroupsSplit runs a term that splits groups until txnsLeft transactions have been answered, of which one may be lost.
// It checks the machines and records of the next term.
func testGroupsSplit(t *testing.T, txnsLeft, txnToLose int) {
	const machines = legacyGroups * legacyMachines
	s := newRecordingStore(t, ident.MonotonicTime(time.Hour), 1536)
	s.txnsLeft, s.txnToLose = txnsLeft, txnToLose
	s.Revision = 50
	s.putLegacyGroups()
	s.startLeader(2) // ends with its last transaction
	s.txnsLeft, s.txnToLose = 1<<30, 0
	c := s.startLeader(3)
	if n := len(c.leader.workers.Workers); n != machines {
		t.Fatalf("got %d machines loaded, want %d", n, machines)
	}
	seen := map[ident.MachineID]string{}
	for path, p := range s.Entries {
		if strings.HasPrefix(path, machinestore.Prefix) {
			s.checkGroup(path, p.Value, seen, txnToLose == 0)
		}
	}
	if len(seen) != machines {
		t.Errorf("got %d machines in the stored records, want %d", len(seen), machines)
	}
}

// checkGroup checks that a record is in the packed format and within the limit, and that none of its machines is in seen.
// Addresses may be missing if a transaction was lost, since later heartbeats restore them.
func (s *recordingStore) checkGroup(path string, value json.RawMessage, seen map[ident.MachineID]string, wantAddresses bool) {
	t := s.t
	t.Helper()
	var r machinestore.GroupRecord
	if err := json.Unmarshal(value, &r); err != nil {
		t.Fatal(err)
	}
	list, err := r.Decode()
	if err != nil || len(r.Machines) > 0 || len(value) > s.maxValueBytes {
		t.Errorf("%s: got error %v, %d machines in the legacy format and %d bytes, want none, 0 machines and at most %d bytes",
			path, err, len(r.Machines), len(value), s.maxValueBytes)
	}
	for _, m := range list {
		if seen[m.ID] != "" {
			t.Errorf("machine %s: recorded in both %s and %s", m.ID, seen[m.ID], path)
		}
		seen[m.ID] = path
		wantSpot := m.ID >= ident.MachineID(fmt.Sprintf("host-%06d", legacyMachines*spotGroup))
		if r.Spot != wantSpot || wantAddresses && !strings.HasPrefix(m.Addr, "10.1.") {
			t.Errorf("machine %s: got spot %v and address %q, want spot %v and an address with prefix 10.1. (required: %v)",
				m.ID, r.Spot, m.Addr, wantSpot, wantAddresses)
		}
	}
}
