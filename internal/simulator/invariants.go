package simulator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/migration"
)

func (sim *Simulation) reportViolation(format string, a ...any) {
	sim.logf("BROKEN: "+format, a...)
	sim.Violations = append(sim.Violations, fmt.Sprintf("%.3f: ", sim.now.Sub(0).Seconds())+fmt.Sprintf(format, a...))
}

// checkTaskStart checks the rules at the start of a task on k.
func (sim *Simulation) checkTaskStart(w *worker, p *task) {
	sim.TaskStarts++
	j := sim.jobs[p.id.Job]
	s := &j.spec
	if j.firstStartAt == 0 {
		j.firstStartAt = sim.now
	}
	cpus := 0.0
	zones := map[string]int{}
	for _, o := range sim.sortedWorkers() {
		if o.dead || sim.now.Sub(o.leaseRenewedAt).Seconds() > sim.settings.Workers.LeaseS {
			continue // its lease is over; it will notice when it goes on
		}
		for _, tries := range o.tasks {
			for _, q := range tries {
				if q == p || !q.onMachine() {
					continue
				}
				if q.id == p.id && o != w {
					sim.reportViolation("ran_twice: %s starts on %s (try %d) while on %s (try %d)", p.id, w.id, p.attempt, o.id, q.attempt)
				}
				t := sim.jobs[q.id.Job]
				if t.spec.Team == s.Team {
					cpus += t.spec.VCPUs
				}
				if q.id.Job == p.id.Job {
					zones[o.machine.zone]++
				}
			}
		}
	}
	for _, t := range sim.settings.Teams {
		if t.Name == s.Team && t.CPUsMax > 0 && cpus+s.VCPUs > t.CPUsMax+1e-6 {
			sim.reportViolation("quota: %s uses %v of %v with %s", t.Name, cpus+s.VCPUs, t.CPUsMax, p.id)
		}
	}
	zone := w.machine.zone
	switch {
	case s.Zone != nil && *s.Zone != zone:
		sim.reportViolation("wrong_place: %s in %s", p.id, zone)
	case w.machine.spot && !s.Spot:
		sim.reportViolation("wrong_place: %s on a spot machine", p.id)
	case s.Spread && zones[zone]+1 > (s.Tasks+1)/2:
		sim.reportViolation("wrong_place: %s is one of %d in %s", p.id, zones[zone]+1, zone)
	}
	if s.OneZone {
		for z, n := range zones {
			if z != zone && n > 0 {
				sim.reportViolation("wrong_place: %s in %s, others in %s", p.id, zone, z)
			}
		}
	}
	if j.cancelConfirmedAt > 0 && sim.now.Sub(j.cancelConfirmedAt).Seconds() > sim.settings.Workers.CancelS {
		sim.reportViolation("ran_cancelled: %s starts", p.id)
	}
}

// checkAnswer checks an answer against what the user knew when asking: requests that
// overlap have no order.
func (sim *Simulation) checkAnswer(j *userJob, r *controller.Response, asked ident.MonotonicTime) {
	var v api.JobView
	if err := json.Unmarshal(r.Body, &v); err != nil || v.ID != j.spec.ID {
		sim.reportViolation("%s: unreadable answer %s", j.spec.ID, r.Body)
		return
	}
	if isTerminal(j.lastStatus) && v.Status != j.lastStatus && asked > j.lastStatusAt {
		sim.reportViolation("went_back: %s was %s, is %s", j.spec.ID, j.lastStatus, v.Status)
	}
	if v.Status == "cancelled" && j.cancelSentAt == 0 {
		sim.reportViolation("went_back: %s was not cancelled by its user", j.spec.ID)
	}
	if v.Status == "done" {
		for i, d := range j.done {
			if !d {
				sim.reportViolation("not_done: %s is called done, task %d is not", j.spec.ID, i)
				break
			}
		}
	}
	if v.Status == "cancelled" && j.cancelConfirmedAt == 0 {
		j.cancelConfirmedAt = sim.now
		limit := time.Duration(sim.settings.Workers.CancelS * float64(time.Second))
		sim.schedule(limit+time.Millisecond, func() {
			for _, w := range sim.sortedWorkers() {
				if w.sim.now < w.hungUntil && w.sim.now.Sub(w.leaseRenewedAt).Seconds() > sim.settings.Workers.LeaseS {
					continue // over with its lease, though the machine hasn't noticed
				}
				if w.taskCount(j.spec.ID) > 0 {
					sim.reportViolation("ran_cancelled: %s is still on %s", j.spec.ID, w.id)
				}
			}
		})
	}
	if !isTerminal(j.lastStatus) {
		j.lastStatus, j.lastStatusAt = v.Status, sim.now
		if isTerminal(j.lastStatus) {
			sim.probeAllNodes(j)
		}
	}
}

func isTerminal(s string) bool { return s == "done" || s == "cancelled" }

const (
	// faultDrainTime is how long after the last fault's beginning all are over.
	faultDrainTime = 50 * time.Second
	// maxStatusGap is how long a user may go without an answer then.
	maxStatusGap = 75 * time.Second
	// maxStartDelay is how long the largest jobs may wait for their first task.
	maxStartDelay = 4 * time.Minute
)

// maxMovesPerJob is how often the tasks of a job may be moved in its life.
const maxMovesPerJob = 2

// checkMoveRecord checks what is written about moves: a job's record only grows, to two moves at
// the most, until the job is over.
func (sim *Simulation) checkMoveRecord(c kvstore.Mutation) {
	id, ok := jobOfMoveKey(c.Put + c.Delete)
	if !ok {
		return
	}
	before := 0
	if e := sim.store.keys[migration.Key(ident.JobID(id))]; e != nil {
		if r, err := migration.ReadRecord(e.value); err == nil {
			before = len(r.Moves)
		}
	}
	if c.Delete != "" {
		if sim.store.keys["live/"+id] != nil {
			sim.reportViolation("the moves of %s are forgotten before it is over", id)
		}
		return
	}
	r, err := migration.ReadRecord(c.Value)
	switch {
	case err != nil:
		sim.reportViolation("%s: %v", c.Put, err)
	case len(r.Moves) < before:
		sim.reportViolation("%s: %d moves on record, %d before", id, len(r.Moves), before)
	case len(r.Moves) > maxMovesPerJob:
		sim.reportViolation("%s is moved %d times", id, len(r.Moves))
	}
	sim.Moves += len(r.Moves) - before
	sim.logf("move of %s on record, its %d.", id, len(r.Moves))
}

// jobOfMoveKey returns the job of a key of moves.
func jobOfMoveKey(path string) (id string, ok bool) { return strings.CutPrefix(path, migration.Prefix) }

// handingOver says whether a node's process has announced a handover and its term is not over.
func (sim *Simulation) handingOver(n *node) bool {
	life, ok := sim.handovers[n.name]
	if ok && (life != n.incarnation || n.controller.Election().State() != election.Leading) {
		delete(sim.handovers, n.name)
		return false
	}
	return ok
}

// checkHandoverWrites checks that a node which hands the lead over writes nothing new but the end of
// its term, and starts nothing. Repeats of what was under way come with it.
func (sim *Simulation) checkHandoverWrites(n *node, r kvstore.Request) {
	if r.Op != kvstore.Txn || !sim.handingOver(n) || len(r.Mutations) == 1 && r.Mutations[0].Delete == election.LeaderKey {
		return
	}
	if !sim.sentTransactions[transactionKey(n, r)] {
		sim.reportViolation("%s writes %s%s while it hands the lead over", n.name, r.Mutations[0].Put, r.Mutations[0].Delete)
	}
}

// transactionKey names a transaction of a process: a repeat is the same.
func transactionKey(n *node, r kvstore.Request) string {
	return fmt.Sprint(n.name, n.incarnation, r.Compares, len(r.Mutations), r.Mutations[0].Put, r.Mutations[0].Delete)
}

// recordTransaction remembers a transaction, for its repeats to be known.
func (sim *Simulation) recordTransaction(n *node, r kvstore.Request) {
	if sim.cfg.LinkMonitoring && r.Op == kvstore.Txn && len(r.Mutations) > 0 {
		sim.checkHandoverWrites(n, r)
		sim.sentTransactions[transactionKey(n, r)] = true
	}
}
