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

// execution is one time that a task was on a machine.
type execution struct {
	task  ident.TaskID
	host  ident.MachineID
	begin time.Time
	end   time.Time // zero while it runs
}

// Recorder is what workers ran and whom they obeyed, noted apart from the controllers.
type Recorder struct {
	mu           sync.Mutex
	executions   []*execution
	leaders      map[ident.Term]string // who acted in a term
	completed    map[ident.TaskID]bool // tasks that have completed
	violations   []string
	startCount   int
	commandCount int
	moves        map[ident.JobID]int // of running tasks, as the state service has them on record
}

func newRecorder() *Recorder {
	return &Recorder{leaders: map[ident.Term]string{}, completed: map[ident.TaskID]bool{}, moves: map[ident.JobID]int{}}
}

func (r *Recorder) reportViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// recordCommand notes that a node's token was obeyed. A follower passes the leader's answers on, so
// only commands sent directly tell who leads.
func (r *Recorder) recordCommand(node string, e ident.FencingToken) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e == 0 || node == "" {
		return
	}
	r.commandCount++
	if other, ok := r.leaders[e.Term()]; ok && other != node {
		r.reportViolation("%s and %s both acted in term %d", other, node, e.Term())
	}
	r.leaders[e.Term()] = node
}

// recordStart notes a start. A task on another machine at that time is a broken rule, unless that
// machine's lease was over, which it notices when it next looks.
func (r *Recorder) recordStart(task ident.TaskID, host ident.MachineID, mayStillRun func(ident.MachineID) bool) *execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startCount++
	for _, other := range r.executions {
		if other.task == task && other.end.IsZero() && other.host != host && mayStillRun(other.host) {
			r.reportViolation("%s starts on %s while on %s", task, host, other.host)
		}
	}
	n := &execution{task: task, host: host, begin: time.Now()}
	r.executions = append(r.executions, n)
	return n
}

func (r *Recorder) recordEnd(n *execution, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.end.IsZero() {
		n.end = time.Now()
	}
	if done {
		r.completed[n.task] = true
	}
}

// maxMovesPerJob is how often the tasks of a job may be moved in its life.
const maxMovesPerJob = 2

// recordChange notes a change in the state service: the moves of a job only become more, to two.
func (r *Recorder) recordChange(c kvstore.Mutation) {
	id, ok := strings.CutPrefix(c.Put, migration.Prefix)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	record, err := migration.ReadRecord(c.Value)
	job := ident.JobID(id)
	if err != nil || len(record.Moves) > maxMovesPerJob || len(record.Moves) < r.moves[job] {
		r.reportViolation("%s: %d moves after %d, %v", c.Put, len(record.Moves), r.moves[job], err)
	}
	r.moves[job] = len(record.Moves)
}

// running lists the tasks on each machine.
func (r *Recorder) running() map[ident.MachineID][]ident.TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	on := map[ident.MachineID][]ident.TaskID{}
	for _, x := range r.executions {
		if x.end.IsZero() {
			on[x.host] = append(on[x.host], x.task)
		}
	}
	return on
}

// startsAfter returns the starts of a job later than a time.
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

// complete says whether all tasks of a job have completed.
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
