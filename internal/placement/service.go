package placement

import (
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// placeService goes first-fit: over the machines that hold the image, then over
// the others, then where work of less right can be stopped.
func (p *Planner) placeService(j *jobs.Job) {
	holders := &holderSearch{planner: p, job: j}
	for p.placed < maxPlacedPerDispatch {
		t := p.nextTask(j)
		if t == nil || !p.teams.Allows(j.Spec, 1) {
			return
		}
		found := holders.next()
		if found == nil {
			found = p.roomiest(j)
			// Unless fetching would take longer than its users want to wait.
			if found != nil && p.fetchExceedsObjective(j, found) && p.preempt(t, true) {
				p.Stats.Services++
				continue
			}
		}
		if found != nil {
			p.Stats.Services++
			p.place(t, found)
			continue
		}
		if !p.preempt(t, false) {
			return
		}
		p.Stats.Services++
	}
}

// holderSearch finds machines that hold a service's image, for one of its tasks after another.
type holderSearch struct {
	planner *Planner
	job     *jobs.Job
	cursor  int // room only shrinks, so a holder that was passed over needs no second look
}

// next returns a holder with room, nil if there is none.
func (s *holderSearch) next() *workers.Worker {
	p, j := s.planner, s.job
	if p.SpreadLoad() {
		return p.leastUsedHolder(j)
	}
	for ; s.cursor < len(p.machinesWithRoom); s.cursor++ {
		if w := p.machinesWithRoom[s.cursor]; w.HasImage(j.Spec.Image) && p.eligible(j, w) && p.hasRoom(j, w) {
			return w
		}
	}
	return nil
}

// roomiest returns the machine with the most room, nil if none has enough. Where the image must
// be fetched anyway, the next tasks then find it there.
func (p *Planner) roomiest(j *jobs.Job) *workers.Worker {
	var found *workers.Worker
	for _, w := range p.machinesWithRoom {
		if (found == nil || w.Type.VCPUs-w.VCPUs > found.Type.VCPUs-found.VCPUs+tolerance) && p.eligible(j, w) && p.hasRoom(j, w) {
			found = w
		}
	}
	return found
}

// Movable says whether a replica would find room on another machine that holds
// its image.
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
		// As if it had left its zone already.
		if w.Zone == from.Zone || zoneAllows(j, w.Zone) {
			return true
		}
	}
	return false
}

// fetchExceedsObjective says whether a job's users want it started sooner than a machine
// would have its image.
func (p *Planner) fetchExceedsObjective(j *jobs.Job, w *workers.Worker) bool {
	limit, ok := p.startObjectives[j.Spec.Class]
	return ok && w.ImagePullTime(j.Spec) > limit
}
