package loopback

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/migration"
)

// execution is the execution of one attempt of a task on a machine.
type execution struct {
	task    ident.TaskID
	machine ident.MachineID
	begin   time.Time
	end     time.Time // zero while the task runs
}

// Recorder records, independently of the controllers, the tasks that workers run and the nodes whose commands they execute.
// It reports violated invariants.
type Recorder struct {
	mu           sync.Mutex
	executions   []*execution
	leaders      map[ident.Term]string // node whose commands were executed, by term
	completed    map[ident.TaskID]bool // tasks that completed on a worker
	violations   []string
	startCount   int
	commandCount int
	moves        map[ident.JobID]int // number of moves of running tasks in the stored record of each job
	began        time.Time
	out          io.Writer // receives a line for each event; nil: none does
}

// logf writes an event to the record. The caller must hold r.mu.
func (r *Recorder) logf(format string, args ...any) {
	if r.out != nil {
		fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Log writes a line to the record.
func (r *Recorder) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logf(format, args...)
}

func newRecorder() *Recorder {
	return &Recorder{
		leaders:   map[ident.Term]string{},
		completed: map[ident.TaskID]bool{},
		moves:     map[ident.JobID]int{},
		began:     time.Now(),
	}
}

func (r *Recorder) reportViolation(format string, args ...any) {
	r.logf("VIOLATION: "+format, args...)
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// recordCommand records that a worker executed a command request of a node. It reports a violation if another node sent
// commands in the same term. It counts only requests that a node sent itself, not commands in heartbeat responses, as a
// follower forwards those of the leader.
func (r *Recorder) recordCommand(node string, token ident.FencingToken) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if token == 0 || node == "" {
		return
	}
	r.commandCount++
	r.logf("commands of %s with token %d are executed", node, token)
	if other, ok := r.leaders[token.Term()]; ok && other != node {
		r.reportViolation("%s and %s both sent commands in term %d", other, node, token.Term())
	}
	r.leaders[token.Term()] = node
}

// recordRestart reports that a copy of a launch command that was executed before starts an attempt that was cleared.
func (r *Recorder) recordRestart(command api.Command, machine ident.MachineID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportViolation("task %s attempt %d is started again on %s by a copy of an executed call", command.TaskID, command.Attempt,
		machine)
}

// recordStart records the start of a task. It reports a violation if the task already runs on another machine, unless that
// machine is terminated or its lease has expired, as its worker may not yet have stopped the task.
func (r *Recorder) recordStart(task ident.TaskID, machine ident.MachineID, mayStillRun func(ident.MachineID) bool) *execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startCount++
	r.logf("%s starts %s", machine, task)
	for _, other := range r.executions {
		if other.task == task && other.end.IsZero() && other.machine != machine && mayStillRun(other.machine) {
			r.reportViolation("task %s started on %s while it was running on %s", task, machine, other.machine)
		}
	}
	x := &execution{task: task, machine: machine, begin: time.Now()}
	r.executions = append(r.executions, x)
	return x
}

// recordEnd records the end of an execution. done is true if the task completed.
func (r *Recorder) recordEnd(x *execution, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.end.IsZero() {
		x.end = time.Now()
		r.logf("%s ends %s, completed: %v", x.machine, x.task, done)
	}
	if done {
		r.completed[x.task] = true
	}
}

// maxMovesPerJob is the maximum number of moves of running tasks of one job.
const maxMovesPerJob = 2

// recordChange records a mutation of the store. It reports a violation if the number of recorded moves of a job decreases
// or exceeds maxMovesPerJob.
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
		r.reportViolation("%s: got %d recorded moves, want %d to %d; decoding error: %v", m.Put, len(record.Moves),
			r.moves[job], maxMovesPerJob, err)
	}
	r.moves[job] = len(record.Moves)
}

// running returns the tasks that run on each machine.
func (r *Recorder) running() map[ident.MachineID][]ident.TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	tasks := map[ident.MachineID][]ident.TaskID{}
	for _, x := range r.executions {
		if x.end.IsZero() {
			tasks[x.machine] = append(tasks[x.machine], x.task)
		}
	}
	return tasks
}

// startsAfter returns the number of task starts of a job after a time.
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
