package placement

import (
	"slices"
	"sort"
	"time"

	"opaldale/internal/jobs"
	"opaldale/internal/settings"
)

// queuedJob is a job with the values that determine its precedence.
type queuedJob struct {
	job      *jobs.Job
	borrower bool
	priority int
	urgency  urgency
	work     float64 // see remainingWork
}

// newQueuedJob evaluates the values that determine the precedence of a job.
func (p *Planner) newQueuedJob(j *jobs.Job) queuedJob {
	return queuedJob{
		job:      j,
		borrower: p.teams.IsBorrower(j.Spec.Team),
		priority: j.Spec.Priority.Level(),
		urgency:  p.urgency(j),
		work:     remainingWork(j),
	}
}

// before reports whether job a has precedence over job b. The criteria are, in this order: jobs of
// borrowers come last; overdue jobs come first, in the order of submission; jobs within the guarantee
// of their team; priority; urgency; for jobs that are on track, the least remaining work; and the order
// of submission.
func (a *queuedJob) before(b *queuedJob) bool {
	switch {
	case a.borrower != b.borrower:
		return b.borrower
	case (a.urgency == overdue) != (b.urgency == overdue):
		return a.urgency == overdue
	case a.urgency == overdue:
		return a.job.Seq < b.job.Seq
	case a.job.WithinGuarantee != b.job.WithinGuarantee:
		return a.job.WithinGuarantee
	case a.priority != b.priority:
		return a.priority < b.priority
	case a.urgency != b.urgency:
		return a.urgency < b.urgency
	case a.urgency == onTrack && a.work != b.work:
		return a.work < b.work
	}
	return a.job.Seq < b.job.Seq
}

// sortServices sorts services by precedence. Unlike for other jobs, priority is compared before all
// other criteria, except between a service that is overdue and one that is not.
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

// Objective returns the shortest completion-time objective of a class, or 0 if the class has none.
func (p *Planner) Objective(class string) time.Duration {
	if objectives := p.finishObjectives[class]; len(objectives) > 0 {
		return objectives[0]
	}
	return 0
}

// urgency orders the jobs of one priority by the objectives that they can still meet. If jobs were
// ordered by submission alone, a short backlog would make every job miss its objective, whereas jobs
// that have already missed it lose nothing by starting later.
type urgency uint8

const (
	overdue      urgency = iota // the job has waited longer than the maximum for any job
	deadlineNear                // the job would finish in the last third of its longest objective
	onTrack                     // the job can meet its shortest objective, or has no objective
	firstMissed                 // the job can't meet its shortest objective, and none is near
)

// urgency returns the urgency of a job.
func (p *Planner) urgency(j *jobs.Job) urgency {
	age := p.now().Sub(j.SubmittedAt)
	// The other levels could defer large and late jobs for as long as new jobs arrive. This level limits
	// the delay.
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
	case end <= last && end > last*2/3: // in the last third of the longest objective
		return deadlineNear
	}
	return firstMissed
}

// overdueFactor is the age, as a multiple of Config.MaxWait, above which a batch job is overdue.
const overdueFactor = 3

// remainingWork returns the estimated work of the waiting tasks of a job, in CPU seconds.
func remainingWork(j *jobs.Job) float64 {
	return float64(j.WaitingCount()) * j.Spec.VCPUs * max(j.Spec.RuntimeS, 1)
}
