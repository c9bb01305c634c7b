package placement

import (
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// placeService places the tasks of a service first-fit: on the machines that hold the image, then
// on the others, then where work of lower precedence can be preempted.
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

// placeServiceTask places one task of a service. It returns false if there is no room and none can
// be made.
func (d *dispatch) placeServiceTask(t *jobs.Task, holders *holderSearch) bool {
	if w := holders.next(); w != nil {
		d.place(t, w)
		return true
	}
	w := d.roomiest(t.Job)
	if w == nil {
		return d.preemptAnywhere(t)
	}
	if d.pullExceedsObjective(t.Job, w, 1) && d.preemptOnHolder(t) {
		return true
	}
	d.place(t, w)
	return true
}

// holderSearch finds machines that hold a service's image, for one of its tasks after another.
type holderSearch struct {
	*dispatch
	job    *jobs.Job
	cursor int // index in machinesWithRoom; room only shrinks, so earlier machines are not searched again
}

// next returns a machine that holds the image and has room, nil if there is none.
func (s *holderSearch) next() *workers.Worker {
	if s.SpreadLoad() {
		return s.leastUsedHolder(s.job)
	}
	for ; s.cursor < len(s.machinesWithRoom); s.cursor++ {
		if w := s.machinesWithRoom[s.cursor]; w.HasImage(s.job.Spec.Image) && s.canRunOn(s.job, w) {
			return w
		}
	}
	return nil
}

// roomiest returns the machine with the most room, nil if none has enough. Where the image must
// be pulled, it serves the most tasks with one image pull.
func (d *dispatch) roomiest(j *jobs.Job) *workers.Worker {
	var found *workers.Worker
	for _, w := range d.machinesWithRoom {
		if found != nil && unusedVCPUs(w) <= unusedVCPUs(found)+tolerance {
			continue
		}
		if d.canRunOn(j, w) {
			found = w
		}
	}
	return found
}

// Movable reports whether a replica would find room on another machine that holds its image.
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
		// A move within the zone leaves the spread over zones as it is.
		if w.Zone == from.Zone || zoneAllows(j, w.Zone) {
			return true
		}
	}
	return false
}
