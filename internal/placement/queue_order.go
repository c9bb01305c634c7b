package placement

import (
	"slices"
	"time"

	"opaldale/internal/jobs"
	"opaldale/internal/settings"
)

// queuedJob is a job with what its place in the order depends on.
type queuedJob struct {
	job      *jobs.Job
	borrower bool
	priority int
	urgency  urgency
	work     float64
}

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

// Objective returns the shortest time within which jobs of a lane should be done, 0 if
// nothing is said.
func (p *Planner) Objective(class string) time.Duration {
	if objectives := p.finishObjectives[class]; len(objectives) > 0 {
		return objectives[0]
	}
	return 0
}

// urgency orders jobs of one priority by what can still be reached. In the order
// of arrival alone, a backlog of half a minute makes every job late, while
// starting the late ones later costs them nothing that counts.
type urgency uint8

const (
	overdue      urgency = iota // waits for longer than any job may
	deadlineNear                // the last aim is about to be missed
	onTrack                     // the first aim can be met
	firstMissed                 // the first aim is lost, the last is far
)

func (p *Planner) urgency(j *jobs.Job) urgency {
	age := p.now().Sub(j.SubmittedAt)
	// The order below puts off what is large or late for as long as other work
	// comes; nothing else bounds how long.
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
	case end <= last && end > last*2/3:
		return deadlineNear
	}
	return firstMissed
}

// overdueFactor is how many times the bound for its first task an array may take
// before its other tasks go first as well.
const overdueFactor = 3

// remainingWork is what a job still has to start, in CPU seconds as estimated.
func remainingWork(j *jobs.Job) float64 {
	return float64(j.WaitingCount()) * j.Spec.VCPUs * max(j.Spec.RuntimeS, 1)
}
