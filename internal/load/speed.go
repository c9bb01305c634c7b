package load

import (
	"math"
	"slices"
	"time"

	"opaldale/internal/ident"
)

const (
	// leastRun is the shortest run that says something: ends are heard of up to a second late.
	leastRun = 5 * time.Second
	// leastPeers is how many tasks of a job must have ended on other machines for one to be
	// compared with them, and maxPeers how many are remembered.
	leastPeers = 4
	maxPeers   = 64
	// leastSamples is how many tasks must have ended on a machine before it may be called slow:
	// the run times of a job's tasks differ by themselves.
	leastSamples = 5
	// sampleWeight is what the newest sample counts for in the average of a machine.
	sampleWeight = 0.2
	// slowAt is how many times as long as elsewhere tasks must take on a slow machine.
	slowAt = 2
	// slowPart is the part of the machines that may be called slow at a time: where more seem
	// to be, it is the measure that is wrong.
	slowPart = 0.02
	// maxSpeedJobs bounds the jobs that are remembered.
	maxSpeedJobs = 10_000
)

// Speeds estimates how fast machines are, by how long tasks of the same job take on machines of
// the same type. It is pure.
type Speeds struct {
	jobs     map[peers]*runs
	machines map[ident.MachineID]*pace
	slow     map[ident.MachineID]bool
}

// peers are tasks that should take alike.
type peers struct {
	job   ident.JobID
	model string
}

// run is how long a task took on a machine.
type run struct {
	host ident.MachineID
	took time.Duration
}

// runs are the newest runs of tasks that should take alike.
type runs struct {
	list []run
	next int // where the next one goes, once there are as many as are remembered
}

// pace is how long tasks take on a machine, as a multiple of what they take elsewhere.
type pace struct {
	samples int
	mean    float64 // of the logarithms
}

// NewSpeeds makes an estimate that knows nothing.
func NewSpeeds() *Speeds {
	return &Speeds{jobs: map[peers]*runs{}, machines: map[ident.MachineID]*pace{}, slow: map[ident.MachineID]bool{}}
}

// Ran notes that a task of a job ran on a machine of a type from its beginning to its end.
func (s *Speeds) Ran(job ident.JobID, model string, host ident.MachineID, took time.Duration) {
	if took < leastRun {
		return
	}
	key := peers{job, model}
	r := s.jobs[key]
	if r == nil {
		if len(s.jobs) >= maxSpeedJobs {
			clear(s.jobs)
		}
		r = &runs{}
		s.jobs[key] = r
	}
	if usual, ok := r.elsewhere(host); ok {
		s.sample(host, math.Log(took.Seconds()/usual.Seconds()))
	}
	r.add(run{host, took})
}

// add remembers a run in place of the oldest.
func (r *runs) add(x run) {
	if len(r.list) < maxPeers {
		r.list = append(r.list, x)
		return
	}
	r.list[r.next] = x
	r.next = (r.next + 1) % maxPeers
}

// elsewhere returns the median of the runs on other machines than one.
func (r *runs) elsewhere(host ident.MachineID) (time.Duration, bool) {
	var others []time.Duration
	for _, x := range r.list {
		if x.host != host {
			others = append(others, x.took)
		}
	}
	if len(others) < leastPeers {
		return 0, false
	}
	slices.Sort(others)
	return others[len(others)/2], true
}

func (s *Speeds) sample(host ident.MachineID, x float64) {
	p := s.machines[host]
	if p == nil {
		p = &pace{}
		s.machines[host] = p
	}
	p.samples++
	// The first few count alike.
	p.mean += (x - p.mean) * max(sampleWeight, 1/float64(p.samples))
}

// Slowness returns how many times as long as elsewhere tasks take on a machine, 1 if nothing is
// known.
func (s *Speeds) Slowness(host ident.MachineID) float64 {
	p := s.machines[host]
	if p == nil || p.samples < leastSamples {
		return 1
	}
	return math.Exp(p.mean)
}

// Slow says whether a machine is much slower than others; all is how many machines there are. One
// that was called slow stays so.
func (s *Speeds) Slow(host ident.MachineID, all int) bool {
	if s.slow[host] {
		return true
	}
	if s.Slowness(host) < slowAt || len(s.slow) >= max(1, int(slowPart*float64(all))) {
		return false
	}
	s.slow[host] = true
	return true
}

// Gone forgets a machine.
func (s *Speeds) Gone(host ident.MachineID) {
	delete(s.machines, host)
	delete(s.slow, host)
}
