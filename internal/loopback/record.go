package loopback

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/migration"
	"opaldale/internal/statesvc"
)

// run is one time that a task was on a machine.
type run struct {
	task  ident.TaskID
	host  ident.MachineID
	begin time.Time
	end   time.Time // zero while it runs
}

// Record is what workers ran and whom they obeyed, noted apart from the controllers.
type Record struct {
	mu       sync.Mutex
	runs     []*run
	leaders  map[ident.Term]string // who acted in a term
	results  map[ident.TaskID]bool // tasks that have completed
	broken   []string
	started  int
	commands int
	moves    map[ident.JobID]int // of running tasks, as the state service has them on record
}

func newRecord() *Record {
	return &Record{leaders: map[ident.Term]string{}, results: map[ident.TaskID]bool{}, moves: map[ident.JobID]int{}}
}

func (r *Record) breakRule(format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// acted notes that a node's token was obeyed. A follower passes the leader's answers on, so
// only commands sent directly tell who leads.
func (r *Record) acted(node string, e ident.FencingToken) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e == 0 || node == "" {
		return
	}
	r.commands++
	if other, ok := r.leaders[e.Term()]; ok && other != node {
		r.breakRule("%s and %s both acted in term %d", other, node, e.Term())
	}
	r.leaders[e.Term()] = node
}

// begin notes a start. A task on another machine at that time is a broken rule, unless that
// machine's lease was over, which it notices when it next looks.
func (r *Record) begin(task ident.TaskID, host ident.MachineID, elsewhere func(ident.MachineID) bool) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	for _, other := range r.runs {
		if other.task == task && other.end.IsZero() && other.host != host && elsewhere(other.host) {
			r.breakRule("%s starts on %s while on %s", task, host, other.host)
		}
	}
	n := &run{task: task, host: host, begin: time.Now()}
	r.runs = append(r.runs, n)
	return n
}

func (r *Record) finish(n *run, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.end.IsZero() {
		n.end = time.Now()
	}
	if done {
		r.results[n.task] = true
	}
}

// maxMoves is how often the tasks of a job may be moved in its life.
const maxMoves = 2

// changed notes a change in the state service: the moves of a job only become more, to two.
func (r *Record) changed(c statesvc.Mutation) {
	id, ok := strings.CutPrefix(c.Put, migration.Prefix)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	record, err := migration.ReadRecord(c.Value)
	job := ident.JobID(id)
	if err != nil || len(record.Moves) > maxMoves || len(record.Moves) < r.moves[job] {
		r.breakRule("%s: %d moves after %d, %v", c.Put, len(record.Moves), r.moves[job], err)
	}
	r.moves[job] = len(record.Moves)
}

// running lists the tasks on each machine.
func (r *Record) running() map[ident.MachineID][]ident.TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	on := map[ident.MachineID][]ident.TaskID{}
	for _, x := range r.runs {
		if x.end.IsZero() {
			on[x.host] = append(on[x.host], x.task)
		}
	}
	return on
}

// startedAfter returns the starts of a job later than a time.
func (r *Record) startedAfter(id ident.JobID, at time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, x := range r.runs {
		if x.task.Job == id && x.begin.After(at) {
			n++
		}
	}
	return n
}

// complete says whether all tasks of a job have completed.
func (r *Record) complete(id ident.JobID, tasks int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range tasks {
		if !r.results[ident.TaskID{Job: id, Index: i}] {
			return false
		}
	}
	return true
}
