package simulator

import (
	"slices"
	"testing"
	"time"

	"opaldale/internal/api"
)

const attemptClearedEvent eventName = "launched attempt cleared"

// copiedLaunch is a scenario in which copies of the calls that launched a job's tasks arrive once the attempts were cleared.
type copiedLaunch struct {
	sim *Simulation
	job *userJob
	// end makes the first attempt end.
	end func(s *copiedLaunch)
	// disturb is called once an attempt was cleared, just before the copies; it may be nil.
	disturb func(s *copiedLaunch, w *worker)
	// copyAfter holds how long after the clear each copy arrives.
	copyAfter []time.Duration
	// waitFor is an additional condition for the copies; it may be nil.
	waitFor func(s *copiedLaunch) bool
}

// launchesOf returns the attempts of the job that a call launches.
func (s *copiedLaunch) launchesOf(request api.CommandRequest) (launches []api.Command) {
	for _, c := range request.Commands {
		if c.Verb == api.Launch && s.job != nil && c.TaskID.Job == s.job.spec.ID {
			launches = append(launches, c)
		}
	}
	return launches
}

// recordCall delivers the copies of a call that launches tasks of the job as soon as the worker has cleared one of them.
func (s *copiedLaunch) recordCall(w *worker, request api.CommandRequest) []time.Duration {
	launches := s.launchesOf(request)
	if len(launches) == 0 {
		return nil
	}
	cleared := func() bool {
		return slices.ContainsFunc(launches, func(c api.Command) bool { return w.tasks[c.TaskID][c.Attempt] == nil })
	}
	s.sim.waitUntil(func() bool { return cleared() && (s.waitFor == nil || s.waitFor(s)) }, func() {
		s.sim.countEvent(attemptClearedEvent)
		if s.disturb != nil {
			s.disturb(s, w)
		}
		for _, d := range s.copyAfter {
			s.sim.schedule(d, func() { w.whenResponsive(func() { w.receiveCopy(request) }) })
		}
	})
	return nil
}

// run runs the scenario on a few machines, on which other work leaves room for the job to be started on another machine.
func (s *copiedLaunch) run(cfg Config) *Simulation {
	cfg.NoArrivals, cfg.ActiveDuration = true, 150*time.Second
	s.sim = New(cfg)
	s.sim.callCopier.delays = s.recordCall
	s.sim.submitBaseLoad(4)
	s.sim.scheduleAt(30, func() {
		s.job = s.sim.submitJob(func(spec *api.Spec) {
			spec.Team, spec.Tasks, spec.VCPUs, spec.Spot, spec.Image = "red", 1, 1, false, "img-0"
		}, 40*time.Second)
		s.end(s)
	})
	s.sim.Run()
	return s.sim
}

// failOnce makes the first attempt of the job fail.
func failOnce(s *copiedLaunch) {
	s.job.alwaysFails = true
	s.sim.waitUntil(func() bool { return s.job.failures > 0 }, func() { s.job.alwaysFails = false })
}

// onceRunning calls f once a task of the job runs.
func (s *copiedLaunch) onceRunning(f func()) {
	s.sim.waitUntil(func() bool { return len(s.sim.workersOf(s.job)) > 0 }, f)
}

// cancelOnceRunning cancels the job while it runs.
func cancelOnceRunning(s *copiedLaunch) {
	s.onceRunning(func() { s.sim.cancelWhenAccepted(s.job, nil) })
}

// completeSoon makes the job complete within seconds.
func completeSoon(s *copiedLaunch) { s.job.duration = 4 * time.Second }

// preemptOnceRunning submits urgent services that need the capacity of the machine, while the job runs.
func preemptOnceRunning(s *copiedLaunch) {
	s.onceRunning(func() {
		for range 8 {
			service := s.sim.submitJob(func(spec *api.Spec) {
				spec.Shape, spec.Priority, spec.Spot, spec.RuntimeS, spec.VCPUs = api.Service, api.Critical, false, 0, 2
				spec.Team = "red"
			}, 0)
			s.sim.schedule(15*time.Second, func() { s.sim.cancelWhenAccepted(service, nil) })
		}
	})
}

// loseGang makes the job a gang, and restarts one of its machines while it runs.
func loseGang(s *copiedLaunch) {
	s.job = s.sim.submitJob(func(spec *api.Spec) {
		spec.Team, spec.Shape, spec.Tasks, spec.VCPUs, spec.Spot = "blue", api.Gang, 3, 4, false
	}, 20*time.Second)
	s.onceRunning(func() {
		s.sim.schedule(3*time.Second, func() {
			if list := s.sim.workersOf(s.job); len(list) > 0 {
				list[0].restart()
			}
		})
	})
}

// handOver breaks the leader's link from the machines, so that it hands over its leadership.
func handOver(s *copiedLaunch, _ *worker) {
	if l := s.sim.leader(); l != nil {
		s.sim.disconnectOneWay(machines, l.name, false, 20*time.Second)
		s.sim.onNextLeader(l, func(*node) {})
	}
}

// copiedLaunchCases are the ways in which an attempt ends, and what else happens before the copies of its launch arrive.
var copiedLaunchCases = []struct {
	name string
	copiedLaunch
	linkMonitoring bool
	expectedEvents []eventName // beside those of all cases
}{
	{name: "failed, started elsewhere", copiedLaunch: copiedLaunch{end: failOnce, copyAfter: soon}},
	{name: "failed, two copies", copiedLaunch: copiedLaunch{end: failOnce,
		copyAfter: []time.Duration{soonAfter, 3 * time.Second}}},
	{name: "failed, copy older than a lease", copiedLaunch: copiedLaunch{end: failOnce,
		copyAfter: []time.Duration{longerThanLease}}},
	{name: "completed", copiedLaunch: copiedLaunch{end: completeSoon, copyAfter: soon}},
	{name: "cancelled, copy after the deadline", copiedLaunch: copiedLaunch{end: cancelOnceRunning,
		copyAfter: []time.Duration{45 * time.Second}}},
	{name: "cancelled and confirmed", copiedLaunch: copiedLaunch{end: cancelOnceRunning, copyAfter: soon,
		waitFor: func(s *copiedLaunch) bool { return s.job.cancelConfirmedAt > 0 }}},
	{name: "preempted", copiedLaunch: copiedLaunch{end: preemptOnceRunning, copyAfter: soon}},
	{name: "lost with its gang", copiedLaunch: copiedLaunch{end: loseGang, copyAfter: soon}},
	{name: "leader back within a second", expectedEvents: []eventName{newTermEvent}, copiedLaunch: copiedLaunch{end: failOnce,
		copyAfter: []time.Duration{200 * time.Millisecond, soonAfter, 5 * time.Second},
		disturb:   func(s *copiedLaunch, _ *worker) { s.sim.crashLeader(300 * time.Millisecond) }}},
	{name: "leader deposed", expectedEvents: []eventName{leaderReplacedEvent}, copiedLaunch: copiedLaunch{end: failOnce,
		copyAfter: []time.Duration{soonAfter, 2 * time.Second, 8 * time.Second},
		disturb: func(s *copiedLaunch, _ *worker) {
			l := s.sim.leader()
			s.sim.isolate(l, false, 15*time.Second)
			s.sim.onNextLeader(l, func(*node) {})
		}}},
	{name: "leader hands over", linkMonitoring: true, expectedEvents: []eventName{handoverAnnouncedEvent, leaderReplacedEvent},
		copiedLaunch: copiedLaunch{end: failOnce, copyAfter: []time.Duration{soonAfter, 4 * time.Second, 10 * time.Second},
			disturb: handOver}},
	{name: "machine hangs", copiedLaunch: copiedLaunch{end: failOnce, copyAfter: soon,
		disturb: func(_ *copiedLaunch, w *worker) { w.hangFor(3 * time.Second) }}},
	{name: "machine in a new incarnation", copiedLaunch: copiedLaunch{end: failOnce, copyAfter: soon,
		disturb: func(_ *copiedLaunch, w *worker) { w.restart() }}},
	{name: "machine back within a second", copiedLaunch: copiedLaunch{end: failOnce, copyAfter: []time.Duration{2 * time.Second},
		disturb: func(s *copiedLaunch, w *worker) {
			s.sim.disconnect(string(w.id), anyParty, false, 700*time.Millisecond)
		}}},
}

// soonAfter is the delay of a copy that arrives right after the clear.
const soonAfter = 500 * time.Millisecond

var soon = []time.Duration{soonAfter}

// TestCopyOfAnsweredLaunchStartsNoClearedAttempt guards against a task running twice, or after its cancellation: its launch was
// carried out and answered, the attempt ended and was cleared, and a copy of the launch started it again.
func TestCopyOfAnsweredLaunchStartsNoClearedAttempt(t *testing.T) {
	t.Parallel()
	for _, c := range copiedLaunchCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				s := c.copiedLaunch
				sim := s.run(Config{Seed: seed, LinkMonitoring: c.linkMonitoring})
				requireClean(t, sim)
				requireEvents(t, sim, launchOfClearedAttemptCopiedEvent)
				requireEvents(t, sim, c.expectedEvents...)
			}
		})
	}
}

// TestCopyOfAnsweredLaunchStartsNoMovedTask guards against a moved task running twice: copies of all calls that launch tasks
// arrive while running tasks are moved.
func TestCopyOfAnsweredLaunchStartsNoMovedTask(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim := New(rebalancingConfig(seed))
		sim.callCopier.delays = func(*worker, api.CommandRequest) []time.Duration {
			return []time.Duration{2 * time.Second, 7 * time.Second, longerThanLease}
		}
		sim.fragmentFleet(4)
		sim.Run()
		requireClean(t, sim)
		if sim.Moves == 0 || sim.eventCounts[launchOfClearedAttemptCopiedEvent] == 0 {
			t.Errorf("seed %d: got %d moves and events %v, want moves and copies of launches of cleared attempts", seed,
				sim.Moves, sim.eventCounts)
		}
	}
}
