package simulator

import (
	"fmt"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// timeAt is a moment of a run.
func timeAt(s float64) ident.MonotonicTime { return ident.MonotonicTime(s * float64(time.Second)) }

func (w *Simulation) scheduleAt(s float64, f func()) { w.schedule(timeAt(s).Sub(w.now), f) }

// submitJob submits a job like most here: an array of long tasks.
func (w *Simulation) submitJob(change func(s *api.Spec), duration time.Duration) *userJob {
	w.lastJobNumber++
	s := api.Spec{ID: ident.JobID(fmt.Sprintf("j-%06d", w.lastJobNumber)), Class: "lane", Team: w.settings.Teams[w.lastJobNumber%3].Name, Shape: api.Batch,
		Priority: api.Standard, Tasks: 3, VCPUs: 2, MemoryGB: 2, Image: fmt.Sprintf("img-%d", w.lastJobNumber%2), ImageGB: 1.5, Spot: w.lastJobNumber%2 == 0,
		RuntimeS: duration.Seconds()}
	if change != nil {
		change(&s)
	}
	j := &userJob{spec: s, duration: duration, done: make([]bool, s.Tasks)}
	w.registerJob(j)
	return j
}

// submitBaseLoad submits long jobs of all teams, so many, and a few services and gangs.
func (w *Simulation) submitBaseLoad(n int) {
	w.scheduleAt(2, func() {
		for i := range n {
			w.submitJob(nil, time.Duration(70+10*(i%5))*time.Second)
		}
		for range 2 {
			w.submitJob(func(s *api.Spec) {
				s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs = api.Service, api.Critical, false, 0, 1
			}, 0)
		}
	})
}

// submitStream submits jobs of one short task every so many seconds of a run. A third of them
// are cancelled within a time.
func (w *Simulation) submitStream(from, to, every float64, cancelWithin time.Duration) {
	for s := from; s < to; s += every {
		w.scheduleAt(s, func() {
			j := w.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, time.Duration(2+w.rng.IntN(10))*time.Second)
			if w.rng.IntN(3) == 0 {
				w.schedule(time.Duration(w.rng.Int64N(int64(cancelWithin))), func() { w.cancelWhenAccepted(j, nil) })
			}
		})
	}
}
