package simulator

import (
	"fmt"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// checkIdleCapacity checks every five seconds that no job waits too long although there is free capacity for it. It starts
// once all faults have ended.
func (sim *Simulation) checkIdleCapacity() {
	quiescentFrom := ident.MonotonicTime(sim.cfg.ActiveDuration + faultDrainTime)
	sim.schedule(5*time.Second, sim.checkIdleCapacity)
	if sim.now < quiescentFrom {
		return
	}
	for _, id := range sim.jobOrder {
		j := sim.jobs[id]
		if j.idleCapacitySince > 0 && sim.now.Sub(j.idleCapacitySince) > maxWaitWithFreeCapacity {
			sim.reportViolation("%s has waited for %v although there is free capacity for it", id,
				sim.now.Sub(j.idleCapacitySince))
			return
		}
		switch {
		case !j.accepted || j.cancelSentAt > 0 || isTerminal(j.lastStatus) || j.spec.Shape == api.Gang || !sim.hasCapacityFor(j):
			j.idleCapacitySince = 0
		case j.idleCapacitySince == 0:
			j.idleCapacitySince = sim.now
		}
	}
}

// maxWaitWithFreeCapacity is how long a job may wait although there is free capacity for it.
const maxWaitWithFreeCapacity = 90 * time.Second

// hasCapacityFor reports whether a job has a waiting task that could start on a machine now.
func (sim *Simulation) hasCapacityFor(j *userJob) bool {
	if j.alwaysFails {
		return false // the controllers delay retries of failing tasks on purpose
	}
	used := newUsage(j)
	for _, w := range sim.workers {
		w.forEachTask(func(t *task) {
			if t.status != api.Ended {
				used.add(sim.jobs[t.id.Job], w, t)
			}
		})
	}
	if !used.hasWaitingTask() {
		return false
	}
	if limit := sim.cpuLimit(j.spec.Team); limit > 0 && used.teamCPUs+j.spec.VCPUs > limit {
		return false
	}
	for _, w := range sim.workers {
		if sim.admits(w, j, used) {
			return true
		}
	}
	return false
}

// admits reports whether a machine is healthy, meets the constraints of a job and has free capacity for one of its tasks.
func (sim *Simulation) admits(w *worker, j *userJob, used *usage) bool {
	zone := w.machine.zone
	switch {
	case w.faulty || w.reclaimAt > 0 || sim.now < w.hungUntil:
		return false
	case j.spec.Zone != nil && *j.spec.Zone != zone:
		return false
	case w.machine.spot && !j.spec.Spot:
		return false
	case used.exceedsSpread(zone) || j.spec.OneZone && used.runsOutside(zone):
		return false
	}
	return sim.cloud.machineTypes[0].VCPUs-w.usedCPUs() >= j.spec.VCPUs
}

// largestJobs returns the jobs of each class that require the most CPUs in total.
func (sim *Simulation) largestJobs() (out []*userJob) {
	most := map[string]float64{}
	size := func(j *userJob) float64 { return float64(j.spec.Tasks) * j.spec.VCPUs }
	for _, j := range sim.jobs {
		most[j.spec.Class] = max(most[j.spec.Class], size(j))
	}
	for _, id := range sim.jobOrder {
		if j := sim.jobs[id]; j.accepted && size(j) == most[j.spec.Class] {
			out = append(out, j)
		}
	}
	return out
}

// checkFairness checks that at least half of the jobs of each class, of each team, and of the largest jobs of each class
// were served, and that the largest jobs started in time.
func (sim *Simulation) checkFairness() {
	type share struct{ all, ok int }
	shares := map[string]*share{}
	count := func(group string, ok bool) {
		s := shares[group]
		if s == nil {
			s = &share{}
			shares[group] = s
		}
		s.all++
		if ok {
			s.ok++
		}
	}
	served := func(j *userJob) bool {
		return j.lastStatus == api.StatusDone || j.spec.Shape == api.Service && j.firstStartAt > 0
	}
	for _, id := range sim.jobOrder {
		if j := sim.jobs[id]; j.accepted && j.cancelSentAt == 0 {
			count("class "+j.spec.Class, served(j))
			count("team "+j.spec.Team, served(j))
		}
	}
	for _, j := range sim.largestJobs() {
		if j.cancelSentAt > 0 {
			continue
		}
		count("largest of "+j.spec.Class, served(j))
		if j.firstStartAt == 0 || j.firstStartAt.Sub(j.submittedAt) > maxStartDelay {
			sim.reportUnfinished("%s, the largest job of class %s, did not start within %v", j.spec.ID, j.spec.Class,
				maxStartDelay)
		}
	}
	for group, s := range shares {
		if 2*s.ok < s.all {
			sim.reportUnfinished("%s: %d of %d jobs served, want at least half", group, s.ok, s.all)
		}
	}
}

// defaultQuiescence is the duration of the quiescent part if Config.QuiescentDuration is 0.
const defaultQuiescence = 260 * time.Second

// checkCompletion checks at the end of the run that all jobs are done or cancelled, and that all services run.
func (sim *Simulation) checkCompletion() {
	if !sim.cfg.Overload {
		sim.checkFairness() // an overloaded fleet cannot serve half of the jobs
	}
	for _, id := range sim.jobOrder {
		j := sim.jobs[id]
		switch {
		case !j.accepted:
		case j.lastStatus == api.StatusCancelled || j.lastStatus == api.StatusDone:
		case j.cancelSentAt > 0:
			sim.reportUnfinished("%s: the cancellation was never confirmed", id)
		case j.spec.Shape != api.Service:
			sim.reportUnfinished("%s: not done, last status %q", id, j.lastStatus)
		default:
			n := 0
			for _, w := range sim.workers {
				n += w.taskCount(id)
			}
			if n != j.spec.Tasks {
				sim.reportUnfinished("%s: %d of %d replicas run", id, n, j.spec.Tasks)
			}
		}
	}
}

// reportUnfinished records work that has not ended by the end of the run.
func (sim *Simulation) reportUnfinished(format string, a ...any) {
	sim.Unfinished = append(sim.Unfinished, fmt.Sprintf(format, a...))
}
