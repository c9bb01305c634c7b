package fleet

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/placement"
)

const (
	// arrivalWindow is how long an arrival is remembered, and the longest span over which the arrival
	// rate is averaged.
	arrivalWindow = 90 * time.Second
	// burstWindow is the shorter span over which the rate is averaged to detect bursts.
	burstWindow = 25 * time.Second
	// backlogPeriod is the time after the start of the history in which arriving jobs count as a
	// backlog, and not towards the arrival rate.
	backlogPeriod = 15 * time.Second
	// minRateSpan is the shortest span that a rate is computed over.
	minRateSpan = 10 * time.Second
	// arrivalsCeasedAfter is the time without an arrival after which no further jobs are expected.
	arrivalsCeasedAfter = 40 * time.Second
	// maxArrivals bounds the number of arrivals remembered. 4,000 machines that each start a job every
	// ten seconds result in 36,000 arrivals per window.
	maxArrivals = 50_000
)

// arrivals records recent job arrivals, from which the arrival of further jobs is predicted.
type arrivals struct {
	teams        *placement.Teams
	historyStart ident.MonotonicTime
	services     arrivalHistory // services and gangs
	batch        arrivalHistory
}

// record adds the arrival of a job. It ignores jobs of borrowers, for which no headroom is kept. A batch job
// counts with at most the CPUs of the largest guarantee of any team, but at least with those of one task.
func (a *arrivals) record(spec *api.Spec, at ident.MonotonicTime) {
	if a.teams.IsBorrower(spec.Team) {
		return
	}
	cpus := spec.VCPUs * float64(spec.Tasks)
	if spec.Shape != api.Batch {
		// Like services, gangs need capacity as soon as they arrive.
		a.services.record(at, cpus)
		return
	}
	a.batch.record(at, min(cpus, max(a.teams.LargestGuarantee(), spec.VCPUs)))
}

// resume moves the start of the history back by longAgo, because jobs also arrived before this term.
func (a *arrivals) resume() { a.historyStart = a.historyStart.Add(-longAgo) }

// ceased reports whether no job has arrived for longer than arrivalsCeasedAfter, so that no further
// ones are expected.
func (a *arrivals) ceased(now ident.MonotonicTime) bool {
	return now.Sub(max(a.services.latest(), a.batch.latest())) > arrivalsCeasedAfter
}

// arrivalHistory holds the times of job arrivals in ascending order, and the CPUs of each job.
type arrivalHistory struct {
	times []ident.MonotonicTime
	cpus  []float64
}

// record adds the arrival of a job that needs a number of CPUs.
func (a *arrivalHistory) record(now ident.MonotonicTime, cpus float64) {
	a.times = append(a.times, now)
	a.cpus = append(a.cpus, cpus)
	a.trim(now)
}

// trim drops arrivals that are older than arrivalWindow, and the oldest ones in excess of maxArrivals.
func (a *arrivalHistory) trim(now ident.MonotonicTime) {
	dropped := 0
	for dropped < len(a.times) && (now.Sub(a.times[dropped]) > arrivalWindow || len(a.times)-dropped > maxArrivals) {
		dropped++
	}
	a.times, a.cpus = a.times[dropped:], a.cpus[dropped:]
}

// latest returns the time of the last arrival, or 0 if there is none.
func (a *arrivalHistory) latest() ident.MonotonicTime {
	if len(a.times) == 0 {
		return 0
	}
	return a.times[len(a.times)-1]
}

// rate returns the CPUs of the jobs that arrive per second, the mean CPUs per job, and the CPUs of the
// largest job. historyStart is the start of the history.
func (a *arrivalHistory) rate(now, historyStart ident.MonotonicTime) (perSecond, mean, largest float64) {
	a.trim(now)
	windowCPUs, burstCPUs, totalCPUs := 0.0, 0.0, 0.0
	for i, cpus := range a.cpus {
		totalCPUs += cpus
		largest = max(largest, cpus)
		if a.times[i].Sub(historyStart) <= backlogPeriod {
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
	if span := min(now.Sub(historyStart)-backlogPeriod, arrivalWindow); span > minRateSpan {
		// The mean over arrivalWindow reacts too late to a short burst.
		perSecond = max(windowCPUs/span.Seconds(), burstCPUs/burstWindow.Seconds())
	}
	return perSecond, mean, largest
}
