package placement

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// TestGaveWayIsSpared: a task that was stopped to make room is not the cheapest to
// stop again just because it has just started. (One was stopped sixty times.)
func TestGaveWayIsSpared(t *testing.T) {
	l := newLarge(1)
	l.submit(api.Batch, 4, 4)
	l.fill()
	w := l.fleet.Sorted()[0]
	l.report(w)
	j := &jobs.Job{Spec: &api.Spec{Rank: api.Critical, VCPUs: 4, Shape: api.Service}}
	l.now = l.now.Add(30 * time.Second)
	first, _, ok := l.planner.choose(w, j, jobs.NeedOf(j.Spec), l.now, false, false)
	if !ok || len(first) != 1 {
		t.Fatalf("%v, %v", first, ok)
	}
	first[0].GaveWay = l.now
	if next, _, ok := l.planner.choose(w, j, jobs.NeedOf(j.Spec), l.now, false, false); !ok || next[0] == first[0] {
		t.Errorf("the same task again: %v, %v", next, ok)
	}
	for _, v := range w.Tasks {
		v.GaveWay = l.now
	}
	if _, _, ok := l.planner.choose(w, j, jobs.NeedOf(j.Spec), l.now, true, false); ok {
		t.Error("a task that gave way is stopped where there is room elsewhere")
	}
	if _, _, ok := l.planner.choose(w, j, jobs.NeedOf(j.Spec), l.now, false, false); !ok {
		t.Error("nothing is stopped though there is no other room")
	}
}
