package simulator

// usage is what the tasks on machines take from the limits of a job's team and from the job's own constraints.
type usage struct {
	job         *userJob
	teamCPUs    float64
	tasksByZone map[string]int // of the job
	indexes     map[int]bool   // tasks of the job
}

func newUsage(j *userJob) *usage {
	return &usage{job: j, tasksByZone: map[string]int{}, indexes: map[int]bool{}}
}

// add counts a task of a job on a machine.
func (u *usage) add(j *userJob, w *worker, t *task) {
	if j.spec.Team == u.job.spec.Team {
		u.teamCPUs += j.spec.VCPUs
	}
	if j == u.job {
		u.indexes[t.id.Index] = true
		u.tasksByZone[w.machine.zone]++
	}
}

// exceedsSpread reports whether one more task in a zone would be more than half of a job that is spread over zones.
func (u *usage) exceedsSpread(zone string) bool {
	return u.job.spec.Spread && u.tasksByZone[zone]+1 > (u.job.spec.Tasks+1)/2
}

// runsOutside reports whether tasks of the job are in another zone.
func (u *usage) runsOutside(zone string) bool {
	for z, n := range u.tasksByZone {
		if z != zone && n > 0 {
			return true
		}
	}
	return false
}

// hasWaitingTask reports whether a task of the job neither is on a machine nor has completed.
func (u *usage) hasWaitingTask() bool {
	for i, done := range u.job.done {
		if !done && !u.indexes[i] {
			return true
		}
	}
	return false
}

// cpuLimit returns the limit of a team, 0 if it has none.
func (sim *Simulation) cpuLimit(team string) float64 {
	for _, t := range sim.settings.Teams {
		if t.Name == team {
			return t.CPUsMax
		}
	}
	return 0
}

// forEachTask calls f for each task of a worker, ended ones included, in no order.
func (w *worker) forEachTask(f func(t *task)) {
	for _, attempts := range w.tasks {
		for _, t := range attempts {
			f(t)
		}
	}
}
