package simulator

import (
	"slices"
	"testing"
	"time"

	"opaldale/internal/api"
)

const (
	killAnsweredLateEvent eventName = "answer to a kill command late"
	launchHeldUpEvent     eventName = "launch held up"
)

// heldLaunch is a scenario on two machines, one in each zone. On the first one, a replica and two tasks run; the job of one of
// them is cancelled, and the kill command gets no answer in time. While the next kill command is in flight, another task is
// placed on that machine, its launch is held up, and a more urgent replica preempts it. The second machine then has room for it.
type heldLaunch struct {
	sim       *Simulation
	machine   *worker // the first machine
	filler    *userJob
	cancelled *userJob
	preempted *userJob
	urgent    *userJob
	kills     int // calls that kill the task of the cancelled job
}

// submit submits a job with one task that may run in one zone only, or in any if the zone is "".
func (s *heldLaunch) submit(shape api.Shape, cpus float64, zone string, duration time.Duration) *userJob {
	return s.sim.submitJob(func(spec *api.Spec) {
		spec.Team, spec.Tasks, spec.VCPUs, spec.Spot, spec.Image, spec.Shape = "red", 1, cpus, true, "img-0", shape
		if zone != "" {
			spec.Zone = &zone
		}
		if shape == api.Service {
			spec.Priority, spec.RuntimeS = api.Critical, 0
		}
	}, duration)
}

// fillMachines submits the work that runs before the cancellation.
func (s *heldLaunch) fillMachines() {
	s.filler = s.submit(api.Service, 8, "west", 0)
	s.submit(api.Service, 1, "east", 0)
	s.submit(api.Batch, 4, "east", time.Minute)
	s.cancelled = s.submit(api.Batch, 1, "east", 5*time.Minute)
}

// begin cancels the job just after a heartbeat of the first machine, so that a probe, and not the next heartbeat, shows that its
// task still runs.
func (s *heldLaunch) begin() {
	s.sim.waitUntil(func() bool { return len(s.sim.workersOf(s.cancelled)) > 0 }, func() {
		s.machine = s.sim.workersOf(s.cancelled)[0]
		last := s.machine.lastHeartbeat
		s.sim.waitUntil(func() bool { return s.machine.lastHeartbeat > last }, func() {
			s.sim.callDelay = s.delay
			s.sim.schedule(50*time.Millisecond, func() { s.sim.cancelWhenAccepted(s.cancelled, s.sim.leader()) })
		})
	})
}

// delay returns the delay of a call, and submits the next job as the calls arrive.
func (s *heldLaunch) delay(w *worker, request api.CommandRequest) time.Duration {
	const (
		unanswered   = 3 * time.Second
		answeredLate = 300 * time.Millisecond
		heldUp       = 1100 * time.Millisecond
		runsUrgent   = 10 * time.Second
	)
	commands := func(verb api.Verb, j *userJob) bool {
		return j != nil && slices.ContainsFunc(request.Commands, func(c api.Command) bool {
			return c.Verb == verb && c.TaskID.Job == j.spec.ID
		})
	}
	switch {
	case w != s.machine:
		return 0
	case commands(api.Kill, s.cancelled):
		s.kills++
		if s.kills == 1 {
			return unanswered
		}
		if s.preempted == nil {
			s.sim.countEvent(killAnsweredLateEvent)
			s.preempted = s.submit(api.Batch, 2, "", 5*time.Second)
		}
		return answeredLate
	case commands(api.Launch, s.preempted) && s.urgent == nil:
		s.sim.countEvent(launchHeldUpEvent)
		s.urgent = s.submit(api.Service, 4, "east", 0)
		s.sim.cancelWhenAccepted(s.filler, nil)
		s.sim.schedule(runsUrgent, func() { s.sim.cancelWhenAccepted(s.urgent, nil) })
		return heldUp
	}
	return 0
}

// TestHeldUpLaunchDoesNotRunTwice guards against a task running twice: its launch was held up after two calls to its worker had
// overlapped, and it was started on another machine before the launch was executed.
func TestHeldUpLaunchDoesNotRunTwice(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		sim := New(Config{Seed: seed, NoArrivals: true, ActiveDuration: time.Minute, ZoneCapacity: 1})
		sim.cloud.spotOnly = true
		s := &heldLaunch{sim: sim}
		sim.scheduleAt(2, s.fillMachines)
		sim.scheduleAt(30, s.begin)
		sim.Run()
		requireClean(t, sim)
		if sim.eventCounts[killAnsweredLateEvent] != 1 || sim.eventCounts[launchHeldUpEvent] != 1 {
			t.Errorf("seed %d: got events %v, want one of %q and of %q\n%s", seed, sim.eventCounts, killAnsweredLateEvent,
				launchHeldUpEvent, sim.LogTail(60))
			continue
		}
		if s.urgent.firstStartAt == 0 || s.preempted.stopCount() == 0 {
			t.Errorf("seed %d: the urgent replica started: %v, the held up task was stopped: %v; want both", seed,
				s.urgent.firstStartAt > 0, s.preempted.stopCount() > 0)
		}
	}
}
