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
	"opaldale/internal/cloud"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/mesh"
	"opaldale/internal/settings"
	"opaldale/internal/statesvc"
	_ "opaldale/internal/statetest"
	"opaldale/internal/workers"
)

// world has a state service with a fleet on record, and machines that don't answer.
type world struct {
	now    ident.MonotonicTime
	timers []timer
	keys   []statesvc.KeyValue
	asked  map[string]bool
	values map[string]string // of single keys
	frames []*mesh.Frame     // sent to siblings
	ledger uint64
}

type timer struct {
	at ident.MonotonicTime
	f  func()
}

func (w *world) Now() ident.MonotonicTime                      { return w.now }
func (w *world) WallMS() int64                                 { return 0 }
func (w *world) After(d time.Duration, f func())               { w.timers = append(w.timers, timer{w.now.Add(d), f}) }
func (w *world) Cloud(r cloud.Request, f func(cloud.Response)) {}
func (w *world) Mesh(_ ident.NodeID, f *mesh.Frame)            { w.frames = append(w.frames, f) }

func (w *world) Store(r statesvc.Request, f func(statesvc.Response)) {
	switch r.Op {
	case statesvc.Txn:
		w.ledger++
		f(statesvc.Response{Outcome: statesvc.OK, StoreRevision: w.ledger})
	case statesvc.Get:
		if v, ok := w.values[r.Key]; ok {
			f(statesvc.Response{Outcome: statesvc.OK, Value: json.RawMessage(v)})
			return
		}
		if strings.HasPrefix(r.Key, jobs.ArchivePrefix) || r.Key == election.LeaderKey || r.Key == election.TermKey {
			f(statesvc.Response{Outcome: statesvc.NotFound})
			return
		}
		if r.Key == catalogKey {
			f(statesvc.Response{Outcome: statesvc.OK, Value: api.JSON([]cloud.MachineType{{SKU: "m8", VCPUs: 8, Zones: []string{"a"}}})})
		}
	case statesvc.GrantLease, statesvc.RenewLease:
		f(statesvc.Response{Outcome: statesvc.OK, LeaseID: 1})
	case statesvc.List:
		out := statesvc.Response{Outcome: statesvc.OK}
		for _, p := range w.keys {
			if strings.HasPrefix(p.Key, r.Prefix) {
				out.KeyValues = append(out.KeyValues, p)
			}
		}
		f(out)
	}
}

func (w *world) Worker(c workers.CommandCall, f func(workers.CommandResult)) {
	w.asked[c.Addr] = true
	w.After(1200*time.Millisecond, func() { f(workers.CommandResult{}) })
}

// pass runs what is due within d.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); ; {
		i := -1
		for k, t := range w.timers {
			if t.at <= end && (i < 0 || t.at < w.timers[i].at) {
				i = k
			}
		}
		if i < 0 {
			w.now = end
			return
		}
		t := w.timers[i]
		w.timers = slices.Delete(w.timers, i, i+1)
		w.now = max(w.now, t.at)
		t.f()
	}
}

// TestSilentMachinesTakeNoTurn: a new leader asks every machine within the time that
// its pace needs, though none of the first sixteen answers, and one with tasks on record
// as well. The silent ones once were counted again in each turn until their time was
// over, and nobody else was asked; those with tasks never were, for their sessions are
// on record.
func TestSilentMachinesTakeNoTurn(t *testing.T) {
	w := &world{now: ident.MonotonicTime(time.Hour), asked: map[string]bool{}}
	var g groupRecord
	g.Model, g.Zone = "m8", "a"
	const machines = 3 * maxAsked
	for i := range machines {
		g.Hosts = append(g.Hosts, machineRecord{Host: ident.MachineID(fmt.Sprintf("host-%06d", i)), Addr: fmt.Sprint("addr-", i)})
	}
	b, err := json.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	w.keys = []statesvc.KeyValue{{Key: fleetPrefix + "1-1", Value: b, Revision: 3}}
	job := `{"spec":{"id":"j-1","desk":"red","shape":"service","pieces":1,"vcpus":1},"seq":1,"phase":"open","tasks":[{"t":1,"h":"host-000007","n":1}]}`
	w.keys = append(w.keys, statesvc.KeyValue{Key: "live/j-1", Value: json.RawMessage(job), Revision: 4})
	c := New(w, &settings.Settings{Node: "agent-0", Tuning: settings.DefaultTuning(), Cluster: settings.Cluster{
		Workers: settings.WorkerTimes{HeartbeatS: 8, LeaseS: 36, CancelS: 61}, Store: settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 16},
		Cloud: settings.CloudLimits{RPS: 5}}}, rand.New(rand.NewPCG(1, 2)))
	c.OnStartedLeading(2, 0, statesvc.Compare{Key: "leader", Revision: 9})
	w.pass(4 * askEvery)
	if len(w.asked) != machines {
		t.Errorf("%d of %d machines were asked", len(w.asked), machines)
	}
}
