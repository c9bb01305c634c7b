package controller

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/settings"
)

const (
	// waitingArrays arrays of api.MaxTasks tasks each are the work whose memory is bounded.
	waitingArrays = 100
	// maxWaitingBytes is the bound on the memory of the waiting arrays.
	maxWaitingBytes = 64 << 20
	// maxTakeover is the bound on the time in which a new leader takes over the waiting arrays.
	maxTakeover = time.Second
)

// waitingArray returns an array with as many tasks as an array may have.
func waitingArray(i int) *api.Spec {
	return &api.Spec{ID: ident.JobID(fmt.Sprintf("j-%06d", i)), Class: "render", Team: "red", Shape: api.Batch,
		Priority: api.Standard, Tasks: api.MaxTasks, VCPUs: 2, Image: fmt.Sprintf("img-%d", i%16), ImageGB: 1, RuntimeS: 20}
}

// storedWaitingArrays returns the stored records of the waiting arrays, in the newest format.
func storedWaitingArrays(tb testing.TB) (pairs []kvstore.KeyValue) {
	tb.Helper()
	for i := range waitingArrays {
		spec := waitingArray(i)
		header := map[string]any{"spec": spec, "seq": i + 1, "phase": "open", "logged": true}
		value, err := json.Marshal(header)
		if err != nil {
			tb.Fatal(err)
		}
		pairs = append(pairs, kvstore.KeyValue{Key: "live/" + string(spec.ID), Value: value, Revision: ident.Revision(i + 1)})
	}
	return pairs
}

// newArraysLeader returns a leader that has taken over the stored records.
func newArraysLeader(stored []kvstore.KeyValue) *Controller {
	env := newFakeEnv(ident.MonotonicTime(time.Hour))
	env.listed = stored
	cfg := testSettings()
	cfg.Cluster.Teams = []settings.Team{{Name: "red", CPUs: 2000, CPUsMax: 2000}}
	c := New(env, cfg, newTestRand())
	c.OnStartedLeading(2, ident.NewestFormatLevel, kvstore.Compare{Key: "leader", Revision: 9})
	c.AfterEvent()
	return c
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestMemoryOfWaitingArrays guards against accepted work that exhausts the memory of each leader: tasks that have never been
// placed take none. It covers the leader that accepts the work and one that takes it over, and the planning of rounds.
func TestMemoryOfWaitingArrays(t *testing.T) {
	check := func(name string, before uint64, c *Controller) {
		t.Helper()
		if len(c.leader.jobs.Jobs) != waitingArrays {
			t.Fatalf("%s: got %d jobs, want %d", name, len(c.leader.jobs.Jobs), waitingArrays)
		}
		c.leader.planner.Round()
		c.leader.planner.Dispatch()
		if used := int64(heapBytes()) - int64(before); used > maxWaitingBytes {
			t.Errorf("%s: got %d MB in use, want at most %d", name, used>>20, maxWaitingBytes>>20)
		} else if estimate := int64(c.leader.jobs.MemoryBytes()); estimate < used/2 || estimate > 2*used {
			t.Errorf("%s: got an estimate of %d KB, want about the %d KB in use", name, estimate>>10, used>>10)
		}
		runtime.KeepAlive(c)
	}
	before := heapBytes()
	c, _ := newTestLeader(ident.FormatPacked)
	for i := range waitingArrays {
		status := 0
		c.leader.submit(waitingArray(i), func(r Response) { status = r.Status })
		if c.AfterEvent(); status != 0 && status != http.StatusCreated {
			t.Fatalf("submission %d: got status %d, want %d", i, status, http.StatusCreated)
		}
	}
	check("leader that accepts the work", before, c)

	stored := storedWaitingArrays(t)
	before = heapBytes()
	began := time.Now()
	c = newArraysLeader(stored)
	if took := time.Since(began); took > maxTakeover {
		t.Errorf("takeover: got %v, want at most %v", took, maxTakeover)
	}
	check("leader that takes the work over", before, c)
}

// TestSubmissionsBeyondMemory: a submission for which the node's memory leaves no room is refused for now. It is accepted once
// other jobs have ended, and a repetition of an accepted one is answered all the time.
func TestSubmissionsBeyondMemory(t *testing.T) {
	c, _ := newTestLeader(ident.FormatPacked)
	c.settings.Cluster.Resources.MemoryMB = 1
	submit := func(i int) (status int) {
		c.leader.submit(waitingArray(i), func(r Response) { status = r.Status })
		c.AfterEvent()
		return status
	}
	accepted := 0
	for submit(accepted) == http.StatusCreated {
		accepted++
	}
	if accepted == 0 || accepted == waitingArrays || c.leader.jobs.MemoryBytes() > maxJobsMemoryShare*bytesPerMB {
		t.Fatalf("got %d arrays accepted, which take %d bytes, want some within %v of 1 MB",
			accepted, c.leader.jobs.MemoryBytes(), maxJobsMemoryShare)
	}
	if got := submit(accepted); got != http.StatusServiceUnavailable {
		t.Errorf("submission beyond the memory: got status %d, want %d", got, http.StatusServiceUnavailable)
	}
	if got := submit(0); got != http.StatusOK {
		t.Errorf("repeated submission: got status %d, want %d", got, http.StatusOK)
	}
	c.leader.cancel(waitingArray(0).ID, func(Response) {})
	c.AfterEvent()
	if got := submit(accepted); got != http.StatusCreated {
		t.Errorf("submission after a cancellation: got status %d, want %d", got, http.StatusCreated)
	}
}

// BenchmarkWaitingArrays measures how long a new leader takes to load the waiting arrays, and the memory that it holds then.
func BenchmarkWaitingArrays(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	stored := storedWaitingArrays(b)
	before := heapBytes()
	var c *Controller
	for b.Loop() {
		c = newArraysLeader(stored)
	}
	if len(c.leader.jobs.Jobs) != waitingArrays {
		b.Fatalf("got %d jobs, want %d", len(c.leader.jobs.Jobs), waitingArrays)
	}
	b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB-held")
	runtime.KeepAlive(c)
}
