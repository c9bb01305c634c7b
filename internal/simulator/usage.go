package simulator

// usage sums up the tasks on machines that count toward the CPU limit of a job's team and toward the job's zone constraints.
type usage struct {
	job         *userJob
	teamCPUs    float64
	tasksByZone map[string]int // number of tasks of the job
	indexes     map[int]bool   // tasks of the job that are on machines
}

func newUsage(j *userJob) *usage {
	return &usage{job: j, tasksByZone: map[string]int{}, indexes: map[int]bool{}}
}

// add counts a task of job j that is on a machine.
func (u *usage) add(j *userJob, w *worker, t *task) {
	if j.spec.Team == u.job.spec.Team {
		u.teamCPUs += j.spec.VCPUs
	}
	if j == u.job {
		u.indexes[t.id.Index] = true
		u.tasksByZone[w.machine.zone]++
	}
}

// exceedsSpread reports whether one more task in a zone would put more than half of a spread job there.
func (u *usage) exceedsSpread(zone string) bool {
	return u.job.spec.Spread && u.tasksByZone[zone]+1 > (u.job.spec.Tasks+1)/2
}

// runsOutside reports whether the job has tasks in a zone other than the given one.
func (u *usage) runsOutside(zone string) bool {
	for z, n := range u.tasksByZone {
		if z != zone && n > 0 {
			return true
		}
	}
	return false
}

// hasWaitingTask reports whether the job has a task that is on no machine and has not completed.
func (u *usage) hasWaitingTask() bool {
	for i, done := range u.job.done {
		if !done && !u.indexes[i] {
			return true
		}
	}
	return false
}

// cpuLimit returns the CPU limit of a team, or 0 if it has none.
func (sim *Simulation) cpuLimit(team string) float64 {
	for _, t := range sim.settings.Teams {
		if t.Name == team {
			return t.CPUsMax
		}
	}
	return 0
}

// forEachTask calls f for each task of a worker, including ended ones, in unspecified order.
func (w *worker) forEachTask(f func(t *task)) {
	for _, attempts := range w.tasks {
		for _, t := range attempts {
			f(t)
		}
	}
}
