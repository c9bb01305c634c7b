package simulator

import (
	"cmp"
	"testing"
	"time"
)

// concurrentFaults is a scenario with two or more faults that overlap.
type concurrentFaults struct {
	name              string
	guardsAgainst     string // what the schedulers must not do
	inject            func(sim *Simulation)
	expectedEvents    map[eventName]int // lower bounds
	detectedMutations []Mutation        // safeguards without which some seed violates an invariant
	seeds             uint64            // 0: three
	overload          bool
	length            time.Duration // 0: 130 s
}

// concurrentFaultScenarios are combinations of faults that overlap.
var concurrentFaultScenarios = []concurrentFaults{
	{
		name:          "workers cannot send, commands reach them",
		guardsAgainst: "workers that execute commands being thought to keep their leases",
		inject:        blockWorkersOutbound,
		expectedEvents: map[eventName]int{commandWhileOutboundBlockedEvent: 2, cancelledWhileRunningEvent: 1,
			leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:              "teams at their limit, machines of cancelled jobs unreachable, leader change",
		guardsAgainst:     "cancelled tasks that may still run not being counted by the next leader",
		inject:            disconnectCancelledJobs,
		expectedEvents:    map[eventName]int{teamAtLimitEvent: 2, cancelledWhileRunningEvent: 2, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:              "leader restarts within a second",
		guardsAgainst:     "unfinished actions of a term, or a node's former key, being taken for those of the present term",
		inject:            restartLeaderQuickly,
		expectedEvents:    map[eventName]int{newTermEvent: 6, allNodesCrashedEvent: 1},
		detectedMutations: []Mutation{LaunchBeforeCommit},
	},
	{
		name:              "fast boots during delayed writes, leader crash",
		guardsAgainst:     "tasks on a machine that no successor knows of",
		inject:            bootFastDuringDelayedWrites,
		expectedEvents:    map[eventName]int{newMachineHasTasksEvent: 1, newTermEvent: 2, lateWriteEvent: 1},
		detectedMutations: []Mutation{LaunchBeforeCommit},
	},
	{
		name:              "stale heartbeats after newer ones",
		guardsAgainst:     "a duplicate of an earlier incarnation or attempt proving that a task is gone",
		inject:            deliverStaleHeartbeats,
		expectedEvents:    map[eventName]int{staleHeartbeatEvent: 20, heartbeatOfEarlierIncarnationEvent: 3},
		detectedMutations: []Mutation{AcceptStaleHeartbeats},
	},
	{
		name:              "four short jobs a second, a quarter cancelled",
		guardsAgainst:     "the backlog of completions and cancellations, and elections with hundreds of ended jobs",
		inject:            submitShortJobs,
		expectedEvents:    map[eventName]int{shortJobCancelledEvent: 40, leaderReplacedEvent: 1, nodesProbedEvent: 1000},
		detectedMutations: []Mutation{CacheStatusAnswers},
	},
	{
		name:          "cancellation while the store rejects the leader, then an outage",
		guardsAgainst: "a lease renewed by a node that does not know of a cancellation, for longer than that may take",
		inject:        cancelDuringFailoverAndOutage,
		seeds:         12,
		expectedEvents: map[eventName]int{leaderReplacedEvent: 1, cancellationConfirmedEvent: 1,
			outageAfterConfirmationEvent: 1},
		detectedMutations: []Mutation{RenewWithoutLeadership},
	},
	{
		name:              "delayed commands and replies, machine recovers",
		guardsAgainst:     "a delayed command meeting what has replaced it (for fencing tokens see TestMutationsAreDetected)",
		inject:            delayCommands,
		expectedEvents:    map[eventName]int{commandDelayedEvent: 50, cancelledWhileRunningEvent: 3, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:              "ten leader changes in two minutes, one in an outage",
		guardsAgainst:     "tasks and answers lost between terms",
		inject:            changeLeaderTenTimes,
		length:            150 * time.Second,
		expectedEvents:    map[eventName]int{tenTermsEvent: 1, newTermEvent: 8, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:              "replies to transactions lost, other nodes read",
		guardsAgainst:     "a leader answering from memory while another node reads the store",
		inject:            dropTransactionReplies,
		expectedEvents:    map[eventName]int{replyDroppedEvent: 10, nodesProbedEvent: 100},
		detectedMutations: []Mutation{CacheStatusAnswers},
	},
	{
		name:              "overload over slow links",
		guardsAgainst:     "starvation of large jobs and of teams without a guarantee",
		overload:          true,
		length:            400 * time.Second,
		seeds:             1,
		inject:            overloadOverSlowLinks,
		expectedEvents:    map[eventName]int{linkSlowEvent: 100},
		detectedMutations: []Mutation{NoMaxWait},
	},
	{
		name:          "users query all nodes right after an answer",
		guardsAgainst: "a node answering with an older state than another",
		inject:        probeAfterAnswers,
		expectedEvents: map[eventName]int{nodesProbedEvent: 500, leaderReplacedEvent: 1, edgeCaseRequestEvent: 20,
			submissionChangedEvent: 1,
			doneJobCancelledEvent:  1},
		detectedMutations: []Mutation{CacheStatusAnswers},
	},
	{
		name:              "leader reaches only workers and users, cancellation at the next",
		guardsAgainst:     "the old leader renewing the leases of machines whose tasks the new one has cancelled",
		inject:            isolateLeaderThenCancel,
		expectedEvents:    map[eventName]int{leaderReplacedEvent: 1, cancellationConfirmedEvent: 1, leaseKeptByOldLeaderEvent: 1},
		detectedMutations: []Mutation{RenewWithoutLeadership},
	},
	{
		name:              "leader crash with unreachable machines",
		guardsAgainst:     "a successor restarting tasks that still run there",
		inject:            crashLeaderWithUnreachableMachines,
		expectedEvents:    map[eventName]int{machineDisconnectedEvent: 1, machineInboundBlockedEvent: 1, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:              "delayed writes after newer ones",
		guardsAgainst:     "an old value overwriting a new one",
		inject:            delayWrites,
		expectedEvents:    map[eventName]int{lateWriteEvent: 10, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{IgnoreRevisions},
	},
	{
		name:              "zone partitioned for longer than a lease",
		guardsAgainst:     "leases kept inside for jobs cancelled outside",
		inject:            partitionZoneThenCancel,
		expectedEvents:    map[eventName]int{zonePartitionedEvent: 1, cancelledInPartitionEvent: 1},
		detectedMutations: []Mutation{KeepLeasesForever},
		seeds:             4,
	},
	{
		name:              "tasks of a job complete far apart, across a leader change",
		guardsAgainst:     "a completion of the previous term being forgotten, or a running task started again",
		inject:            completeAcrossLeaderChange,
		expectedEvents:    map[eventName]int{partlyCompletedEvent: 1, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:              "held heartbeats reach every node as a new leader begins",
		guardsAgainst:     "the first heartbeat of a term being taken for the newest",
		inject:            holdHeartbeatsAcrossTerms,
		expectedEvents:    map[eventName]int{heldHeartbeatDeliveredEvent: 20, leaderReplacedEvent: 2},
		detectedMutations: []Mutation{AcceptStaleHeartbeats},
	},
	{
		name:              "cancelled, queried and resubmitted as the last task completes",
		guardsAgainst:     "a job being cancelled for one node and done for another",
		inject:            cancelAsTasksComplete,
		expectedEvents:    map[eventName]int{cancelledAtCompletionEvent: 30, nodesProbedEvent: 300},
		detectedMutations: []Mutation{CacheStatusAnswers},
	},
	{
		name:          "store slow, rejecting the leader, then down",
		guardsAgainst: "cancellations confirmed and queries answered on the way into an outage",
		inject:        slowStoreThenOutage,
		expectedEvents: map[eventName]int{storeSlowEvent: 20, leaderReplacedEvent: 1, cancellationConfirmedEvent: 1,
			outageAfterConfirmationEvent: 1},
		detectedMutations: []Mutation{RenewWithoutLeadership},
		seeds:             6,
	},
	{
		name:              "jobs bound to one zone lose machines",
		guardsAgainst:     "the place of a lost task being chosen without regard to the others",
		inject:            loseMachinesOfZoneJobs,
		expectedEvents:    map[eventName]int{machineLostEvent: 3, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{DropZoneConstraint},
	},
	{
		name:              "cancellations during a failover",
		guardsAgainst:     "a cancellation that neither leader carries out",
		inject:            cancelDuringFailover,
		expectedEvents:    map[eventName]int{cancelledWhileRunningEvent: 4, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{DropStopCommands},
	},
	{
		name:              "heartbeats held until a new leader has acted",
		guardsAgainst:     "actions of a new leader being undone by an older heartbeat",
		inject:            holdHeartbeatsUntilFailover,
		expectedEvents:    map[eventName]int{heartbeatsHeldEvent: 2, heldHeartbeatDeliveredEvent: 1, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{AcceptStaleHeartbeats},
	},
	{
		name:              "all controllers down for longer than a lease",
		guardsAgainst:     "tasks that may still run being started elsewhere",
		inject:            crashAllControllers,
		expectedEvents:    map[eventName]int{allNodesDownEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:          "team at its limit, machines unreachable, failover, cancellation",
		guardsAgainst: "capacity of the limit given away before its machine reports",
		inject:        cancelAtTeamLimit,
		expectedEvents: map[eventName]int{teamAtLimitEvent: 2, machineInboundBlockedEvent: 2, cancelledWhileRunningEvent: 2,
			leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
}

func (m *concurrentFaults) run(seed uint64, without Mutation) *Simulation {
	length := cmp.Or(m.length, 130*time.Second)
	sim := New(Config{Seed: seed, Mutation: without, ActiveDuration: length, NoArrivals: !m.overload, Overload: m.overload})
	m.inject(sim)
	sim.Run()
	return sim
}

// unfinished reports whether work has not ended. With overload that is only whether the largest jobs started in time.
func (m *concurrentFaults) unfinished(sim *Simulation) bool {
	if !m.overload {
		return len(sim.Unfinished) > 0
	}
	ids, n := largeJobsStartedLate(sim)
	return len(ids) > 0 || n < 10
}

// TestConcurrentFaults runs each scenario with a few seeds: no invariant is violated and every job ends. A run in which the
// faults did not overlap as intended fails. Each is also run without the safeguards that it rests on, which some seed must
// detect.
func TestConcurrentFaults(t *testing.T) {
	for _, m := range concurrentFaultScenarios {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := range cmp.Or(m.seeds, 3) {
				m.check(t, seed)
			}
			for _, x := range m.detectedMutations {
				m.checkDetects(t, x)
			}
		})
	}
}

// check runs the scenario with a seed.
func (m *concurrentFaults) check(t *testing.T, seed uint64) {
	t.Helper()
	sim := m.run(seed, None)
	if len(sim.Violations) > 0 || m.unfinished(sim) {
		t.Errorf("guards against %s; seed %d: %v %v\n%s", m.guardsAgainst, seed, sim.Violations, sim.Unfinished, sim.LogTail(40))
	}
	for name, n := range m.expectedEvents {
		if sim.eventCounts[name] < n {
			t.Errorf("seed %d: %q took place %d times, not %d: %v", seed, name, sim.eventCounts[name], n, sim.eventCounts)
		}
	}
}

// checkDetects checks that some seed detects that a safeguard is switched off.
func (m *concurrentFaults) checkDetects(t *testing.T, x Mutation) {
	t.Helper()
	for seed := range uint64(20) {
		sim := m.run(seed, x)
		if len(sim.Violations) > 0 || x == NoMaxWait && m.unfinished(sim) {
			return
		}
	}
	t.Errorf("no seed detects that safeguard %d is off", x)
}
