package load

import (
	"math"
	"slices"
	"time"

	"opaldale/internal/ident"
)

const (
	// minRunTime is the shortest run that says something: ends are heard of up to a second late.
	minRunTime = 5 * time.Second
	// minComparisonRuns is how many tasks of a job must have ended on other machines for one to be
	// compared with them, and maxRunsKept how many are remembered.
	minComparisonRuns = 4
	maxRunsKept       = 64
	// minSamples is how many tasks must have ended on a machine before it may be called slow:
	// the run times of a job's tasks differ by themselves.
	minSamples = 5
	// sampleWeight is what the newest sample counts for in the average of a machine.
	sampleWeight = 0.2
	// slowFactor is how many times as long as elsewhere tasks must take on a slow machine.
	slowFactor = 2
	// maxSlowFraction is the part of the machines that may be called slow at a time: where more seem
	// to be, it is the measure that is wrong.
	maxSlowFraction = 0.02
	// maxRunGroups bounds the jobs that are remembered.
	maxRunGroups = 10_000
)

// SlownessEstimator estimates how fast machines are, by how long tasks of the same job take on machines of
// the same type. It is pure.
type SlownessEstimator struct {
	runsByGroup map[runGroup]*runHistory
	paces       map[ident.MachineID]*pace
	slow        map[ident.MachineID]bool
}

// runGroup are tasks that should take alike.
type runGroup struct {
	job   ident.JobID
	model string
}

// run is how long a task took on a machine.
type run struct {
	machine ident.MachineID
	took    time.Duration
}

// runHistory are the newest runs of tasks that should take alike.
type runHistory struct {
	list   []run
	oldest int // where the next one goes, once there are as many as are remembered
}

// pace is how long tasks take on a machine, as a multiple of what they take elsewhere.
type pace struct {
	samples int
	mean    float64 // of the logarithms
}

// NewSlownessEstimator makes an estimate that knows nothing.
func NewSlownessEstimator() *SlownessEstimator {
	return &SlownessEstimator{runsByGroup: map[runGroup]*runHistory{}, paces: map[ident.MachineID]*pace{}, slow: map[ident.MachineID]bool{}}
}

// RecordRun notes that a task of a job ran on a machine of a type from its beginning to its end.
func (s *SlownessEstimator) RecordRun(job ident.JobID, model string, host ident.MachineID, took time.Duration) {
	if took < minRunTime {
		return
	}
	key := runGroup{job, model}
	r := s.runsByGroup[key]
	if r == nil {
		if len(s.runsByGroup) >= maxRunGroups {
			clear(s.runsByGroup)
		}
		r = &runHistory{}
		s.runsByGroup[key] = r
	}
	if usual, ok := r.medianElsewhere(host); ok {
		s.addSample(host, math.Log(took.Seconds()/usual.Seconds()))
	}
	r.add(run{host, took})
}

// add remembers a run in place of the oldest.
func (r *runHistory) add(newest run) {
	if len(r.list) < maxRunsKept {
		r.list = append(r.list, newest)
		return
	}
	r.list[r.oldest] = newest
	r.oldest = (r.oldest + 1) % maxRunsKept
}

// medianElsewhere returns the median of the runs on other machines than one.
func (r *runHistory) medianElsewhere(host ident.MachineID) (time.Duration, bool) {
	var others []time.Duration
	for _, other := range r.list {
		if other.machine != host {
			others = append(others, other.took)
		}
	}
	if len(others) < minComparisonRuns {
		return 0, false
	}
	slices.Sort(others)
	return others[len(others)/2], true
}

func (s *SlownessEstimator) addSample(host ident.MachineID, logRatio float64) {
	p := s.paces[host]
	if p == nil {
		p = &pace{}
		s.paces[host] = p
	}
	p.samples++
	// The first few count alike.
	p.mean += (logRatio - p.mean) * max(sampleWeight, 1/float64(p.samples))
}

// Slowness returns how many times as long as elsewhere tasks take on a machine, 1 if nothing is
// known.
func (s *SlownessEstimator) Slowness(host ident.MachineID) float64 {
	p := s.paces[host]
	if p == nil || p.samples < minSamples {
		return 1
	}
	return math.Exp(p.mean)
}

// IsSlow says whether a machine is much slower than others; all is how many machines there are. One
// that was called slow stays so.
func (s *SlownessEstimator) IsSlow(host ident.MachineID, machines int) bool {
	if s.slow[host] {
		return true
	}
	if s.Slowness(host) < slowFactor || len(s.slow) >= max(1, int(maxSlowFraction*float64(machines))) {
		return false
	}
	s.slow[host] = true
	return true
}

// RemoveMachine forgets a machine.
func (s *SlownessEstimator) RemoveMachine(host ident.MachineID) {
	delete(s.paces, host)
	delete(s.slow, host)
}
