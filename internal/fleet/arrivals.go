package fleet

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// arrivalHistory remembers the jobs of the last while, to expect the next ones.
type arrivalHistory struct {
	times []ident.MonotonicTime
	cpus  []float64
}

const (
	arrivalWindow = 90 * time.Second
	burstWindow   = 25 * time.Second
	// backlogPeriod is how long after the first job arrivals count as a backlog and
	// not as a rate.
	backlogPeriod = 15 * time.Second
	// arrivalsCeasedAfter is how long after the last job of any kind none is expected any more.
	arrivalsCeasedAfter = 40 * time.Second
	// maxArrivals bounds the jobs remembered of a window: 4,000 machines that each begin a job
	// every ten seconds are 36,000.
	maxArrivals = 50_000
)

func (a *arrivalHistory) record(now ident.MonotonicTime, cpus float64) {
	a.times = append(a.times, now)
	a.cpus = append(a.cpus, cpus)
	a.trim(now)
}

func (a *arrivalHistory) trim(now ident.MonotonicTime) {
	dropped := 0
	for dropped < len(a.times) && (now.Sub(a.times[dropped]) > arrivalWindow || len(a.times)-dropped > maxArrivals) {
		dropped++
	}
	a.times, a.cpus = a.times[dropped:], a.cpus[dropped:]
}

// latest returns when the last job came, 0 if none did.
func (a *arrivalHistory) latest() ident.MonotonicTime {
	if len(a.times) == 0 {
		return 0
	}
	return a.times[len(a.times)-1]
}

// rate returns CPUs a second, and the mean and the largest job.
func (a *arrivalHistory) rate(now, since ident.MonotonicTime) (perSecond, mean, largest float64) {
	a.trim(now)
	windowCPUs, burstCPUs, totalCPUs := 0.0, 0.0, 0.0
	for i, cpus := range a.cpus {
		totalCPUs += cpus
		largest = max(largest, cpus)
		if a.times[i].Sub(since) > backlogPeriod {
			windowCPUs += cpus
			if now.Sub(a.times[i]) < burstWindow {
				burstCPUs += cpus
			}
		}
	}
	if len(a.cpus) > 0 {
		mean = totalCPUs / float64(len(a.cpus))
	}
	if span := min(now.Sub(since)-backlogPeriod, arrivalWindow); span > 10*time.Second {
		// A burst is over before a slow mean has noticed it.
		perSecond = max(windowCPUs/span.Seconds(), burstCPUs/burstWindow.Seconds())
	}
	return
}

// RecordArrival notes a new job, or at the start of a term one of the term before.
func (m *Manager) RecordArrival(spec *api.Spec, at ident.MonotonicTime) {
	if m.teams.IsBorrower(spec.Team) {
		return // nothing is kept free for them
	}
	cpus := spec.VCPUs * float64(spec.Tasks)
	if spec.Shape != api.Batch {
		// Gangs as well want room that is there when they come.
		m.serviceArrivals.record(at, cpus)
	} else {
		m.batchArrivals.record(at, min(cpus, max(m.teams.LargestGuarantee(), spec.VCPUs)))
	}
}

// ResumeFromPriorTerm tells that the cluster was running before this term: its arrivals are
// a rate from the beginning, not a backlog.
func (m *Manager) ResumeFromPriorTerm() { m.arrivalsSince = m.arrivalsSince.Add(-time.Hour) }
