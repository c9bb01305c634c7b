package load

import (
	"math"
	"slices"
	"time"

	"opaldale/internal/ident"
)

const (
	// minRunTime is the shortest run that counts: ends of tasks are reported up to a second late.
	minRunTime = 5 * time.Second
	// minComparisonRuns is how many tasks of a job must have ended on other machines for a run to be
	// compared with them, and maxRunsKept how many are kept.
	minComparisonRuns = 4
	maxRunsKept       = 64
	// minSamples is how many tasks must have ended on a machine before it may count as slow: run
	// times of a job's tasks vary on any machine.
	minSamples = 5
	// sampleWeight is the weight of the newest sample in the average of a machine.
	sampleWeight = 0.2
	// slowFactor is the run time of tasks on a slow machine, as a multiple of that elsewhere, from
	// which the machine counts as slow.
	slowFactor = 2
	// maxSlowFraction is the fraction of the machines that may count as slow at a time, at least one
	// machine: if more seem to be slow, the estimate is wrong.
	maxSlowFraction = 0.02
	// maxRunGroups bounds the groups whose runs are kept. All are dropped when it is exceeded.
	maxRunGroups = 10_000
)

// SlownessEstimator estimates how slow machines are, by how long tasks of the same job take on
// machines of the same type.
type SlownessEstimator struct {
	runsByGroup map[runGroup]*runHistory
	paces       map[ident.MachineID]*pace
	slow        map[ident.MachineID]bool // machines that count as slow
}

// runGroup identifies tasks that should take equally long: those of a job on a type of machine.
type runGroup struct {
	job   ident.JobID
	model string
}

// run is the time that a task took on a machine.
type run struct {
	machine ident.MachineID
	took    time.Duration
}

// runHistory is a ring buffer of the newest runs of a group.
type runHistory struct {
	list   []run
	oldest int // index of the run that the next one replaces, once there are maxRunsKept
}

// pace is the average of how long tasks take on a machine, as a multiple of what they take elsewhere.
type pace struct {
	samples int
	mean    float64 // of the logarithms of the multiples
}

// NewSlownessEstimator makes an estimator without runs.
func NewSlownessEstimator() *SlownessEstimator {
	return &SlownessEstimator{
		runsByGroup: map[runGroup]*runHistory{},
		paces:       map[ident.MachineID]*pace{},
		slow:        map[ident.MachineID]bool{},
	}
}

// RecordRun records the time that a completed task of a job took on a machine of a type.
func (s *SlownessEstimator) RecordRun(job ident.JobID, model string, machine ident.MachineID, took time.Duration) {
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
	if usual, ok := r.medianElsewhere(machine); ok {
		s.addSample(machine, math.Log(took.Seconds()/usual.Seconds()))
	}
	r.add(run{machine: machine, took: took})
}

// add keeps a run in place of the oldest.
func (r *runHistory) add(newest run) {
	if len(r.list) < maxRunsKept {
		r.list = append(r.list, newest)
		return
	}
	r.list[r.oldest] = newest
	r.oldest = (r.oldest + 1) % maxRunsKept
}

// medianElsewhere returns the median of the runs on other machines. It returns false if there are
// fewer than minComparisonRuns.
func (r *runHistory) medianElsewhere(machine ident.MachineID) (time.Duration, bool) {
	var others []time.Duration
	for _, other := range r.list {
		if other.machine != machine {
			others = append(others, other.took)
		}
	}
	if len(others) < minComparisonRuns {
		return 0, false
	}
	slices.Sort(others)
	return others[len(others)/2], true
}

// addSample adds the logarithm of a run time, as a multiple of that elsewhere, to the average of a
// machine.
func (s *SlownessEstimator) addSample(machine ident.MachineID, logRatio float64) {
	p := s.paces[machine]
	if p == nil {
		p = &pace{}
		s.paces[machine] = p
	}
	p.samples++
	// The first samples have equal weights.
	p.mean += (logRatio - p.mean) * max(sampleWeight, 1/float64(p.samples))
}

// Slowness returns the run time of tasks on a machine as a multiple of that elsewhere, 1 if it is
// unknown.
func (s *SlownessEstimator) Slowness(machine ident.MachineID) float64 {
	p := s.paces[machine]
	if p == nil || p.samples < minSamples {
		return 1
	}
	return math.Exp(p.mean)
}

// DetectSlow reports whether a machine counts as slow, given the number of machines in the cluster. A
// machine that has been reported as slow stays so until RemoveMachine.
func (s *SlownessEstimator) DetectSlow(machine ident.MachineID, machines int) bool {
	if s.slow[machine] {
		return true
	}
	if s.Slowness(machine) < slowFactor || len(s.slow) >= max(1, int(maxSlowFraction*float64(machines))) {
		return false
	}
	s.slow[machine] = true
	return true
}

// RemoveMachine drops the samples and the state of a machine.
func (s *SlownessEstimator) RemoveMachine(machine ident.MachineID) {
	delete(s.paces, machine)
	delete(s.slow, machine)
}
