package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/machinestore"
	"opaldale/internal/settings"
)

// recordingStore keeps what a leader writes, beside its world; with left at 0 nothing more is
// answered: the term ends there. One transaction may be lost before.
type recordingStore struct {
	*fakeEnv
	t             *testing.T
	pairs         map[string]kvstore.KeyValue
	maxValueBytes int
	txnsLeft      int
	txnToLose     int // counts down to it
}

func (s *recordingStore) Store(r kvstore.Request, f func(kvstore.Response)) {
	switch r.Op {
	case kvstore.Txn:
		if s.txnsLeft == 0 {
			return
		}
		s.txnsLeft--
		if s.txnToLose--; s.txnToLose == 0 {
			return
		}
		s.revision++
		for _, c := range r.Mutations {
			if len(c.Value) > s.maxValueBytes {
				s.t.Errorf("%s has %d bytes", c.Put, len(c.Value))
			}
			if c.Put != "" {
				s.pairs[c.Put] = kvstore.KeyValue{Key: c.Put, Value: c.Value, Revision: s.revision}
			} else {
				delete(s.pairs, c.Delete)
			}
		}
		f(kvstore.Response{Outcome: kvstore.OK, StoreRevision: s.revision})
	case kvstore.Get:
		if p, ok := s.pairs[r.Key]; ok {
			f(kvstore.Response{Outcome: kvstore.OK, Value: p.Value, Revision: p.Revision})
			return
		}
		f(kvstore.Response{Outcome: kvstore.NotFound})
	case kvstore.List:
		out := kvstore.Response{Outcome: kvstore.OK}
		for k, p := range s.pairs {
			if strings.HasPrefix(k, r.Prefix) {
				out.KeyValues = append(out.KeyValues, p)
			}
		}
		slices.SortFunc(out.KeyValues, func(a, b kvstore.KeyValue) int { return strings.Compare(a.Key, b.Key) })
		f(out)
	}
}

func (s *recordingStore) Cloud(r cloud.Request, f func(cloud.Response)) {
	if r.Op == cloud.Catalog {
		f(cloud.Response{Outcome: cloud.OK, MachineTypes: []cloud.MachineType{{SKU: "m8", VCPUs: 8, Zones: []string{"a"}}}})
	}
}

// startLeader begins a term over what is stored.
func (s *recordingStore) startLeader(term ident.Term) *Controller {
	c := New(s, &settings.Settings{Node: "agent-0", Tuning: settings.DefaultTuning(), Cluster: settings.Cluster{
		Workers: settings.WorkerTimes{HeartbeatS: 8, LeaseS: 36, CancelS: 61},
		Store: settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 16,
			Announced: &settings.AnnouncedStoreLimits{ValueKB: float64(s.maxValueBytes) / 1024, TxnOps: 5}},
		Cloud: settings.CloudLimits{RPS: 5}}}, rand.New(rand.NewPCG(1, 2)))
	c.OnStartedLeading(term, ident.FormatPacked, kvstore.Compare{Key: "leader", Revision: 9})
	for _, w := range c.leader.workers.Sorted() {
		c.leader.committer.MarkDirtyLazily(w.Group.Doc, nil) // as after a report with another address
	}
	for range 200 {
		s.advance(100 * time.Millisecond)
		c.AfterEvent()
	}
	return c
}

// TestMachineGroupsSplitToLimit: records of 50 machines, as the version before wrote them,
// are brought within the limits to come, whichever transaction a term ends with; every
// machine stays on record, and none is known twice.
func TestMachineGroupsSplitToLimit(t *testing.T) {
	const machines = 150
	for run := range 80 {
		left, lose := run/2, 0
		if run%2 == 1 {
			left, lose = 1<<30, run/2
		}
		s := &recordingStore{fakeEnv: &fakeEnv{now: ident.MonotonicTime(time.Hour), probedAddrs: map[string]bool{}}, t: t, pairs: map[string]kvstore.KeyValue{}, maxValueBytes: 1536, txnsLeft: left, txnToLose: lose}
		s.revision = 50
		for g := range 3 {
			r := machinestore.GroupRecord{Model: "m8", Zone: "a", Spot: g == 2}
			for i := range 50 {
				r.Machines = append(r.Machines, machinestore.MachineRecord{ID: ident.MachineID(fmt.Sprintf("host-%06d", 50*g+i)), Addr: fmt.Sprintf("10.1.%d.%d:9000", g, i), CreatedMS: int64(-1000 * i)})
			}
			b, err := json.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			path := fmt.Sprintf("%s1-%d", machinestore.Prefix, g)
			s.pairs[path] = kvstore.KeyValue{Key: path, Value: b, Revision: ident.Revision(10 + g)}
		}
		s.startLeader(2) // ends with its last transaction
		s.txnsLeft, s.txnToLose = 1<<30, 0
		c := s.startLeader(3)
		if n := len(c.leader.workers.Workers); n != machines {
			t.Fatalf("after %d transactions %d machines are known", left, n)
		}
		seen := map[ident.MachineID]string{}
		for path, p := range s.pairs {
			if !strings.HasPrefix(path, machinestore.Prefix) {
				continue
			}
			var r machinestore.GroupRecord
			if err := json.Unmarshal(p.Value, &r); err != nil {
				t.Fatal(err)
			}
			list, err := r.Decode()
			if err != nil || len(r.Machines) > 0 || len(p.Value) > s.maxValueBytes {
				t.Errorf("%s: %v, %d in the old form, %d bytes", path, err, len(r.Machines), len(p.Value))
			}
			for _, m := range list {
				if seen[m.ID] != "" {
					t.Errorf("after %d transactions %s is in %s and %s", left, m.ID, seen[m.ID], path)
				}
				seen[m.ID] = path
				// What was lost on its way from one record to the next is told by a report.
				if want := m.ID >= "host-000100"; r.Spot != want || lose == 0 && !strings.HasPrefix(m.Addr, "10.1.") {
					t.Errorf("%s: standby %v, address %q", m.ID, r.Spot, m.Addr)
				}
			}
		}
		if len(seen) != machines {
			t.Errorf("after %d transactions %d machines are on record", left, len(seen))
		}
	}
}
