package loopback

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/migration"
)

// execution is one run of a task on a machine.
type execution struct {
	task    ident.TaskID
	machine ident.MachineID
	begin   time.Time
	end     time.Time // zero while the task runs
}

// Recorder records what workers run and whose commands they execute, independently of the controllers.
type Recorder struct {
	mu           sync.Mutex
	executions   []*execution
	leaders      map[ident.Term]string // node that acted in each term
	completed    map[ident.TaskID]bool // that have completed
	violations   []string
	startCount   int
	commandCount int
	moves        map[ident.JobID]int // recorded moves of running tasks
}

func newRecorder() *Recorder {
	return &Recorder{leaders: map[ident.Term]string{}, completed: map[ident.TaskID]bool{}, moves: map[ident.JobID]int{}}
}

func (r *Recorder) reportViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// recordCommand records that a command of a node with a token was executed. Only commands sent by the node itself count, as
// followers pass on the replies of the leader.
func (r *Recorder) recordCommand(node string, token ident.FencingToken) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if token == 0 || node == "" {
		return
	}
	r.commandCount++
	if other, ok := r.leaders[token.Term()]; ok && other != node {
		r.reportViolation("%s and %s both acted in term %d", other, node, token.Term())
	}
	r.leaders[token.Term()] = node
}

// recordStart records the start of a task. It is a violation if the task runs on another machine, unless the lease of that
// machine has expired, which its worker may not have noticed yet.
func (r *Recorder) recordStart(task ident.TaskID, machine ident.MachineID, mayStillRun func(ident.MachineID) bool) *execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startCount++
	for _, other := range r.executions {
		if other.task == task && other.end.IsZero() && other.machine != machine && mayStillRun(other.machine) {
			r.reportViolation("%s starts on %s while on %s", task, machine, other.machine)
		}
	}
	x := &execution{task: task, machine: machine, begin: time.Now()}
	r.executions = append(r.executions, x)
	return x
}

// recordEnd records the end of an execution.
func (r *Recorder) recordEnd(x *execution, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.end.IsZero() {
		x.end = time.Now()
	}
	if done {
		r.completed[x.task] = true
	}
}

// maxMovesPerJob is how often the tasks of a job may be moved in its life.
const maxMovesPerJob = 2

// recordChange records a mutation in the store. The recorded moves of a job must only grow, up to maxMovesPerJob.
func (r *Recorder) recordChange(m kvstore.Mutation) {
	id, ok := strings.CutPrefix(m.Put, migration.Prefix)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	record, err := migration.ReadRecord(m.Value)
	job := ident.JobID(id)
	if err != nil || len(record.Moves) > maxMovesPerJob || len(record.Moves) < r.moves[job] {
		r.reportViolation("%s: %d moves after %d, %v", m.Put, len(record.Moves), r.moves[job], err)
	}
	r.moves[job] = len(record.Moves)
}

// running returns the tasks that run on each machine.
func (r *Recorder) running() map[ident.MachineID][]ident.TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	on := map[ident.MachineID][]ident.TaskID{}
	for _, x := range r.executions {
		if x.end.IsZero() {
			on[x.machine] = append(on[x.machine], x.task)
		}
	}
	return on
}

// startsAfter returns how many tasks of a job were started after a time.
func (r *Recorder) startsAfter(id ident.JobID, at time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, x := range r.executions {
		if x.task.Job == id && x.begin.After(at) {
			n++
		}
	}
	return n
}

// complete reports whether all tasks of a job have completed.
func (r *Recorder) complete(id ident.JobID, tasks int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range tasks {
		if !r.completed[ident.TaskID{Job: id, Index: i}] {
			return false
		}
	}
	return true
}
