package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/catalog"
	"opaldale/internal/cloud"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	_ "opaldale/internal/kvstoretest"
	"opaldale/internal/machinestore"
	"opaldale/internal/settings"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// fakeEnv has a state service with a fleet on record, and machines that don't answer.
type fakeEnv struct {
	now         ident.MonotonicTime
	timers      []timer
	listed      []kvstore.KeyValue
	probedAddrs map[string]bool
	values      map[string]string  // of single keys
	frames      []*transport.Frame // sent to siblings
	revision    ident.Revision
}

type timer struct {
	due ident.MonotonicTime
	run func()
}

func (w *fakeEnv) Now() ident.MonotonicTime { return w.now }
func (w *fakeEnv) WallMS() int64            { return 0 }
func (w *fakeEnv) After(d time.Duration, f func()) {
	w.timers = append(w.timers, timer{w.now.Add(d), f})
}
func (w *fakeEnv) Cloud(r cloud.Request, f func(cloud.Response)) {}
func (w *fakeEnv) SendPeer(_ ident.NodeID, f *transport.Frame)   { w.frames = append(w.frames, f) }

func (w *fakeEnv) Store(r kvstore.Request, f func(kvstore.Response)) {
	switch r.Op {
	case kvstore.Txn:
		w.revision++
		f(kvstore.Response{Outcome: kvstore.OK, StoreRevision: w.revision})
	case kvstore.Get:
		if v, ok := w.values[r.Key]; ok {
			f(kvstore.Response{Outcome: kvstore.OK, Value: json.RawMessage(v)})
			return
		}
		if strings.HasPrefix(r.Key, jobs.ArchivePrefix) || r.Key == election.LeaderKey || r.Key == election.TermKey {
			f(kvstore.Response{Outcome: kvstore.NotFound})
			return
		}
		if r.Key == catalog.Key {
			f(kvstore.Response{Outcome: kvstore.OK, Value: api.JSON([]cloud.MachineType{{SKU: "m8", VCPUs: 8, Zones: []string{"a"}}})})
		}
	case kvstore.GrantLease, kvstore.RenewLease:
		f(kvstore.Response{Outcome: kvstore.OK, LeaseID: 1})
	case kvstore.List:
		out := kvstore.Response{Outcome: kvstore.OK}
		for _, p := range w.listed {
			if strings.HasPrefix(p.Key, r.Prefix) {
				out.KeyValues = append(out.KeyValues, p)
			}
		}
		f(out)
	}
}

func (w *fakeEnv) Worker(c workers.CommandCall, f func(workers.CommandResult)) {
	w.probedAddrs[c.Addr] = true
	w.After(1200*time.Millisecond, func() { f(workers.CommandResult{}) })
}

// advance runs what is due within d.
func (w *fakeEnv) advance(d time.Duration) {
	for end := w.now.Add(d); ; {
		i := -1
		for k, t := range w.timers {
			if t.due <= end && (i < 0 || t.due < w.timers[i].due) {
				i = k
			}
		}
		if i < 0 {
			w.now = end
			return
		}
		t := w.timers[i]
		w.timers = slices.Delete(w.timers, i, i+1)
		w.now = max(w.now, t.due)
		t.run()
	}
}

// TestUnansweredProbesFreeTheirSlot: a new leader asks every machine within the time that
// its pace needs, though none of the first sixteen answers, and one with tasks on record
// as well. The silent ones once were counted again in each turn until their time was
// over, and nobody else was asked; those with tasks never were, for their sessions are
// on record.
func TestUnansweredProbesFreeTheirSlot(t *testing.T) {
	w := &fakeEnv{now: ident.MonotonicTime(time.Hour), probedAddrs: map[string]bool{}}
	var g machinestore.GroupRecord
	g.Model, g.Zone = "m8", "a"
	const machines = 3 * maxMachineProbes
	for i := range machines {
		g.Machines = append(g.Machines, machinestore.MachineRecord{ID: ident.MachineID(fmt.Sprintf("host-%06d", i)), Addr: fmt.Sprint("addr-", i)})
	}
	b, err := json.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	w.listed = []kvstore.KeyValue{{Key: machinestore.Prefix + "1-1", Value: b, Revision: 3}}
	job := `{"spec":{"id":"j-1","desk":"red","shape":"service","pieces":1,"vcpus":1},"seq":1,"phase":"open","tasks":[{"t":1,"h":"host-000007","n":1}]}`
	w.listed = append(w.listed, kvstore.KeyValue{Key: "live/j-1", Value: json.RawMessage(job), Revision: 4})
	c := New(w, &settings.Settings{Node: "agent-0", Tuning: settings.DefaultTuning(), Cluster: settings.Cluster{
		Workers: settings.WorkerTimes{HeartbeatS: 8, LeaseS: 36, CancelS: 61}, Store: settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 16},
		Cloud: settings.CloudLimits{RPS: 5}}}, rand.New(rand.NewPCG(1, 2)))
	c.OnStartedLeading(2, 0, kvstore.Compare{Key: "leader", Revision: 9})
	w.advance(4 * machineProbeInterval)
	if len(w.probedAddrs) != machines {
		t.Errorf("%d of %d machines were asked", len(w.probedAddrs), machines)
	}
}
