package fleet

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// arrivals remembers the jobs of the last while, to expect the next ones.
type arrivals struct {
	at   []ident.MonotonicTime
	cpus []float64
}

const (
	window = 90 * time.Second
	burst  = 25 * time.Second
	// settling is how long after the first job arrivals count as a backlog and
	// not as a rate.
	settling = 15 * time.Second
	// ceased is how long after the last job of any kind none is expected any more.
	ceased = 40 * time.Second
	// maxSeen bounds the jobs remembered of a window: 4,000 machines that each begin a job
	// every ten seconds are 36,000.
	maxSeen = 50_000
)

func (a *arrivals) add(now ident.MonotonicTime, cpus float64) {
	a.at = append(a.at, now)
	a.cpus = append(a.cpus, cpus)
	a.trim(now)
}

func (a *arrivals) trim(now ident.MonotonicTime) {
	n := 0
	for n < len(a.at) && (now.Sub(a.at[n]) > window || len(a.at)-n > maxSeen) {
		n++
	}
	a.at, a.cpus = a.at[n:], a.cpus[n:]
}

// newest returns when the last job came, 0 if none did.
func (a *arrivals) newest() ident.MonotonicTime {
	if len(a.at) == 0 {
		return 0
	}
	return a.at[len(a.at)-1]
}

// rate returns CPUs a second, and the mean and the largest job.
func (a *arrivals) rate(now, began ident.MonotonicTime) (perSecond, mean, most float64) {
	a.trim(now)
	sum, last, all := 0.0, 0.0, 0.0
	for i, c := range a.cpus {
		all += c
		most = max(most, c)
		if a.at[i].Sub(began) > settling {
			sum += c
			if now.Sub(a.at[i]) < burst {
				last += c
			}
		}
	}
	if len(a.cpus) > 0 {
		mean = all / float64(len(a.cpus))
	}
	if span := min(now.Sub(began)-settling, window); span > 10*time.Second {
		// A burst is over before a slow mean has noticed it.
		perSecond = max(sum/span.Seconds(), last/burst.Seconds())
	}
	return
}

// Arrived notes a new job, or at the start of a term one of the term before.
func (m *Manager) Arrived(s *api.Spec, at ident.MonotonicTime) {
	if m.teams.Guest(s.Team) {
		return // nothing is kept free for them
	}
	cpus := s.VCPUs * float64(s.Tasks)
	if s.Shape != api.Batch {
		// Gangs as well want room that is there when they come.
		m.services.add(at, cpus)
	} else {
		m.arrays.add(at, min(cpus, max(m.teams.Largest(), s.VCPUs)))
	}
}

// Continue tells that the cluster was running before this term: its arrivals are
// a rate from the beginning, not a backlog.
func (m *Manager) Continue() { m.began = m.began.Add(-time.Hour) }
