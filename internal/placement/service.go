package placement

import (
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// placeService places the tasks of a service. It prefers machines with the image in the cache, then
// other machines with free capacity, then machines on which work of lower precedence can be preempted.
func (d *dispatch) placeService(j *jobs.Job) {
	holders := &holderSearch{dispatch: d, job: j}
	for !d.full() {
		t := d.nextTask(j)
		if t == nil || !d.teams.Allows(j.Spec, 1) || !d.placeServiceTask(t, holders) {
			return
		}
		d.Stats.Services++
	}
}

// placeServiceTask places one task of a service, or preempts work for it. It returns false if neither is
// possible.
func (d *dispatch) placeServiceTask(t *jobs.Task, holders *holderSearch) bool {
	if w := holders.next(); w != nil {
		d.place(t, w)
		return true
	}
	w := d.mostFreeMachine(t.Job)
	if w == nil {
		return d.preemptAnywhere(t)
	}
	if d.pullExceedsObjective(t.Job, w, 1) && d.preemptOnHolder(t) {
		return true
	}
	d.place(t, w)
	return true
}

// holderSearch finds machines that have a service's image cached, for each of its tasks in turn.
type holderSearch struct {
	*dispatch
	job *jobs.Job
	// cursor is an index in machinesWithCapacity. Free capacity only shrinks during a dispatch, so earlier
	// machines are not searched again.
	cursor int
}

// next returns a machine that has the image cached and can run a task of the service, or nil if there
// is none.
func (s *holderSearch) next() *workers.Worker {
	if s.SpreadLoad() {
		return s.leastUsedHolder(s.job)
	}
	for ; s.cursor < len(s.machinesWithCapacity); s.cursor++ {
		if w := s.machinesWithCapacity[s.cursor]; w.HasImage(s.job.Spec.Image) && s.canRunOn(s.job, w) {
			return w
		}
	}
	return nil
}

// mostFreeMachine returns the machine with the most unused CPUs that can run a task of a job, or nil if
// there is none. Such a machine can run the largest number of tasks after one image pull.
func (d *dispatch) mostFreeMachine(j *jobs.Job) *workers.Worker {
	var found *workers.Worker
	for _, w := range d.machinesWithCapacity {
		if found != nil && unusedVCPUs(w) <= unusedVCPUs(found)+tolerance {
			continue
		}
		if d.canRunOn(j, w) {
			found = w
		}
	}
	return found
}

// Movable reports whether a replica fits on another machine that has its image cached.
func (p *Planner) Movable(t *jobs.Task, from *workers.Worker) bool {
	j := t.Job
	if !p.teams.Allows(j.Spec, 0) {
		return false
	}
	now := p.now()
	for _, w := range p.machineTable.Sorted() {
		if w == from || !w.Fits(j.Spec) || !w.Schedulable(now) || !w.Allows(j.Spec) || !w.HasImage(j.Spec.Image) {
			continue
		}
		// A move within a zone doesn't change the number of tasks per zone.
		if w.Zone == from.Zone || zoneAllows(j, w.Zone) {
			return true
		}
	}
	return false
}
