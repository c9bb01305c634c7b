package placement

import (
	"slices"
	"time"

	"opaldale/internal/jobs"
	"opaldale/internal/settings"
)

// waiting is a job with what its place in the order depends on.
type waiting struct {
	j       *jobs.Job
	guest   bool
	level   int
	urgency urgency
	work    float64
}

func (a *waiting) before(b *waiting) bool {
	switch {
	case a.guest != b.guest:
		return b.guest
	case (a.urgency == overdue) != (b.urgency == overdue):
		return a.urgency == overdue
	case a.urgency == overdue:
		return a.j.Seq < b.j.Seq
	case a.j.WithinQuota != b.j.WithinQuota:
		return a.j.WithinQuota
	case a.level != b.level:
		return a.level < b.level
	case a.urgency != b.urgency:
		return a.urgency < b.urgency
	case a.urgency == reachable && a.work != b.work:
		return a.work < b.work
	}
	return a.j.Seq < b.j.Seq
}

// Aim returns the shortest time within which jobs of a lane should be done, 0 if
// nothing is said.
func (p *Planner) Aim(lane string) time.Duration {
	if a := p.aims[lane]; len(a) > 0 {
		return a[0]
	}
	return 0
}

// urgency orders jobs of one priority by what can still be reached. In the order
// of arrival alone, a backlog of half a minute makes every job late, while
// starting the late ones later costs them nothing that counts.
type urgency uint8

const (
	overdue   urgency = iota // waits for longer than any job may
	pressing                 // the last aim is about to be missed
	reachable                // the first aim can be met
	late                     // the first aim is lost, the last is far
)

func (p *Planner) urgency(j *jobs.Job) urgency {
	age := p.now().Sub(j.SubmittedAt)
	// The order below puts off what is large or late for as long as other work
	// comes; nothing else bounds how long.
	if age > overdueFactor*p.MaxWait && arrays(j) || !arrays(j) && p.unbegun(j) {
		return overdue
	}
	aims := p.aims[j.Spec.Class]
	if j.Spec.DeadlineS != nil {
		aims = append(slices.Clone(aims), settings.Seconds(*j.Spec.DeadlineS))
		slices.Sort(aims)
	}
	if len(aims) == 0 {
		return reachable
	}
	end := age + settings.Seconds(j.Spec.RuntimeS)
	last := aims[len(aims)-1]
	switch {
	case end <= aims[0]:
		return reachable
	case end <= last && end > last*2/3:
		return pressing
	}
	return late
}

// overdueFactor is how many times the bound for its first task an array may take
// before its other tasks go first as well.
const overdueFactor = 3

// work is what a job still has to start, in CPU seconds as estimated.
func work(j *jobs.Job) float64 {
	return float64(j.WaitingCount()) * j.Spec.VCPUs * max(j.Spec.RuntimeS, 1)
}
