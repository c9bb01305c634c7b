package load

import (
	"math"
	"slices"
	"time"

	"opaldale/internal/ident"
)

const (
	// minRunTime is the minimum run time of a sample. Shorter runs are too inaccurate, since the end of
	// a task is reported up to a second late.
	minRunTime = 5 * time.Second
	// minComparisonRuns is the minimum number of runs on other machines with which a run is compared,
	// and maxRunsKept the maximum number of runs that are kept for a group.
	minComparisonRuns = 4
	maxRunsKept       = 64
	// minSamples is the minimum number of samples of a slow machine: the run times of a job's tasks
	// vary on any machine.
	minSamples = 5
	// sampleWeight is the weight of the newest sample in a machine's average.
	sampleWeight = 0.2
	// slowFactor is the minimum run time of tasks on a slow machine, as a multiple of their run time on
	// other machines.
	slowFactor = 2
	// maxSlowFraction is the maximum fraction of machines that count as slow at a time, but at least one
	// machine may. If more appear to be slow, the estimate is assumed to be wrong.
	maxSlowFraction = 0.02
	// maxRunGroups is the maximum number of groups whose runs are kept. A new group beyond it drops all
	// others.
	maxRunGroups = 10_000
)

// SlownessEstimator estimates how slow machines are by comparing the run times of tasks of the same job on
// machines of the same type.
type SlownessEstimator struct {
	runsByGroup      map[runGroup]*runHistory
	relativeRunTimes map[ident.MachineID]*relativeRunTime
	slow             map[ident.MachineID]bool // machines that count as slow
}

// runGroup identifies tasks whose run times are comparable: tasks of a job on machines of a type.
type runGroup struct {
	job   ident.JobID
	model string
}

// run is the run time of a task on a machine.
type run struct {
	machine ident.MachineID
	took    time.Duration
}

// runHistory is a ring buffer of the newest runs of a group.
type runHistory struct {
	list   []run
	oldest int // index of the run that the next one replaces, once list holds maxRunsKept
}

// relativeRunTime is the average run time of tasks on a machine, as a multiple of their run time on other
// machines.
type relativeRunTime struct {
	samples int
	mean    float64 // average of the logarithms of the multiples
}

// NewSlownessEstimator returns an estimator without runs.
func NewSlownessEstimator() *SlownessEstimator {
	return &SlownessEstimator{
		runsByGroup:      map[runGroup]*runHistory{},
		relativeRunTimes: map[ident.MachineID]*relativeRunTime{},
		slow:             map[ident.MachineID]bool{},
	}
}

// RecordRun records the run time of a completed task of a job on a machine of type model. It ignores runs
// shorter than minRunTime.
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

// add adds a run, which replaces the oldest one if the history is full.
func (r *runHistory) add(newest run) {
	if len(r.list) < maxRunsKept {
		r.list = append(r.list, newest)
		return
	}
	r.list[r.oldest] = newest
	r.oldest = (r.oldest + 1) % maxRunsKept
}

// medianElsewhere returns the median run time on other machines. It returns false if there are fewer than
// minComparisonRuns runs.
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

// addSample adds the logarithm of a run time, as a multiple of the run time on other machines, to a
// machine's average.
func (s *SlownessEstimator) addSample(machine ident.MachineID, logRatio float64) {
	p := s.relativeRunTimes[machine]
	if p == nil {
		p = &relativeRunTime{}
		s.relativeRunTimes[machine] = p
	}
	p.samples++
	// The first samples have equal weights.
	p.mean += (logRatio - p.mean) * max(sampleWeight, 1/float64(p.samples))
}

// Slowness returns the run time of tasks on a machine as a multiple of their run time on other machines.
// It returns 1 if the machine has fewer than minSamples samples.
func (s *SlownessEstimator) Slowness(machine ident.MachineID) float64 {
	p := s.relativeRunTimes[machine]
	if p == nil || p.samples < minSamples {
		return 1
	}
	return math.Exp(p.mean)
}

// DetectSlow reports whether a machine counts as slow, given the number of machines in the cluster. Once
// it returns true for a machine, it does so until RemoveMachine is called.
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

// RemoveMachine removes the samples of a machine, which then no longer counts as slow.
func (s *SlownessEstimator) RemoveMachine(machine ident.MachineID) {
	delete(s.relativeRunTimes, machine)
	delete(s.slow, machine)
}
