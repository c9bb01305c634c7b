package simulator

import (
	"cmp"
	"testing"
	"time"
)

// concurrentFaultScenario is a scenario in which two or more faults overlap.
type concurrentFaultScenario struct {
	name              string
	guardsAgainst     string // the failure that the scenario would expose
	inject            func(sim *Simulation)
	expectedEvents    map[eventName]int // lower bounds
	detectedMutations []Mutation        // disabled safeguards, each of which some seed must detect
	seeds             uint64            // number of seeds; 0: three
	overload          bool              // submits more work than there is capacity for
	length            time.Duration     // active part of the run; 0: 130 s
}

// concurrentFaultScenarios are the combinations of overlapping faults that TestConcurrentFaults runs.
var concurrentFaultScenarios = []concurrentFaultScenario{
	{
		name:          "workers cannot send, commands reach them",
		guardsAgainst: "the leases of workers that execute commands being treated as renewed",
		inject:        blockWorkersOutbound,
		expectedEvents: map[eventName]int{commandWhileOutboundBlockedEvent: 2, cancelledWhileRunningEvent: 1,
			leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:              "teams at their limit, machines of cancelled jobs unreachable, leader change",
		guardsAgainst:     "the next leader not counting cancelled tasks that may still run",
		inject:            disconnectCancelledJobs,
		expectedEvents:    map[eventName]int{teamAtLimitEvent: 2, cancelledWhileRunningEvent: 2, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:              "leader restarts within a second",
		guardsAgainst:     "unfinished actions of an earlier term, or a node's earlier key, being treated as current",
		inject:            restartLeaderQuickly,
		expectedEvents:    map[eventName]int{newTermEvent: 6, allNodesCrashedEvent: 1},
		detectedMutations: []Mutation{LaunchBeforeCommit},
	},
	{
		name:              "fast boots during delayed writes, leader crash",
		guardsAgainst:     "tasks on a machine of which the next leader has no record",
		inject:            bootFastDuringDelayedWrites,
		expectedEvents:    map[eventName]int{newMachineHasTasksEvent: 1, newTermEvent: 2, lateWriteEvent: 1},
		detectedMutations: []Mutation{LaunchBeforeCommit},
	},
	{
		name:              "stale heartbeats after newer ones",
		guardsAgainst:     "a late duplicate of an earlier incarnation or attempt being accepted as proof that a task ended",
		inject:            deliverStaleHeartbeats,
		expectedEvents:    map[eventName]int{staleHeartbeatEvent: 20, heartbeatOfEarlierIncarnationEvent: 3},
		detectedMutations: []Mutation{AcceptStaleHeartbeats},
	},
	{
		name:              "four short jobs a second, a quarter cancelled",
		guardsAgainst:     "failures due to queued completions and cancellations, or to hundreds of ended jobs at an election",
		inject:            submitShortJobs,
		expectedEvents:    map[eventName]int{shortJobCancelledEvent: 40, leaderReplacedEvent: 1, nodesProbedEvent: 1000},
		detectedMutations: []Mutation{CacheStatusReplies},
	},
	{
		name:          "cancellation while the store rejects the leader, then an outage",
		guardsAgainst: "a node that does not know of a cancellation renewing leases for longer than a cancellation may take",
		inject:        cancelDuringFailoverAndOutage,
		seeds:         12,
		expectedEvents: map[eventName]int{leaderReplacedEvent: 1, cancellationConfirmedEvent: 1,
			outageAfterConfirmationEvent: 1},
		detectedMutations: []Mutation{RenewWithoutLeadership},
	},
	{
		name:              "delayed commands and replies, machine recovers",
		guardsAgainst:     "a delayed command acting on newer state (TestMutationsAreDetected covers fencing tokens)",
		inject:            delayCommands,
		expectedEvents:    map[eventName]int{commandDelayedEvent: 50, cancelledWhileRunningEvent: 3, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:              "ten leader changes in two minutes, one in an outage",
		guardsAgainst:     "tasks or replies being lost between terms",
		inject:            changeLeaderTenTimes,
		length:            150 * time.Second,
		expectedEvents:    map[eventName]int{tenTermsEvent: 1, newTermEvent: 8, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:              "replies to transactions lost, other nodes read",
		guardsAgainst:     "a leader replying from memory differently from a node that reads the store",
		inject:            dropTransactionReplies,
		expectedEvents:    map[eventName]int{replyDroppedEvent: 10, nodesProbedEvent: 100},
		detectedMutations: []Mutation{CacheStatusReplies},
	},
	{
		name:          "transactions slow, jobs cancelled before they are accepted",
		guardsAgainst: "a leader replying with the state before a transaction whose result another node has told",
		inject:        cancelDuringSlowTransactions,
		expectedEvents: map[eventName]int{transactionSlowEvent: 100, cancelledBeforeAcceptedEvent: 20,
			finalStatusBeforeAcceptedEvent: 10, nodesProbedEvent: 500},
		detectedMutations: []Mutation{CacheStatusReplies},
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
		guardsAgainst: "a node replying with an older state than another node before",
		inject:        probeAfterReplies,
		expectedEvents: map[eventName]int{nodesProbedEvent: 500, leaderReplacedEvent: 1, edgeCaseRequestEvent: 20,
			submissionChangedEvent: 1,
			doneJobCancelledEvent:  1},
		detectedMutations: []Mutation{CacheStatusReplies},
	},
	{
		name:              "leader reaches only workers and users, cancellation at the next",
		guardsAgainst:     "the old leader renewing the leases of machines whose tasks the new leader has cancelled",
		inject:            isolateLeaderThenCancel,
		expectedEvents:    map[eventName]int{leaderReplacedEvent: 1, cancellationConfirmedEvent: 1, leaseKeptByOldLeaderEvent: 1},
		detectedMutations: []Mutation{RenewWithoutLeadership},
	},
	{
		name:              "leader crash with unreachable machines",
		guardsAgainst:     "the next leader restarting tasks that still run on unreachable machines",
		inject:            crashLeaderWithUnreachableMachines,
		expectedEvents:    map[eventName]int{machineDisconnectedEvent: 1, machineInboundBlockedEvent: 1, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:              "delayed writes after newer ones",
		guardsAgainst:     "an old value overwriting a newer one",
		inject:            delayWrites,
		expectedEvents:    map[eventName]int{lateWriteEvent: 10, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{IgnoreRevisions},
	},
	{
		name:              "zone partitioned for longer than a lease",
		guardsAgainst:     "nodes in the zone renewing leases for jobs that were cancelled outside of it",
		inject:            partitionZoneThenCancel,
		expectedEvents:    map[eventName]int{zonePartitionedEvent: 1, cancelledInPartitionEvent: 1},
		detectedMutations: []Mutation{KeepLeasesForever},
		seeds:             4,
	},
	{
		name:              "tasks of a job complete far apart, across a leader change",
		guardsAgainst:     "the next leader losing a completion of the previous term, or starting a running task again",
		inject:            completeAcrossLeaderChange,
		expectedEvents:    map[eventName]int{partlyCompletedEvent: 1, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:              "held heartbeats reach every node as a new leader begins",
		guardsAgainst:     "the first heartbeat that arrives in a term being treated as the newest",
		inject:            holdHeartbeatsAcrossTerms,
		expectedEvents:    map[eventName]int{heldHeartbeatDeliveredEvent: 20, leaderReplacedEvent: 2},
		detectedMutations: []Mutation{AcceptStaleHeartbeats},
	},
	{
		name:              "cancelled, queried and resubmitted as the last task completes",
		guardsAgainst:     "one node reporting a job as cancelled and another as done",
		inject:            cancelAsTasksComplete,
		expectedEvents:    map[eventName]int{cancelledAtCompletionEvent: 30, nodesProbedEvent: 300},
		detectedMutations: []Mutation{CacheStatusReplies},
	},
	{
		name:          "store slow, rejecting the leader, then down",
		guardsAgainst: "wrong confirmations of cancellations, or wrong replies, as an outage begins",
		inject:        slowStoreThenOutage,
		expectedEvents: map[eventName]int{storeSlowEvent: 20, leaderReplacedEvent: 1, cancellationConfirmedEvent: 1,
			outageAfterConfirmationEvent: 1},
		detectedMutations: []Mutation{RenewWithoutLeadership},
		seeds:             6,
	},
	{
		name:              "jobs bound to one zone lose machines",
		guardsAgainst:     "a lost task being replaced without regard to the zone of the job's other tasks",
		inject:            loseMachinesOfZoneJobs,
		expectedEvents:    map[eventName]int{machineLostEvent: 3, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{DropZoneConstraint},
	},
	{
		name:              "cancellations during a failover",
		guardsAgainst:     "a cancellation that neither the old nor the new leader carries out",
		inject:            cancelDuringFailover,
		expectedEvents:    map[eventName]int{cancelledWhileRunningEvent: 4, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{DropStopCommands},
	},
	{
		name:              "heartbeats held until a new leader has acted",
		guardsAgainst:     "an older heartbeat undoing actions of a new leader",
		inject:            holdHeartbeatsUntilFailover,
		expectedEvents:    map[eventName]int{heartbeatsHeldEvent: 2, heldHeartbeatDeliveredEvent: 1, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{AcceptStaleHeartbeats},
	},
	{
		name:              "all controllers down for longer than a lease",
		guardsAgainst:     "tasks that may still run being started on other machines",
		inject:            crashAllControllers,
		expectedEvents:    map[eventName]int{allNodesDownEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:          "team at its limit, machines unreachable, failover, cancellation",
		guardsAgainst: "capacity within a team limit being reused before the machine that holds it sends a heartbeat",
		inject:        cancelAtTeamLimit,
		expectedEvents: map[eventName]int{teamAtLimitEvent: 2, machineInboundBlockedEvent: 2, cancelledWhileRunningEvent: 2,
			leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
}

// run runs the scenario with a seed and a mutation.
func (s *concurrentFaultScenario) run(seed uint64, mutation Mutation) *Simulation {
	length := cmp.Or(s.length, 130*time.Second)
	sim := New(Config{Seed: seed, Mutation: mutation, ActiveDuration: length, NoArrivals: !s.overload, Overload: s.overload})
	s.inject(sim)
	sim.Run()
	return sim
}

// unfinished reports whether work has not ended. With overload it reports whether a large job started late, or whether there
// were too few large jobs to tell.
func (s *concurrentFaultScenario) unfinished(sim *Simulation) bool {
	if !s.overload {
		return len(sim.Unfinished) > 0
	}
	ids, n := largeJobsStartedLate(sim)
	return len(ids) > 0 || n < 10
}

// TestConcurrentFaults guards against failures that occur only while faults overlap. It runs each scenario with a few seeds:
// no invariant may be violated, every job must end, and the intended events must occur. It also runs each scenario with a
// safeguard disabled, which some seed must detect.
func TestConcurrentFaults(t *testing.T) {
	for _, scenario := range concurrentFaultScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			for seed := range cmp.Or(scenario.seeds, 3) {
				scenario.check(t, seed)
			}
			for _, mutation := range scenario.detectedMutations {
				scenario.checkDetects(t, mutation)
			}
		})
	}
}

// check runs the scenario with a seed and checks invariants, completion and expected events.
func (s *concurrentFaultScenario) check(t *testing.T, seed uint64) {
	t.Helper()
	sim := s.run(seed, None)
	if len(sim.Violations) > 0 || s.unfinished(sim) {
		t.Errorf("guards against %s; seed %d: violations %v, unfinished %v, want none\n%s", s.guardsAgainst, seed,
			sim.Violations, sim.Unfinished, sim.LogTail(40))
	}
	for name, n := range s.expectedEvents {
		if sim.eventCounts[name] < n {
			t.Errorf("seed %d: event %q: got %d, want at least %d; all events: %v", seed, name, sim.eventCounts[name], n,
				sim.eventCounts)
		}
	}
}

// checkDetects checks that some seed detects a disabled safeguard.
func (s *concurrentFaultScenario) checkDetects(t *testing.T, mutation Mutation) {
	t.Helper()
	for seed := range uint64(20) {
		sim := s.run(seed, mutation)
		if len(sim.Violations) > 0 || mutation == NoMaxWait && s.unfinished(sim) {
			return
		}
	}
	t.Errorf("no seed of 20 detects mutation %d", mutation)
}
