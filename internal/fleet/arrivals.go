package fleet

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/placement"
)

const (
	// arrivalWindow is how long an arrival is kept, and the longest span of the arrival rate.
	arrivalWindow = 90 * time.Second
	// burstWindow is the span of the rate that detects bursts.
	burstWindow = 25 * time.Second
	// backlogPeriod is how long after the start arrivals count as a backlog and not towards the
	// rate.
	backlogPeriod = 15 * time.Second
	// minRateSpan is the shortest span that a rate is computed over.
	minRateSpan = 10 * time.Second
	// arrivalsCeasedAfter is the time without any arrival after which no more are expected.
	arrivalsCeasedAfter = 40 * time.Second
	// maxArrivals bounds the arrivals remembered: 4,000 machines that each start a job every ten
	// seconds are 36,000 in a window.
	maxArrivals = 50_000
)

// arrivals keeps the recent arrivals of jobs, from which further ones are predicted.
type arrivals struct {
	teams    *placement.Teams
	since    ident.MonotonicTime // start of the history
	services arrivalHistory      // services and gangs
	batch    arrivalHistory
}

// record adds a job. Jobs of borrowers are left out: no capacity is kept for them.
func (a *arrivals) record(spec *api.Spec, at ident.MonotonicTime) {
	if a.teams.IsBorrower(spec.Team) {
		return
	}
	cpus := spec.VCPUs * float64(spec.Tasks)
	if spec.Shape != api.Batch {
		// Gangs need their capacity when they arrive as well.
		a.services.record(at, cpus)
		return
	}
	a.batch.record(at, min(cpus, max(a.teams.LargestGuarantee(), spec.VCPUs)))
}

// resume moves the start of the history back, since jobs arrived before this term as well.
func (a *arrivals) resume() { a.since = a.since.Add(-longAgo) }

// ceased reports whether no more jobs are expected.
func (a *arrivals) ceased(now ident.MonotonicTime) bool {
	return now.Sub(max(a.services.latest(), a.batch.latest())) > arrivalsCeasedAfter
}

// arrivalHistory holds the times of arrivals in ascending order, and the CPUs of each.
type arrivalHistory struct {
	times []ident.MonotonicTime
	cpus  []float64
}

// record adds an arrival.
func (a *arrivalHistory) record(now ident.MonotonicTime, cpus float64) {
	a.times = append(a.times, now)
	a.cpus = append(a.cpus, cpus)
	a.trim(now)
}

// trim drops arrivals older than arrivalWindow, and the oldest beyond maxArrivals.
func (a *arrivalHistory) trim(now ident.MonotonicTime) {
	dropped := 0
	for dropped < len(a.times) && (now.Sub(a.times[dropped]) > arrivalWindow || len(a.times)-dropped > maxArrivals) {
		dropped++
	}
	a.times, a.cpus = a.times[dropped:], a.cpus[dropped:]
}

// latest returns the time of the last arrival, 0 without any.
func (a *arrivalHistory) latest() ident.MonotonicTime {
	if len(a.times) == 0 {
		return 0
	}
	return a.times[len(a.times)-1]
}

// rate returns the CPUs that arrive per second, and the CPUs of the mean and of the largest job,
// where since is the start of the history.
func (a *arrivalHistory) rate(now, since ident.MonotonicTime) (perSecond, mean, largest float64) {
	a.trim(now)
	windowCPUs, burstCPUs, totalCPUs := 0.0, 0.0, 0.0
	for i, cpus := range a.cpus {
		totalCPUs += cpus
		largest = max(largest, cpus)
		if a.times[i].Sub(since) <= backlogPeriod {
			continue
		}
		windowCPUs += cpus
		if now.Sub(a.times[i]) < burstWindow {
			burstCPUs += cpus
		}
	}
	if len(a.cpus) > 0 {
		mean = totalCPUs / float64(len(a.cpus))
	}
	if span := min(now.Sub(since)-backlogPeriod, arrivalWindow); span > minRateSpan {
		// A burst is over before the mean of the window shows it.
		perSecond = max(windowCPUs/span.Seconds(), burstCPUs/burstWindow.Seconds())
	}
	return perSecond, mean, largest
}
