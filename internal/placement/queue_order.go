package placement

import (
	"slices"
	"sort"
	"time"

	"opaldale/internal/jobs"
	"opaldale/internal/settings"
)

// queuedJob is a job with what its precedence depends on.
type queuedJob struct {
	job      *jobs.Job
	borrower bool
	priority int
	urgency  urgency
	work     float64 // see remainingWork
}

// newQueuedJob evaluates what the precedence of a job depends on.
func (p *Planner) newQueuedJob(j *jobs.Job) queuedJob {
	return queuedJob{
		job:      j,
		borrower: p.teams.IsBorrower(j.Spec.Team),
		priority: j.Spec.Priority.Level(),
		urgency:  p.urgency(j),
		work:     remainingWork(j),
	}
}

// before reports whether a job precedes another. Teams with a guarantee precede those without; then
// overdue jobs come in the order of submission; then jobs within their guarantee, by priority, and
// by urgency. Among those on track, the shortest goes first.
func (a *queuedJob) before(b *queuedJob) bool {
	switch {
	case a.borrower != b.borrower:
		return b.borrower
	case (a.urgency == overdue) != (b.urgency == overdue):
		return a.urgency == overdue
	case a.urgency == overdue:
		return a.job.Seq < b.job.Seq
	case a.job.WithinQuota != b.job.WithinQuota:
		return a.job.WithinQuota
	case a.priority != b.priority:
		return a.priority < b.priority
	case a.urgency != b.urgency:
		return a.urgency < b.urgency
	case a.urgency == onTrack && a.work != b.work:
		return a.work < b.work
	}
	return a.job.Seq < b.job.Seq
}

// sortServices sorts services by precedence. Priority goes before all else, except between a
// service that is overdue and one that is not.
func sortServices(list []queuedJob) {
	sort.Slice(list, func(i, k int) bool {
		a, b := &list[i], &list[k]
		if a.priority != b.priority && (a.urgency == overdue) == (b.urgency == overdue) {
			return a.priority < b.priority
		}
		return a.before(b)
	})
}

// sortByPrecedence sorts batch jobs or gangs by precedence.
func sortByPrecedence(list []queuedJob) {
	sort.Slice(list, func(i, k int) bool { return list[i].before(&list[k]) })
}

// Objective returns the shortest time within which jobs of a class should be done, 0 if there is
// no such objective.
func (p *Planner) Objective(class string) time.Duration {
	if objectives := p.finishObjectives[class]; len(objectives) > 0 {
		return objectives[0]
	}
	return 0
}

// urgency orders jobs of one priority by the objectives that can still be met. If jobs went in the
// order of submission alone, a short backlog would make every job miss its objective, while jobs
// that have missed it already lose nothing by starting later.
type urgency uint8

const (
	overdue      urgency = iota // has waited longer than any job may
	deadlineNear                // the last objective is about to be missed
	onTrack                     // the first objective can be met
	firstMissed                 // the first objective can't be met, the last is far
)

// urgency returns the urgency of a job.
func (p *Planner) urgency(j *jobs.Job) urgency {
	age := p.now().Sub(j.SubmittedAt)
	// The other levels defer large and late jobs for as long as other jobs arrive. This one bounds
	// the deferral.
	if age > overdueFactor*p.config.MaxWait && isBatch(j) || !isBatch(j) && p.starved(j) {
		return overdue
	}
	objectives := p.finishObjectives[j.Spec.Class]
	if j.Spec.DeadlineS != nil {
		objectives = append(slices.Clone(objectives), settings.Seconds(*j.Spec.DeadlineS))
		slices.Sort(objectives)
	}
	if len(objectives) == 0 {
		return onTrack
	}
	end := age + settings.Seconds(j.Spec.RuntimeS)
	last := objectives[len(objectives)-1]
	switch {
	case end <= objectives[0]:
		return onTrack
	case end <= last && end > last*2/3: // in the last third of the time
		return deadlineNear
	}
	return firstMissed
}

// overdueFactor is how many times MaxWait a batch job may take before all of its tasks go first.
const overdueFactor = 3

// remainingWork is what a job still has to start, in CPU seconds as estimated.
func remainingWork(j *jobs.Job) float64 {
	return float64(j.WaitingCount()) * j.Spec.VCPUs * max(j.Spec.RuntimeS, 1)
}
