package simulator

import (
	"fmt"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// livenessCheckInterval is the interval of the checks of waiting jobs.
const livenessCheckInterval = 5 * time.Second

// checkWaitingJobs checks at an interval that no job waits too long although there is free capacity for it, and measures how long
// jobs wait because their team is at its limit. It starts once all faults have ended.
func (sim *Simulation) checkWaitingJobs() {
	quiescentFrom := ident.MonotonicTime(sim.cfg.ActiveDuration + faultDrainTime)
	sim.schedule(livenessCheckInterval, sim.checkWaitingJobs)
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
		switch sim.waitReasonOf(j) {
		case waitsForTeam:
			j.limitedByTeam += livenessCheckInterval
			j.idleCapacitySince = 0
		case notWaiting, waitsForMachine:
			j.idleCapacitySince = 0
		case waitsForScheduler:
			if j.idleCapacitySince == 0 {
				j.idleCapacitySince = sim.now
			}
		}
	}
}

// maxWaitWithFreeCapacity is how long a job may wait although there is free capacity for it.
const maxWaitWithFreeCapacity = 90 * time.Second

// waitReason is what a job waits for.
type waitReason uint8

const (
	notWaiting        waitReason = iota // no task waits, or the job is not checked
	waitsForTeam                        // the limit of the job's team leaves no capacity for a task
	waitsForMachine                     // no machine has capacity for a task
	waitsForScheduler                   // a task could start on a machine now
)

// waitReasonOf returns what a job waits for, by the workers' own state. Gangs are not checked, nor are jobs whose tasks
// fail, which are retried late on purpose.
func (sim *Simulation) waitReasonOf(j *userJob) waitReason {
	if !j.accepted || j.cancelSentAt > 0 || isTerminal(j.lastStatus) || j.spec.Shape == api.Gang || j.alwaysFails {
		return notWaiting
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
		return notWaiting
	}
	if limit := sim.cpuLimit(j.spec.Team); limit > 0 && used.teamCPUs+j.spec.VCPUs > limit {
		return waitsForTeam
	}
	for _, w := range sim.workers {
		if sim.admits(w, j, used) {
			return waitsForScheduler
		}
	}
	return waitsForMachine
}

// maxLimitDelay is the longest time by which limitDelay extends a run.
const maxLimitDelay = 10 * time.Minute

// limitDelay returns the longest time for which an unfinished batch job has waited in the quiescent part because its team was at
// its limit. The job gets as much more time to end.
func (sim *Simulation) limitDelay() time.Duration {
	longest := time.Duration(0)
	for _, id := range sim.jobOrder {
		j := sim.jobs[id]
		if j.accepted && j.cancelSentAt == 0 && !isTerminal(j.lastStatus) && j.spec.Shape == api.Batch {
			longest = max(longest, j.limitedByTeam)
		}
	}
	return min(longest, maxLimitDelay)
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
	return w.fits(&j.spec)
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
