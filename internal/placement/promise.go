package placement

import (
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// promise keeps the room that a move makes on a machine for the job that it is made for, until
// a time: smaller tasks would take it otherwise as soon as it is there.
type promise struct {
	job   *jobs.Job
	until ident.MonotonicTime
}

// Promise keeps what becomes free on a machine for a job until a time.
func (p *Planner) Promise(w *workers.Worker, j *jobs.Job, until ident.MonotonicTime) {
	p.promises[w] = promise{j, until}
}

// Withdraw ends the promise of a machine, if there is one to the job.
func (p *Planner) Withdraw(w *workers.Worker, j *jobs.Job) {
	if p.promises[w].job == j {
		delete(p.promises, w)
	}
}

// Withheld says whether a machine's room is kept for some job.
func (p *Planner) Withheld(w *workers.Worker) bool { return p.keptFor(w) != nil }

// keptFor returns the job that alone may use a machine's room at present, nil if any may.
func (p *Planner) keptFor(w *workers.Worker) *jobs.Job {
	if j := p.reserved[w]; j != nil {
		return j
	}
	return p.promises[w].job
}

// expirePromises drops what is not needed any more, or has lasted for long enough.
func (p *Planner) expirePromises(now ident.MonotonicTime) {
	for w, o := range p.promises {
		if now >= o.until || o.job.WaitingCount() == 0 || !w.Schedulable(now) {
			delete(p.promises, w)
		}
	}
}
