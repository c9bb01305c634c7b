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
	Booting     State = iota // rented or listed, its worker was not heard of in this term
	Up                       // its worker reports
	Unreachable              // its worker has not reported for a while
	Terminating              // is being returned; nothing is placed on it
	Terminated               // returned, with everything that was on it
)

func (s State) String() string {
	return [...]string{"booting", "up", "silent", "returning", "gone"}[s]
}

// Image is a cached image.
type Image struct {
	Name string
	GB   float64
}

// taskAttempt names one try of a task.
type taskAttempt struct {
	task    ident.TaskID
	attempt ident.Attempt
}

// MachineInfo is what is known of a machine from when it was provisioned.
type MachineInfo struct {
	ID        ident.MachineID
	Model     string // name of its type; the type itself is Worker.Type
	Zone      string
	Spot      bool
	CreatedAt ident.MonotonicTime // when it was provisioned, as far as known
}

// Worker is a machine and the worker on it.
type Worker struct {
	MachineInfo
	Addr  string
	Type  *cloud.MachineType // nil while the catalog doesn't list it
	State State

	StateSince       ident.MonotonicTime // when it entered its state
	IdleSince        ident.MonotonicTime // when its last task left it
	ReclaimAt        ident.MonotonicTime // when the cloud takes it; 0: not announced
	QuarantinedUntil ident.MonotonicTime // nothing is placed on it earlier
	Cordoned         bool                // being emptied, to be returned
	Slow             bool                // much slower than others: nothing more is placed on it
	failedJobs       map[*jobs.Job]bool  // whose tasks failed on it since a task of another job completed

	Incarnation    ident.Incarnation
	lastSequence   ident.SequenceNumber
	sentToken      ident.FencingToken // token in the newest answer to a report of this term
	fenceCount     uint32
	lastContact    ident.MonotonicTime // newest report or answer
	leaseRenewedAt ident.MonotonicTime // last time a report was answered
	leaseRenewed   bool

	Tasks           map[ident.TaskID]*jobs.Task
	PlannedTasks    []*jobs.Task // of the current round
	cachedImages    []Image      // newest last
	unknownAttempts map[ident.TaskID]ident.Attempt
	endsNotDurable  map[taskAttempt]bool // ended, and not yet durably so

	inFlight           []api.Command // of the command under way
	sending            bool
	queued             []api.Command
	unresponsive       bool // a command was not answered; wait for its report
	probePending       bool
	missedResponses    int                 // commands and probes without an answer since it last showed that it hears us
	cannotReceiveSince ident.MonotonicTime // since when its reports show that our answers don't arrive; 0: they do

	VCPUs, GPUs, MemoryGB    float64 // taken by Tasks
	BatchVCPUs, ServiceVCPUs float64 // CPUs of them, by the shape of their jobs; gangs count as replicas
	tasksByPriority          [numPriorities]int
	reservation              *Reservation

	Group     *RecordGroup // that it is on record with
	Persisted bool         // its record is durable
}

// RecordGroup is a few machines whose records share one key: with a key each, a fleet
// of a thousand machines takes all puts of half a minute before anything can be
// placed.
type RecordGroup struct {
	Doc     *commit.Document
	Members []*Worker
	Leaving []*Worker // on record here until their next group is durable
	Deleted bool      // its key is deleted
}

// Fits says whether a task would find room now, and Could whether it would on
// the empty machine.
func (w *Worker) Fits(s *api.Spec) bool { return w.HasRoom(jobs.ResourcesOf(s)) }

// TaskCapacity returns how many tasks of a job would find room now.
func (w *Worker) TaskCapacity(s *api.Spec) int {
	if w.Type == nil {
		return 0
	}
	return max(0, min(s.Tasks, w.Free().TaskCapacity(s)))
}

// HasRoom says whether as much is free, beside what is reserved.
func (w *Worker) HasRoom(need jobs.Resources) bool { return w.Type != nil && w.Free().Covers(need) }

// CachedImages returns what the machine surely or probably has cached.
func (w *Worker) CachedImages() []Image { return w.cachedImages }

// numPriorities is the number of priorities.
const numPriorities = 4

func countLowerPriority(counts *[numPriorities]int, priority api.Priority) int {
	n := 0
	for _, count := range counts[priority.Level()+1:] {
		n += count
	}
	return n
}

// LowerPriorityTasks returns how many tasks of a lower priority count on the machine.
func (w *Worker) LowerPriorityTasks(priority api.Priority) int {
	return countLowerPriority(&w.tasksByPriority, priority)
}

// roundingTolerance forgives rounding in sums of amounts.
const roundingTolerance = 1e-6

// Allows says whether the job may use the machine at all.
func (w *Worker) Allows(s *api.Spec) bool {
	if s.Zone != nil && *s.Zone != w.Zone || w.Spot && !s.Spot || w.Type == nil {
		return false
	}
	return AllowsModel(s, w.Model) && FitsEmpty(w.Type, s)
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

// FitsEmpty says whether a task fits an empty machine.
func FitsEmpty(machineType *cloud.MachineType, s *api.Spec) bool {
	return s.VCPUs <= machineType.VCPUs+roundingTolerance && s.GPUs <= machineType.GPUs+roundingTolerance && s.MemoryGB <= machineType.MemoryGB+roundingTolerance
}

// Schedulable says whether tasks may be placed on the machine now.
func (w *Worker) Schedulable(now ident.MonotonicTime) bool {
	return w.State == Up && w.ReclaimAt == 0 && !w.Cordoned && !w.Slow && now >= w.QuarantinedUntil && !w.unresponsive && w.Incarnation != 0 &&
		w.Persisted // a successor must know every machine that tasks may be on
}

// HasImage says whether the machine surely or probably has an image.
func (w *Worker) HasImage(image string) bool {
	for _, im := range w.cachedImages {
		if im.Name == image {
			return true
		}
	}
	return false
}

// CannotReceiveFor returns for how long the worker's reports have shown that our answers to
// them don't arrive.
func (w *Worker) CannotReceiveFor() time.Duration {
	if w.cannotReceiveSince == 0 {
		return 0
	}
	return w.lastContact.Sub(w.cannotReceiveSince)
}

// MissedResponses counts the commands and probes that went without an answer since the
// worker last showed that it hears us.
func (w *Worker) MissedResponses() int { return w.missedResponses }

// HeardThisTerm says whether the worker was heard of in this term.
func (w *Worker) HeardThisTerm() bool { return w.lastSequence > 0 }

// LastContact returns when the worker was last heard of.
func (w *Worker) LastContact() ident.MonotonicTime { return w.lastContact }

// noteImageUse notes that an image was used: the workers keep the most recently used
// ones, as far as their disk reaches.
func (w *Worker) noteImageUse(name string, gb float64) {
	count := len(w.cachedImages)
	i := slices.IndexFunc(w.cachedImages, func(cached Image) bool { return cached.Name == name })
	if i >= 0 && i == count-1 {
		return
	}
	if i >= 0 {
		// The others keep their order.
		cached := w.cachedImages[i]
		copy(w.cachedImages[i:], w.cachedImages[i+1:])
		w.cachedImages[count-1] = cached
		return
	}
	w.cachedImages = append(w.cachedImages, Image{name, gb})
	totalGB := 0.0
	for _, cached := range w.cachedImages {
		totalGB += cached.GB
	}
	evict := 0
	for w.Type != nil && evict < len(w.cachedImages)-1 && totalGB > w.Type.LocalDiskGB {
		totalGB -= w.cachedImages[evict].GB
		evict++
	}
	w.cachedImages = slices.Delete(w.cachedImages, 0, evict)
}

// IsPullingImage says whether a task on the machine waits for an image.
func (w *Worker) IsPullingImage(image string) bool {
	for _, t := range w.Tasks {
		if t.Job.Spec.Image == image {
			return true
		}
	}
	return false
}

// ImagePullTime estimates how long the machine would fetch a job's image.
func (w *Worker) ImagePullTime(s *api.Spec) time.Duration {
	if w.Type == nil || w.Type.PullGBPerS <= 0 {
		return 0
	}
	return time.Duration(s.ImageGB / w.Type.PullGBPerS * float64(time.Second))
}
