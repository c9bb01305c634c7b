package simulator

import (
	"fmt"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// generateArrivals submits random jobs at random intervals until the active part ends. The first jobs arrive 10 ms apart.
func (sim *Simulation) generateArrivals() {
	if sim.now > ident.MonotonicTime(sim.cfg.ActiveDuration) {
		return
	}
	sim.submitRandomJob()
	d := time.Duration(500+sim.rng.IntN(14_000)) * time.Millisecond
	if sim.lastJobNumber < 5 {
		d = 10 * time.Millisecond
	}
	sim.schedule(d, sim.generateArrivals)
}

// submitRandomJob submits a randomly drawn job. With concurrent faults some jobs fail on every machine until they are
// cancelled. Some of the other jobs are cancelled after a random time.
func (sim *Simulation) submitRandomJob() {
	s := sim.drawSpec()
	r := sim.rng
	j := &userJob{spec: s, duration: time.Duration(2000+r.IntN(40_000)) * time.Millisecond, done: make([]bool, s.Tasks)}
	if sim.cfg.ConcurrentFaults && s.Shape == api.Batch && r.IntN(12) == 0 {
		j.alwaysFails = true
		sim.schedule(time.Duration(20+r.IntN(100))*time.Second, func() { sim.cancelWhenAccepted(j, nil) })
	}
	sim.registerJob(j)
	if j.alwaysFails {
		return
	}
	if r.IntN(3) == 0 || s.Shape == api.Service && r.IntN(2) == 0 {
		sim.schedule(time.Duration(r.IntN(80_000))*time.Millisecond, func() {
			if j.accepted {
				j.cancelSentAt = sim.now
				sim.cancel(j)
			}
		})
	}
}

// drawSpec returns a random array, service or gang. The order of the draws must not change: it determines what a seed does.
func (sim *Simulation) drawSpec() api.Spec {
	sim.lastJobNumber++
	r := sim.rng
	s := api.Spec{
		ID:       sim.jobID(),
		Class:    jobClass,
		Team:     sim.settings.Teams[r.IntN(3)].Name,
		Shape:    api.Batch,
		Priority: api.Standard,
		Tasks:    1 + r.IntN(6),
		VCPUs:    float64(1 + r.IntN(4)),
		MemoryGB: 2,
		Image:    fmt.Sprintf("img-%d", r.IntN(3)),
		ImageGB:  1.5,
		Spot:     r.IntN(3) > 0,
		RuntimeS: 20,
	}
	sim.drawZoneConstraint(&s)
	if r.IntN(3) == 0 && sim.activeReplicas(s.Team) < maxReplicas {
		s.Shape, s.Priority, s.Spot, s.RuntimeS = api.Service, api.Critical, false, 0
		s.Tasks = 1 + r.IntN(2)
		s.VCPUs = 1
	}
	if r.IntN(40) == 0 {
		s.Tasks, s.VCPUs = 200, 0.1 // more tasks than the job's header record can hold
		s.Shape, s.Priority, s.OneZone = api.Batch, api.Standard, false
	}
	if sim.gangsSupported() && r.IntN(12) < 2 || sim.cfg.MoreGangs && r.IntN(2) == 0 {
		sim.drawGang(&s)
	}
	return s
}

const (
	// jobClass is the class of nearly all jobs.
	jobClass = "lane"
	// maxReplicas bounds the service replicas of a team, so that its CPU limit leaves capacity for arrays.
	maxReplicas = 4
)

// jobID returns the id of the job with number lastJobNumber.
func (sim *Simulation) jobID() ident.JobID {
	return ident.JobID(fmt.Sprintf("j-%06d", sim.lastJobNumber))
}

// drawZoneConstraint randomly binds a job to a single zone or to a given zone, spreads it over zones, or leaves it
// unconstrained.
func (sim *Simulation) drawZoneConstraint(s *api.Spec) {
	switch sim.rng.IntN(6) {
	case 0:
		s.OneZone = true
		s.Tasks = min(s.Tasks, 3)
	case 1:
		s.Spread = true
	case 2:
		zone := sim.settings.Zones[sim.rng.IntN(2)]
		s.Zone = &zone
	}
}

// drawGang turns a job into a gang with random properties.
func (sim *Simulation) drawGang(s *api.Spec) {
	r := sim.rng
	s.Shape, s.Spread, s.VCPUs, s.RuntimeS = api.Gang, false, 1, 40
	s.Priority = []api.Priority{api.High, api.Standard}[r.IntN(2)]
	s.Spot = r.IntN(3) == 0
	s.Tasks = 2 + r.IntN(5)
	s.OneZone = r.IntN(3) > 0
	if r.IntN(4) > 0 {
		s.CheckpointEveryS, s.CheckpointS = 8, 2
	}
}

// registerJob adds a job to the simulation and submits it; the submission is retried for up to a minute.
func (sim *Simulation) registerJob(j *userJob) {
	if j.checkpointed == nil {
		j.checkpointed = map[int]time.Duration{}
	}
	j.submittedAt = sim.now
	sim.jobs[j.spec.ID] = j
	sim.jobOrder = append(sim.jobOrder, j.spec.ID)
	sim.submit(j, sim.now.Add(60*time.Second))
}

// generateOverload submits small jobs of one team faster than its limit allows them to run. Among them are some jobs with
// large tasks, a part of which belong to a team without a guarantee.
func (sim *Simulation) generateOverload() {
	if sim.now > ident.MonotonicTime(sim.cfg.ActiveDuration) {
		return
	}
	sim.lastJobNumber++
	s := api.Spec{
		ID:       sim.jobID(),
		Class:    jobClass,
		Team:     "red",
		Shape:    api.Batch,
		Priority: api.Standard,
		Tasks:    2,
		VCPUs:    2,
		MemoryGB: 2,
		Image:    "img-0",
		ImageGB:  1.5,
		Spot:     true,
		RuntimeS: 10,
	}
	runs := 10 * time.Second
	if sim.lastJobNumber%40 == 20 {
		s.Tasks, s.VCPUs, s.RuntimeS, runs = 3, 7.5, 30, 30*time.Second
		if sim.lastJobNumber%80 == 20 {
			s.Spread = true
		} else {
			s.OneZone, s.Team, s.VCPUs, s.Tasks = true, "grey", 8, 2
		}
	}
	sim.registerJob(&userJob{spec: s, duration: runs, done: make([]bool, s.Tasks)})
	sim.schedule(600*time.Millisecond, sim.generateOverload)
}

// activeReplicas returns the number of replicas of a team's services that are not cancelled.
func (sim *Simulation) activeReplicas(team string) int {
	n := 0
	for _, j := range sim.jobs {
		if j.spec.Team == team && j.spec.Shape == api.Service && j.lastStatus != api.StatusCancelled {
			n += j.spec.Tasks
		}
	}
	return n
}
