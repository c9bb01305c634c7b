package simulator

import (
	"math/rand/v2"
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

const (
	// copiedCallShare is the share of the calls with commands of which copies arrive in a run with random faults.
	copiedCallShare = 0.2
	// maxCallCopies is the largest number of copies of a call.
	maxCallCopies = 2
	// maxCopyDelayLeases is the latest time at which a copy of a call arrives, in lease durations.
	maxCopyDelayLeases = 1.5
)

// callCopier delivers copies of the command calls that workers have executed. Its random generator is its own, so that the other
// faults of a seed do not depend on it.
type callCopier struct {
	rng *rand.Rand
	// delays, if set, returns how long after the execution of a call each of its copies arrives, instead of random delays.
	delays func(w *worker, request api.CommandRequest) []time.Duration
}

func newCallCopier(seed uint64) callCopier { return callCopier{rng: rand.New(rand.NewPCG(seed, 11))} }

// copyCall delivers copies of a call that a worker has executed, if such a fault occurs.
func (sim *Simulation) copyCall(w *worker, request api.CommandRequest) {
	for _, delay := range sim.copyDelays(w, request) {
		sim.schedule(delay, func() { w.whenResponsive(func() { w.receiveCopy(request) }) })
	}
}

// copyDelays returns the delays of the copies of a call.
func (sim *Simulation) copyDelays(w *worker, request api.CommandRequest) (delays []time.Duration) {
	copier := sim.callCopier
	if copier.delays != nil {
		return copier.delays(w, request)
	}
	active := sim.cfg.Faults && sim.now < ident.MonotonicTime(sim.cfg.ActiveDuration)
	if !active || len(request.Commands) == 0 || copier.rng.Float64() >= copiedCallShare {
		return nil
	}
	for range 1 + copier.rng.IntN(maxCallCopies) {
		delays = append(delays, seconds(copier.rng.Float64()*maxCopyDelayLeases*sim.settings.Workers.LeaseS))
	}
	return delays
}

// receiveCopy handles a copy of a call that was executed before; its answer is lost. The copy must not start an attempt: the
// worker has held each attempt that the call launches, so one that it does not hold was cleared.
func (w *worker) receiveCopy(request api.CommandRequest) {
	var absent []api.Command
	for _, c := range request.Commands {
		if c.Verb == api.Launch && w.tasks[c.TaskID][c.Attempt] == nil {
			absent = append(absent, c)
		}
	}
	w.handleCommands(request, func(r workers.CommandResult) {
		if r.Status == http.StatusOK {
			w.sim.countEvent(copiedCallExecutedEvent)
		} else {
			w.sim.countEvent(copiedCallRejectedEvent)
		}
	})
	for _, c := range absent {
		w.sim.countEvent(launchOfClearedAttemptCopiedEvent)
		if w.tasks[c.TaskID][c.Attempt] != nil {
			w.sim.reportViolation("%s attempt %d is started again on %s by a copy of an executed call", c.TaskID, c.Attempt, w.id)
		}
	}
}
