package standin

import (
	"fmt"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// second is a moment of a run.
func second(s float64) ident.MonotonicTime { return ident.MonotonicTime(s * float64(time.Second)) }

func (w *World) when(s float64, f func()) { w.at(second(s).Sub(w.now), f) }

// job submits a job like most here: an array of long tasks.
func (w *World) job(change func(s *api.Spec), runs time.Duration) *userJob {
	w.nextJob++
	s := api.Spec{ID: ident.JobID(fmt.Sprintf("j-%06d", w.nextJob)), Class: "lane", Team: w.set.Teams[w.nextJob%3].Name, Shape: api.Batch,
		Priority: api.Standard, Tasks: 3, VCPUs: 2, MemoryGB: 2, Image: fmt.Sprintf("img-%d", w.nextJob%2), ImageGB: 1.5, Spot: w.nextJob%2 == 0,
		RuntimeS: runs.Seconds()}
	if change != nil {
		change(&s)
	}
	j := &userJob{spec: s, runs: runs, done: make([]bool, s.Tasks)}
	w.add(j)
	return j
}

// load submits long jobs of all teams, so many, and a few services and gangs.
func (w *World) load(n int) {
	w.when(2, func() {
		for i := range n {
			w.job(nil, time.Duration(70+10*(i%5))*time.Second)
		}
		for range 2 {
			w.job(func(s *api.Spec) {
				s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs = api.Service, api.Critical, false, 0, 1
			}, 0)
		}
	})
}

// stream submits jobs of one short task every so many seconds of a run. A third of them
// are cancelled within a time.
func (w *World) stream(from, to, every float64, cancelled time.Duration) {
	for s := from; s < to; s += every {
		w.when(s, func() {
			j := w.job(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, time.Duration(2+w.rng.IntN(10))*time.Second)
			if w.rng.IntN(3) == 0 {
				w.at(time.Duration(w.rng.Int64N(int64(cancelled))), func() { w.callOff(j, nil) })
			}
		})
	}
}
