package simulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/decode"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/migration"
)

// reportViolation records the violation of an invariant. The run stops at the first violation.
func (sim *Simulation) reportViolation(format string, a ...any) {
	sim.logf("VIOLATION: "+format, a...)
	sim.Violations = append(sim.Violations, fmt.Sprintf("%.3f: ", sim.now.Sub(0).Seconds())+fmt.Sprintf(format, a...))
}

// checkTaskStart checks the invariants that must hold when a task starts: it runs nowhere else, its team stays within the
// limit, its constraints are met, and its job is not cancelled.
func (sim *Simulation) checkTaskStart(w *worker, t *task) {
	sim.TaskStarts++
	j := sim.jobs[t.id.Job]
	if j.firstStartAt == 0 {
		j.firstStartAt = sim.now
	}
	used := newUsage(j)
	for _, o := range sim.sortedWorkers() {
		if o.dead || o.leaseExpired() {
			continue // the worker ends its tasks before it does anything else
		}
		o.forEachTask(func(other *task) {
			if other == t || !other.onMachine() {
				return
			}
			if other.id == t.id && o != w {
				sim.reportViolation("ran_twice: %s starts on %s (attempt %d) while it runs on %s (attempt %d)", t.id, w.id,
					t.attempt, o.id, other.attempt)
			}
			used.add(sim.jobs[other.id.Job], o, other)
		})
	}
	sim.checkQuota(j, t, used)
	sim.checkPlacement(j, w, t, used)
	if j.cancelConfirmedAt > 0 && sim.now.Sub(j.cancelConfirmedAt).Seconds() > sim.settings.Workers.CancelS {
		sim.reportViolation("ran_cancelled: %s starts on %s after its cancellation was confirmed", t.id, w.id)
	}
}

// checkLaunchesSent checks that a call to a worker launches no task of a job whose user was told that it is cancelled.
func (sim *Simulation) checkLaunchesSent(from *node, request api.CommandRequest) {
	for _, command := range request.Commands {
		j := sim.jobs[command.TaskID.Job]
		if command.Verb == api.Launch && j != nil && j.cancelConfirmedAt > 0 {
			sim.reportViolation("ran_cancelled: %s sends a launch of %s after its cancellation was confirmed", from.name,
				command.TaskID)
		}
	}
}

// checkQuota checks that the team of a starting task stays within its CPU limit.
func (sim *Simulation) checkQuota(j *userJob, t *task, used *usage) {
	limit := sim.cpuLimit(j.spec.Team)
	if cpus := used.teamCPUs + j.spec.VCPUs; limit > 0 && cpus > limit+roundingError {
		sim.reportViolation("quota: team %s uses %v CPUs with %s, its limit is %v", j.spec.Team, cpus, t.id, limit)
	}
}

// checkPlacement checks that a machine meets the constraints of a job, given the zones of its other tasks.
func (sim *Simulation) checkPlacement(j *userJob, w *worker, t *task, used *usage) {
	zone := w.machine.zone
	switch {
	case j.spec.Zone != nil && *j.spec.Zone != zone:
		sim.reportViolation("wrong_place: %s starts in %s, but is bound to %s", t.id, zone, *j.spec.Zone)
	case w.machine.spot && !j.spec.Spot:
		sim.reportViolation("wrong_place: %s starts on a spot machine, which its job does not allow", t.id)
	case used.exceedsSpread(zone):
		sim.reportViolation("wrong_place: %s is one of %d tasks of a spread job in %s", t.id, used.tasksByZone[zone]+1, zone)
	}
	if j.spec.OneZone && used.runsOutside(zone) {
		sim.reportViolation("wrong_place: %s starts in %s, but other tasks of its single-zone job run in another zone", t.id,
			zone)
	}
}

// checkStatusReply checks the job status in a reply. A final status must not change, which only holds for requests sent after the
// user learned of it: overlapping requests have no order.
func (sim *Simulation) checkStatusReply(j *userJob, r *controller.Response, requestedAt ident.MonotonicTime) {
	var v api.JobView
	if err := decode.JSON(r.Body, &v); err != nil || v.ID != j.spec.ID {
		sim.reportViolation("%s: the reply is not a view of the job: %s", j.spec.ID, r.Body)
		return
	}
	if isTerminal(j.lastStatus) && v.Status != j.lastStatus && requestedAt > j.lastStatusAt {
		sim.reportViolation("went_back: %s has status %s after the final status %s", j.spec.ID, v.Status, j.lastStatus)
	}
	switch v.Status {
	case api.StatusCancelled:
		sim.checkCancelled(j)
	case api.StatusDone:
		if i := slices.Index(j.done, false); i >= 0 {
			sim.reportViolation("not_done: %s has status done, but task %d has not completed", j.spec.ID, i)
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

// checkCancelled checks that a job with status cancelled was cancelled by its user, and that none of its tasks is left on
// a machine once the time allowed for a cancellation has passed.
func (sim *Simulation) checkCancelled(j *userJob) {
	if j.cancelSentAt == 0 {
		sim.reportViolation("went_back: %s has status cancelled, but its user did not cancel it", j.spec.ID)
	}
	if j.cancelConfirmedAt > 0 {
		return
	}
	j.cancelConfirmedAt = sim.now
	sim.schedule(seconds(sim.settings.Workers.CancelS)+time.Millisecond, func() {
		for _, w := range sim.sortedWorkers() {
			if sim.now < w.hungUntil && w.leaseExpired() {
				continue // the worker ends its tasks before it does anything else
			}
			if w.taskCount(j.spec.ID) > 0 {
				sim.reportViolation("ran_cancelled: %s still has tasks on %s, %v s after its cancellation was confirmed",
					j.spec.ID, w.id, sim.settings.Workers.CancelS)
			}
		}
	})
}

// isTerminal reports whether a status is final.
func isTerminal(s api.Status) bool { return s == api.StatusDone || s == api.StatusCancelled }

const (
	// faultDrainTime is the time after the active part by which all faults have ended.
	faultDrainTime = 50 * time.Second
	// maxStatusGap is how long no status query for a job may get status 200 once all faults have ended.
	maxStatusGap = 75 * time.Second
	// maxStartDelay is how long the largest jobs may wait until their first task starts.
	maxStartDelay = 4 * time.Minute
	// roundingError is the tolerance for comparisons of CPU sums, which are floating-point.
	roundingError = 1e-6
)

// maxMovesPerJob is how many moves of its tasks a job may have in total.
const maxMovesPerJob = 2

// checkMoveRecord checks a mutation of a job's move record: the record only grows, up to maxMovesPerJob, and is not deleted
// before the job has ended.
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
			sim.reportViolation("the move record of %s is deleted before the job has ended", id)
		}
		return
	}
	r, err := migration.ReadRecord(c.Value)
	switch {
	case err != nil:
		sim.reportViolation("%s: %v", c.Put, err)
	case len(r.Moves) < before:
		sim.reportViolation("%s: the move record shrinks to %d moves from %d", id, len(r.Moves), before)
	case len(r.Moves) > maxMovesPerJob:
		sim.reportViolation("%s: the move record has %d moves, at most %d are allowed", id, len(r.Moves), maxMovesPerJob)
	}
	sim.Moves += len(r.Moves) - before
	sim.logf("move of %s recorded, %d in total", id, len(r.Moves))
}

// jobOfMoveKey returns the job id in the key of a move record.
func jobOfMoveKey(path string) (id string, ok bool) { return strings.CutPrefix(path, migration.Prefix) }

// handingOver reports whether a node's process has announced a handover of leadership and its term has not ended.
func (sim *Simulation) handingOver(n *node) bool {
	incarnation, ok := sim.handovers[n.name]
	if ok && (incarnation != n.incarnation || n.controller.Election().State() != election.Leading) {
		delete(sim.handovers, n.name)
		return false
	}
	return ok
}

// checkHandoverWrites checks that a node that is handing over leadership sends no new transactions except the one that ends
// its term. It may retry transactions that it had already sent.
func (sim *Simulation) checkHandoverWrites(n *node, r kvstore.Request) {
	if r.Op != kvstore.Txn || !sim.handingOver(n) || len(r.Mutations) == 1 && r.Mutations[0].Delete == election.LeaderKey {
		return
	}
	if !sim.sentTransactions[transactionKey(n, r)] {
		sim.reportViolation("%s sends a new write of %s%s during its handover", n.name, r.Mutations[0].Put, r.Mutations[0].Delete)
	}
}

// transactionKey identifies a transaction of a process. A retry has the same key.
func transactionKey(n *node, r kvstore.Request) string {
	return fmt.Sprint(n.name, n.incarnation, r.Compares, len(r.Mutations), r.Mutations[0].Put, r.Mutations[0].Delete)
}

// recordTransaction checks and records a transaction of a node, if the nodes monitor their links.
func (sim *Simulation) recordTransaction(n *node, r kvstore.Request) {
	if sim.cfg.LinkMonitoring && r.Op == kvstore.Txn && len(r.Mutations) > 0 {
		sim.checkHandoverWrites(n, r)
		sim.sentTransactions[transactionKey(n, r)] = true
	}
}
