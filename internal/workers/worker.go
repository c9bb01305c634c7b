package workers

import (
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// State is a machine's course.
type State uint8

// The states of a machine.
const (
	Booting   State = iota // rented or listed, its worker was not heard of in this term
	Up                     // its worker reports
	Silent                 // its worker has not reported for a while
	Returning              // is being returned; nothing is placed on it
	Gone                   // returned, with everything that was on it
)

func (s State) String() string {
	return [...]string{"booting", "up", "silent", "returning", "gone"}[s]
}

// Image is a cached image.
type Image struct {
	Name string
	GB   float64
}

// attempt names one try of a task.
type attempt struct {
	piece ident.TaskID
	try   ident.Attempt
}

// Worker is a machine and the worker on it.
type Worker struct {
	Host  ident.MachineID
	Addr  string
	Model string
	Kind  *cloud.Model // nil while the catalog doesn't list it
	Zone  string
	Spot  bool
	State State

	Since    ident.MonotonicTime // when it entered its state
	Born     ident.MonotonicTime // when it was rented, as far as known
	IdleFrom ident.MonotonicTime // when its last task left it
	Doomed   ident.MonotonicTime // when the cloud takes it; 0: not announced
	Shun     ident.MonotonicTime // nothing is placed on it earlier
	Cordoned bool                // being emptied, to be returned
	Slow     bool                // much slower than others: nothing more is placed on it
	blame    map[*jobs.Job]bool  // whose tasks failed on it since a task of another job completed

	Session  ident.Incarnation
	serial   ident.SequenceNumber
	told     ident.FencingToken // token in the newest answer to a report of this term
	fence    uint32
	heard    ident.MonotonicTime // newest report or answer
	answered ident.MonotonicTime // last time a report was answered
	everAns  bool

	Tasks   map[ident.TaskID]*jobs.Task
	Plan    []*jobs.Task // of the current round
	images  []Image      // newest last
	orphans map[ident.TaskID]ident.Attempt
	unclear map[attempt]bool // ended, and not yet durably so

	flying  []api.Order // of the command under way
	busy    bool
	queue   []api.Order
	dull    bool // a command was not answered; wait for its report
	probing bool
	misses  int                 // commands and probes without an answer since it last showed that it hears us
	deaf    ident.MonotonicTime // since when its reports show that our answers don't arrive; 0: they do

	VCPUs, Cards, MemoryGB float64 // taken by Tasks
	Arrays, Replicas       float64 // CPUs of them, by the shape of their jobs; gangs count as replicas
	ranks                  [ranks]int
	reservation            *Reservation

	Group    *Group // that it is on record with
	Recorded bool   // its record is durable
}

// Group is a few machines whose records share one key: with a key each, a fleet
// of a thousand machines takes all puts of half a minute before anything can be
// placed.
type Group struct {
	Doc     *commit.Document
	Members []*Worker
	Leaving []*Worker // on record here until their next group is durable
	Dropped bool      // its key is deleted
}

// Fits says whether a task would find room now, and Could whether it would on
// the empty machine.
func (w *Worker) Fits(s *api.Spec) bool { return w.Room(jobs.NeedOf(s)) }

// Places returns how many tasks of a job would find room now.
func (w *Worker) Places(s *api.Spec) int {
	if w.Kind == nil {
		return 0
	}
	return max(0, min(s.Tasks, w.Free().Places(s)))
}

// Room says whether as much is free, beside what is reserved.
func (w *Worker) Room(n jobs.Need) bool { return w.Kind != nil && w.Free().Covers(n) }

// Images returns what the machine surely or probably has cached.
func (w *Worker) Images() []Image { return w.images }

// ranks is the number of priorities.
const ranks = 4

func lesser(counts *[ranks]int, r api.Priority) int {
	n := 0
	for _, k := range counts[r.Level()+1:] {
		n += k
	}
	return n
}

// Lesser returns how many tasks of a lower priority count on the machine.
func (w *Worker) Lesser(r api.Priority) int { return lesser(&w.ranks, r) }

// slack forgives rounding in sums of amounts.
const slack = 1e-6

// Allows says whether the job may use the machine at all.
func (w *Worker) Allows(s *api.Spec) bool {
	if s.Zone != nil && *s.Zone != w.Zone || w.Spot && !s.Spot || w.Kind == nil {
		return false
	}
	return AllowsModel(s, w.Model) && Could(w.Kind, s)
}

// AllowsModel says whether the job may run on a type of machine.
func AllowsModel(s *api.Spec, model string) bool {
	for _, m := range s.Models {
		if m == model {
			return true
		}
	}
	return s.Models == nil
}

// Could says whether a task fits an empty machine.
func Could(m *cloud.Model, s *api.Spec) bool {
	return s.VCPUs <= m.VCPUs+slack && s.Cards <= m.Cards+slack && s.MemoryGB <= m.MemoryGB+slack
}

// Open says whether tasks may be placed on the machine now.
func (w *Worker) Open(now ident.MonotonicTime) bool {
	return w.State == Up && w.Doomed == 0 && !w.Cordoned && !w.Slow && now >= w.Shun && !w.dull && w.Session != 0 &&
		w.Recorded // a successor must know every machine that tasks may be on
}

// Holds says whether the machine surely or probably has an image.
func (w *Worker) Holds(bundle string) bool {
	for _, im := range w.images {
		if im.Name == bundle {
			return true
		}
	}
	return false
}

// Deaf returns for how long the worker's reports have shown that our answers to
// them don't arrive.
func (w *Worker) Deaf() time.Duration {
	if w.deaf == 0 {
		return 0
	}
	return w.heard.Sub(w.deaf)
}

// Misses counts the commands and probes that went without an answer since the
// worker last showed that it hears us.
func (w *Worker) Misses() int { return w.misses }

// Reported says whether the worker was heard of in this term.
func (w *Worker) Reported() bool { return w.serial > 0 }

// Heard returns when the worker was last heard of.
func (w *Worker) Heard() ident.MonotonicTime { return w.heard }

// cache notes that an image was used: the workers keep the most recently used
// ones, as far as their disk reaches.
func (w *Worker) cache(bundle string, gb float64) {
	n := len(w.images)
	i := slices.IndexFunc(w.images, func(im Image) bool { return im.Name == bundle })
	if i >= 0 && i == n-1 {
		return
	}
	if i >= 0 {
		// The others keep their order.
		im := w.images[i]
		copy(w.images[i:], w.images[i+1:])
		w.images[n-1] = im
		return
	}
	w.images = append(w.images, Image{bundle, gb})
	sum := 0.0
	for _, im := range w.images {
		sum += im.GB
	}
	drop := 0
	for w.Kind != nil && drop < len(w.images)-1 && sum > w.Kind.LocalGB {
		sum -= w.images[drop].GB
		drop++
	}
	w.images = slices.Delete(w.images, 0, drop)
}

// Pulls says whether a task on the machine waits for an image.
func (w *Worker) Pulls(bundle string) bool {
	for _, t := range w.Tasks {
		if t.Job.Spec.Image == bundle {
			return true
		}
	}
	return false
}

// FetchTime estimates how long the machine would fetch a job's image.
func (w *Worker) FetchTime(s *api.Spec) time.Duration {
	if w.Kind == nil || w.Kind.PullGBPerS <= 0 {
		return 0
	}
	return time.Duration(s.ImageGB / w.Kind.PullGBPerS * float64(time.Second))
}
