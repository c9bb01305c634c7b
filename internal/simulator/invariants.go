package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/migration"
)

// reportViolation records the violation of an invariant, which ends the run.
func (sim *Simulation) reportViolation(format string, a ...any) {
	sim.logf("BROKEN: "+format, a...)
	sim.Violations = append(sim.Violations, fmt.Sprintf("%.3f: ", sim.now.Sub(0).Seconds())+fmt.Sprintf(format, a...))
}

// checkTaskStart checks the rules that hold when a task starts on a machine.
func (sim *Simulation) checkTaskStart(w *worker, t *task) {
	sim.TaskStarts++
	j := sim.jobs[t.id.Job]
	if j.firstStartAt == 0 {
		j.firstStartAt = sim.now
	}
	used := newUsage(j)
	for _, o := range sim.sortedWorkers() {
		if o.dead || o.leaseExpired() {
			continue // its tasks end before it does anything else
		}
		o.forEachTask(func(other *task) {
			if other == t || !other.onMachine() {
				return
			}
			if other.id == t.id && o != w {
				sim.reportViolation("ran_twice: %s starts on %s (attempt %d) while on %s (attempt %d)", t.id, w.id, t.attempt,
					o.id,
					other.attempt)
			}
			used.add(sim.jobs[other.id.Job], o, other)
		})
	}
	sim.checkQuota(j, t, used)
	sim.checkPlacement(j, w, t, used)
	if j.cancelConfirmedAt > 0 && sim.now.Sub(j.cancelConfirmedAt).Seconds() > sim.settings.Workers.CancelS {
		sim.reportViolation("ran_cancelled: %s starts", t.id)
	}
}

// checkQuota checks that a team stays within its limit with a task that starts.
func (sim *Simulation) checkQuota(j *userJob, t *task, used *usage) {
	limit := sim.cpuLimit(j.spec.Team)
	if cpus := used.teamCPUs + j.spec.VCPUs; limit > 0 && cpus > limit+roundingError {
		sim.reportViolation("quota: %s uses %v of %v with %s", j.spec.Team, cpus, limit, t.id)
	}
}

// checkPlacement checks that a machine is one that a job admits, given where its other tasks are.
func (sim *Simulation) checkPlacement(j *userJob, w *worker, t *task, used *usage) {
	zone := w.machine.zone
	switch {
	case j.spec.Zone != nil && *j.spec.Zone != zone:
		sim.reportViolation("wrong_place: %s in %s", t.id, zone)
	case w.machine.spot && !j.spec.Spot:
		sim.reportViolation("wrong_place: %s on a spot machine", t.id)
	case used.exceedsSpread(zone):
		sim.reportViolation("wrong_place: %s is one of %d in %s", t.id, used.tasksByZone[zone]+1, zone)
	}
	if j.spec.OneZone && used.runsOutside(zone) {
		sim.reportViolation("wrong_place: %s in %s, others in another zone", t.id, zone)
	}
}

// checkAnswer checks a reply against what the user knew at the time of the request, as requests that overlap have no order.
func (sim *Simulation) checkAnswer(j *userJob, r *controller.Response, asked ident.MonotonicTime) {
	var v api.JobView
	if err := json.Unmarshal(r.Body, &v); err != nil || v.ID != j.spec.ID {
		sim.reportViolation("%s: unreadable answer %s", j.spec.ID, r.Body)
		return
	}
	if isTerminal(j.lastStatus) && v.Status != j.lastStatus && asked > j.lastStatusAt {
		sim.reportViolation("went_back: %s was %s, is %s", j.spec.ID, j.lastStatus, v.Status)
	}
	switch v.Status {
	case api.StatusCancelled:
		sim.checkCancelled(j)
	case api.StatusDone:
		if i := slices.Index(j.done, false); i >= 0 {
			sim.reportViolation("not_done: %s is called done, task %d is not", j.spec.ID, i)
		}
	}
	if isTerminal(j.lastStatus) {
		return
	}
	j.lastStatus, j.lastStatusAt = v.Status, sim.now
	if isTerminal(j.lastStatus) {
		sim.probeAllNodes(j)
	}
}

// checkCancelled checks that a job which is called cancelled was cancelled by its user, and that none of its tasks is on
// a machine once the time of a cancellation is over.
func (sim *Simulation) checkCancelled(j *userJob) {
	if j.cancelSentAt == 0 {
		sim.reportViolation("went_back: %s was not cancelled by its user", j.spec.ID)
	}
	if j.cancelConfirmedAt > 0 {
		return
	}
	j.cancelConfirmedAt = sim.now
	sim.schedule(seconds(sim.settings.Workers.CancelS)+time.Millisecond, func() {
		for _, w := range sim.sortedWorkers() {
			if sim.now < w.hungUntil && w.leaseExpired() {
				continue // its tasks end before it does anything else
			}
			if w.taskCount(j.spec.ID) > 0 {
				sim.reportViolation("ran_cancelled: %s is still on %s", j.spec.ID, w.id)
			}
		}
	})
}

// isTerminal reports whether a status is final.
func isTerminal(s api.Status) bool { return s == api.StatusDone || s == api.StatusCancelled }

const (
	// faultDrainTime is how long after the start of the last fault all faults are over.
	faultDrainTime = 50 * time.Second
	// maxStatusGap is how long a user may go without an answer from then on.
	maxStatusGap = 75 * time.Second
	// maxStartDelay is how long the largest jobs may wait for their first task.
	maxStartDelay = 4 * time.Minute
	// roundingError is the imprecision of sums of CPUs.
	roundingError = 1e-6
)

// maxMovesPerJob is how often the tasks of a job may be moved in its life.
const maxMovesPerJob = 2

// checkMoveRecord checks a mutation of a record of moves: it only grows, up to maxMovesPerJob, and is not deleted before the
// job has ended.
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
			sim.reportViolation("the record of moves of %s is deleted before its end", id)
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

// jobOfMoveKey returns the job of the key of a record of moves.
func jobOfMoveKey(path string) (id string, ok bool) { return strings.CutPrefix(path, migration.Prefix) }

// handingOver reports whether a node's process has announced a handover and its term is not over.
func (sim *Simulation) handingOver(n *node) bool {
	life, ok := sim.handovers[n.name]
	if ok && (life != n.incarnation || n.controller.Election().State() != election.Leading) {
		delete(sim.handovers, n.name)
		return false
	}
	return ok
}

// checkHandoverWrites checks that a node which hands over leadership writes nothing new but the end of its term. It may repeat
// transactions that were under way.
func (sim *Simulation) checkHandoverWrites(n *node, r kvstore.Request) {
	if r.Op != kvstore.Txn || !sim.handingOver(n) || len(r.Mutations) == 1 && r.Mutations[0].Delete == election.LeaderKey {
		return
	}
	if !sim.sentTransactions[transactionKey(n, r)] {
		sim.reportViolation("%s writes %s%s during its handover", n.name, r.Mutations[0].Put, r.Mutations[0].Delete)
	}
}

// transactionKey identifies a transaction of a process; a repeat has the same key.
func transactionKey(n *node, r kvstore.Request) string {
	return fmt.Sprint(n.name, n.incarnation, r.Compares, len(r.Mutations), r.Mutations[0].Put, r.Mutations[0].Delete)
}

// recordTransaction records a transaction of a node that monitors its links, after the checks of a handover.
func (sim *Simulation) recordTransaction(n *node, r kvstore.Request) {
	if sim.cfg.LinkMonitoring && r.Op == kvstore.Txn && len(r.Mutations) > 0 {
		sim.checkHandoverWrites(n, r)
		sim.sentTransactions[transactionKey(n, r)] = true
	}
}
