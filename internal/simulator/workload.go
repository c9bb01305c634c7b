package simulator

import (
	"fmt"
	"time"

	"opaldale/internal/api"
)

// submitJob submits an array of three tasks of 2 CPUs each, after change, if not nil, has modified it.
func (sim *Simulation) submitJob(change func(s *api.Spec), duration time.Duration) *userJob {
	sim.lastJobNumber++
	s := api.Spec{
		ID:       sim.jobID(),
		Class:    jobClass,
		Team:     sim.settings.Teams[sim.lastJobNumber%3].Name,
		Shape:    api.Batch,
		Priority: api.Standard,
		Tasks:    3,
		VCPUs:    2,
		MemoryGB: 2,
		Image: fmt.Sprintf("img-%d",
			sim.lastJobNumber%2),
		ImageGB:  1.5,
		Spot:     sim.lastJobNumber%2 == 0,
		RuntimeS: duration.Seconds(),
	}
	if change != nil {
		change(&s)
	}
	j := &userJob{spec: s, duration: duration, done: make([]bool, s.Tasks)}
	sim.registerJob(j)
	return j
}

// submitBaseLoad submits n long jobs, of all teams, and two services, two seconds after the start of the run.
func (sim *Simulation) submitBaseLoad(n int) {
	sim.scheduleAt(2, func() {
		for i := range n {
			sim.submitJob(nil, time.Duration(70+10*(i%5))*time.Second)
		}
		for range 2 {
			sim.submitJob(func(s *api.Spec) {
				s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs = api.Service, api.Critical, false, 0, 1
			}, 0)
		}
	})
}

// submitStream submits a job with one short task every so many seconds, from one time to another. A third of the jobs are
// cancelled after a random time below cancelWithin.
func (sim *Simulation) submitStream(from, to, every float64, cancelWithin time.Duration) {
	for s := from; s < to; s += every {
		sim.scheduleAt(s, func() {
			j := sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, time.Duration(2+sim.rng.IntN(10))*time.Second)
			if sim.rng.IntN(3) == 0 {
				sim.schedule(time.Duration(sim.rng.Int64N(int64(cancelWithin))), func() { sim.cancelWhenAccepted(j, nil) })
			}
		})
	}
}
