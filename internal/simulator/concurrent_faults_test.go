package simulator

import (
	"cmp"
	"testing"
	"time"

	"opaldale/internal/api"
)

// concurrentFaults is two or more troubles at once, in which schedulers have broken rules.
type concurrentFaults struct {
	name              string
	guardsAgainst     string // against what
	inject            func(sim *Simulation)
	expectedEvents    map[eventName]int // what must have come of it, so often at the least
	detectedMutations []Mutation        // safeguards without which some seed breaks a rule
	seeds             uint64            // 0: three
	overload          bool
	length            time.Duration // 0: 130 s
}

// concurrentFaultScenarios are those of the operators' page, in its order.
var concurrentFaultScenarios = []concurrentFaults{
	{
		name:          "workers reach no controller, commands reach them",
		guardsAgainst: "machines that answer commands being thought to keep their leases by that, and work started elsewhere before they are over",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(6)
			sim.scheduleAt(60, func() {
				for i, w := range sim.sortedWorkers() {
					if i%3 > 0 {
						sim.blockOutbound(w, time.Duration(10+sim.rng.IntN(22))*time.Second)
					}
				}
			})
			sim.scheduleAt(64, func() { sim.cancelRunning(3, 0) })
			sim.scheduleAt(70, func() { sim.crashLeader(4 * time.Second) })
		},
		expectedEvents: map[eventName]int{commandWhileOutboundBlockedEvent: 2, cancelledWhileRunningEvent: 1,
			leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:          "teams at their limit, cancelled machines away, leader changes",
		guardsAgainst: "cancelled tasks that may still run not being counted by the next leader",
		inject: func(sim *Simulation) {
			sim.saturateTeams()
			sim.scheduleAt(60, func() {
				for i, j := range sim.runningJobs() {
					if i%2 == 1 {
						continue
					}
					for _, w := range sim.workersOf(j) {
						if sim.cfg.Seed%2 == 0 {
							sim.disconnect(string(w.id), anyParty, false, 14*time.Second)
						} else {
							w.hangFor(14 * time.Second)
						}
					}
					sim.countEvent(cancelledWhileRunningEvent)
					sim.cancelWhenAccepted(j, nil)
				}
			})
			sim.scheduleAt(61, func() { sim.crashLeader(3 * time.Second) })
		},
		expectedEvents:    map[eventName]int{teamAtLimitEvent: 2, cancelledWhileRunningEvent: 2, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:          "hand-overs and back within a second",
		guardsAgainst: "a term's unfinished acts, or a node's former key, being taken for the present one's",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(6)
			for s := 50.0; s < 80; s += 6 {
				sim.submitBurst(s-0.4, s)
				sim.scheduleAt(s, func() { sim.crashLeader(200 * time.Millisecond) })
				sim.scheduleAt(s+0.9, func() { sim.crashLeader(100 * time.Millisecond) })
			}
			sim.scheduleAt(84, func() {
				for i, n := range sim.nodes {
					if n.alive {
						n.crash(time.Duration(100+8000*i) * time.Millisecond)
					}
				}
				sim.countEvent(allNodesCrashedEvent)
			})
		},
		expectedEvents:    map[eventName]int{newTermEvent: 6, allNodesCrashedEvent: 1},
		detectedMutations: []Mutation{LaunchBeforeCommit},
	},
	{
		name:          "machines up at once while writes lag, and the leader ends",
		guardsAgainst: "work on a machine that no successor knows of",
		inject: func(sim *Simulation) {
			sim.scheduleAt(1, func() { sim.fastBoots = faultWindow{1, timeAt(100)} })
			sim.submitBaseLoad(3)
			sim.scheduleAt(40, func() { sim.delayedWrites = faultWindow{0.4, timeAt(70)} })
			for s := 41.0; s < 60; s += 2 {
				sim.scheduleAt(s, func() { sim.submitJob(nil, 30*time.Second) })
			}
			sim.scheduleAt(45, func() { sim.crashLeader(2 * time.Second) })
			sim.submitBurst(44.5, 45)
			sim.submitBurst(56.5, 57)
			sim.scheduleAt(57, func() { sim.crashLeader(200 * time.Millisecond) })
			sim.scheduleAt(61, func() {
				for _, m := range sim.cloud.machines {
					if w := sim.workers[m.id]; w != nil && m.createdAt > timeAt(40) &&
						m.bootedAt.Sub(m.createdAt) < 2*time.Second &&
						len(w.tasks) > 0 {
						sim.countEvent(newMachineHasTasksEvent)
					}
				}
			})
		},
		expectedEvents:    map[eventName]int{newMachineHasTasksEvent: 1, newTermEvent: 2, lateWriteEvent: 1},
		detectedMutations: []Mutation{LaunchBeforeCommit},
	},
	{
		name:          "old reports after newer ones",
		guardsAgainst: "a copy of an earlier session or attempt proving that a task is gone",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(5)
			sim.scheduleAt(30, func() { sim.delayedHeartbeats = faultWindow{0.6, timeAt(100)} })
			for s := 40.0; s < 100; s += 12 {
				sim.scheduleAt(s, func() {
					if w := sim.anyWorker(); w != nil {
						w.restart()
					}
				})
				sim.scheduleAt(s+3, func() { sim.submitJob(nil, 20*time.Second) })
			}
			sim.scheduleAt(70, func() { sim.crashLeader(time.Second) })
		},
		expectedEvents:    map[eventName]int{staleHeartbeatEvent: 20, heartbeatOfEarlierIncarnationEvent: 3},
		detectedMutations: []Mutation{AcceptStaleHeartbeats},
	},
	{
		name:          "one-task jobs four a second, a quarter cancelled",
		guardsAgainst: "the backlog of ends and cancellations, and elections with hundreds of ended jobs",
		inject: func(sim *Simulation) {
			sim.scheduleAt(1, func() { sim.probeAfterAnswer = faultWindow{1, timeAt(90)} })
			for s := 5.0; s < 105; s += 0.25 {
				sim.scheduleAt(s, func() {
					j := sim.submitJob(func(s *api.Spec) {
						s.Tasks, s.VCPUs = 1, 0.5
					}, time.Duration(2+sim.rng.IntN(6))*time.Second)
					if sim.rng.IntN(4) == 0 {
						sim.schedule(time.Duration(sim.rng.IntN(9000))*time.Millisecond, func() {
							if j.accepted && !isTerminal(j.lastStatus) {
								sim.countEvent(shortJobCancelledEvent)
								sim.cancelWhenAccepted(j, nil)
							}
						})
					}
				})
			}
			sim.scheduleAt(60, func() { sim.crashLeader(4 * time.Second) })
		},
		expectedEvents:    map[eventName]int{shortJobCancelledEvent: 40, leaderReplacedEvent: 1, nodesProbedEvent: 1000},
		detectedMutations: []Mutation{CacheStatusAnswers},
	},
	{
		name:          "cancelled as the leader alone is refused, then an outage",
		guardsAgainst: "a lease renewed by whoever doesn't know of a cancellation, for longer than that may take",
		inject:        cancelDuringFailoverAndOutage, seeds: 12,
		expectedEvents: map[eventName]int{leaderReplacedEvent: 1, cancellationConfirmedEvent: 1,
			outageAfterConfirmationEvent: 1},
		detectedMutations: []Mutation{RenewWithoutLeadership},
	},
	{
		name:          "commands and answers held up, and the machine goes on",
		guardsAgainst: "a command of before, carried out late, meeting what has replaced it; tokens are switched off in TestMutationsAreCaught, where more seeds show it",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(6)
			sim.scheduleAt(30, func() { sim.delayedCommands = faultWindow{0.7, timeAt(100)} })
			for s := 39.5; s < 100; s += 7 {
				sim.submitBurst(s-0.5, s)
				sim.scheduleAt(s, func() {
					if w := sim.anyWorker(); w != nil {
						w.hangFor(time.Duration(2+sim.rng.IntN(6)) * time.Second)
					}
					sim.cancelRunning(1, 0)
					sim.submitJob(nil, 20*time.Second)
				})
			}
			for s := 46.5; s < 100; s += 14 {
				sim.scheduleAt(s, func() { sim.crashLeader(4 * time.Second) })
			}
		},
		expectedEvents:    map[eventName]int{commandDelayedEvent: 50, cancelledWhileRunningEvent: 3, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name: "leaders change ten times in two minutes, in an outage too", guardsAgainst: "tasks and answers lost between terms",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(2)
			for s := 20.0; s < 130; s += 9 {
				back := 150 * time.Millisecond
				if sim.rng.IntN(2) == 0 {
					back = 3200 * time.Millisecond
				}
				sim.scheduleAt(s-0.2, func() {
					for i, w := range sim.sortedWorkers() {
						if i%2 == 0 && len(w.tasks) > 0 {
							sim.disconnect(string(w.id), anyParty, false, 6*time.Second)
						}
					}
				})
				sim.scheduleAt(s, func() { sim.crashLeader(back) })
				sim.submitBurst(s-0.4, s)
			}
			sim.scheduleAt(73, func() { sim.store.downUntil = sim.now.Add(12 * time.Second) })
			sim.scheduleAt(140, func() {
				if sim.newestTerm() >= 10 {
					sim.countEvent(tenTermsEvent)
				}
			})
		},
		length:            150 * time.Second,
		expectedEvents:    map[eventName]int{tenTermsEvent: 1, newTermEvent: 8, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:          "only the answers of transactions are lost, others read",
		guardsAgainst: "a leader telling what it remembers while another node reads what is",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(4)
			sim.scheduleAt(30, func() {
				sim.droppedReplies, sim.probeAfterAnswer = faultWindow{0.6, timeAt(100)}, faultWindow{1, timeAt(110)}
				if l := sim.leader(); l != nil { // the others read for themselves
					sim.forEachPeer(l, func(n *node) { sim.disconnect(l.name, n.name, false, 60*time.Second) })
				}
			})
			for s := 31.0; s < 90; s += 1.5 {
				sim.scheduleAt(s, func() {
					j := sim.submitJob(func(s *api.Spec) {
						s.Tasks, s.VCPUs = 1, 1
					}, time.Duration(1+sim.rng.IntN(8))*time.Second)
					if sim.rng.IntN(2) == 0 {
						sim.schedule(time.Duration(500+sim.rng.IntN(6000))*time.Millisecond, func() {
							if j.accepted {
								sim.cancelWhenAccepted(j, nil)
							}
						})
					}
				})
			}
			for s := 31.0; s < 95; s += 0.1 { // in between as well: who reads first tells first
				sim.scheduleAt(s, func() {
					for _, id := range sim.jobOrder[max(0, len(sim.jobOrder)-6):] {
						if j := sim.jobs[id]; j.accepted {
							sim.pollNode(j, sim.nodes[sim.rng.IntN(3)])
						}
					}
				})
			}
		},
		expectedEvents:    map[eventName]int{replyDroppedEvent: 10, nodesProbedEvent: 100},
		detectedMutations: []Mutation{CacheStatusAnswers},
	},
	{
		name:          "more work than room, urgent and not, over slow links",
		guardsAgainst: "large jobs and teams without a guarantee never having their turn",
		overload:      true, length: 400 * time.Second, seeds: 1,
		inject: func(sim *Simulation) {
			sim.scheduleAt(20, func() { sim.slowLinks = faultWindow{0.7, timeAt(400)} })
			for s := 30.0; s < 400; s += 10 {
				sim.scheduleAt(s, func() {
					j := sim.submitJob(func(s *api.Spec) {
						s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs, s.Tasks, s.Team = api.Service, api.Critical, false, 0,
							1, 1, "blue"
					}, 0)
					sim.schedule(30*time.Second, func() { sim.cancelWhenAccepted(j, nil) })
				})
			}
		},
		expectedEvents:    map[eventName]int{linkSlowEvent: 100},
		detectedMutations: []Mutation{NoMaxWait},
	},
	{
		name: "users ask at all nodes right after what they are told", guardsAgainst: "a node being behind another",
		inject: func(sim *Simulation) {
			sim.scheduleAt(5, func() { sim.probeAfterAnswer = faultWindow{1, timeAt(125)} })
			sim.submitBaseLoad(3)
			for s := 20.0; s < 110; s += 1.2 {
				sim.scheduleAt(s, func() {
					j := sim.submitJob(func(s *api.Spec) {
						s.Tasks, s.VCPUs = 1+sim.rng.IntN(2), 1
					}, time.Duration(1+sim.rng.IntN(5))*time.Second)
					switch sim.rng.IntN(4) {
					case 0:
						sim.schedule(time.Duration(sim.rng.IntN(60))*time.Millisecond, func() { sim.cancelWhenAccepted(j, nil) })
					case 1:
						sim.schedule(time.Duration(1000+sim.rng.IntN(5000))*time.Millisecond, func() {
							sim.cancelWhenAccepted(j, nil)
						})
					}
				})
			}
			sim.scheduleAt(60, func() { sim.crashLeader(3 * time.Second) })
			sim.scheduleAt(80, func() { sim.sendEdgeCaseRequests(timeAt(110)) })
		},
		expectedEvents: map[eventName]int{nodesProbedEvent: 500, leaderReplacedEvent: 1, edgeCaseRequestEvent: 20,
			submissionChangedEvent: 1,
			doneJobCancelledEvent:  1},
		detectedMutations: []Mutation{CacheStatusAnswers},
	},
	{
		name:          "a leader keeps only workers and users, jobs cancelled through the next",
		guardsAgainst: "the old leader keeping the leases of what the new one has cancelled",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(8)
			sim.scheduleAt(60, func() {
				old := sim.leader()
				if old == nil {
					return
				}
				hold := sim.cfg.Seed%2 == 0
				for _, j := range sim.runningJobs() {
					sim.redirectHeartbeats(j, old)
				}
				sim.isolate(old, hold, 58*time.Second)
				sim.onNextLeader(old, func(n *node) {
					for _, j := range sim.runningJobs() { // the new one's commands are lost
						for _, w := range sim.workersOf(j) {
							sim.disconnect(n.name, string(w.id), false, 56*time.Second)
						}
					}
					sim.onceServing(n, func() { sim.cancelAndConfirm(n, 4) })
				})
			})
			sim.scheduleAt(70, func() {
				for _, w := range sim.sortedWorkers() {
					if len(w.tasks) > 0 && sim.now.Sub(w.leaseRenewedAt) < 4*time.Second {
						sim.countEvent(leaseKeptByOldLeaderEvent)
					}
				}
			})
		},
		expectedEvents:    map[eventName]int{leaderReplacedEvent: 1, cancellationConfirmedEvent: 1, leaseKeptByOldLeaderEvent: 1},
		detectedMutations: []Mutation{RenewWithoutLeadership},
	},
	{
		name:          "the leader ends while machines can't be reached or don't hear",
		guardsAgainst: "a successor starting elsewhere what goes on there",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(7)
			sim.scheduleAt(60, func() {
				for i, w := range sim.sortedWorkers() {
					if len(w.tasks) == 0 {
						continue
					}
					switch i % 3 {
					case 0:
						sim.countEvent(machineDisconnectedEvent)
						sim.disconnect(string(w.id), anyParty, sim.cfg.Seed%2 == 0, time.Duration(8+sim.rng.IntN(20))*time.Second)
					case 1:
						sim.countEvent(machineInboundBlockedEvent)
						sim.inboundBlockedUntil[string(w.id)] = sim.now.Add(time.Duration(8+sim.rng.IntN(20)) * time.Second)
					}
				}
			})
			sim.scheduleAt(61, func() { sim.crashLeader(5 * time.Second) })
		},
		expectedEvents:    map[eventName]int{machineDisconnectedEvent: 1, machineInboundBlockedEvent: 1, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:          "transactions are carried out late, after newer ones",
		guardsAgainst: "something old being written over something new",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(4)
			sim.scheduleAt(20, func() { sim.delayedWrites = faultWindow{0.4, timeAt(100)} })
			for s := 21.0; s < 100; s += 3 {
				sim.scheduleAt(s, func() {
					j := sim.submitJob(nil, time.Duration(5+sim.rng.IntN(15))*time.Second)
					if sim.rng.IntN(3) == 0 {
						sim.schedule(time.Duration(1000+sim.rng.IntN(9000))*time.Millisecond, func() {
							sim.cancelWhenAccepted(j, nil)
						})
					}
				})
			}
			sim.scheduleAt(70, func() { sim.crashLeader(4 * time.Second) })
		},
		expectedEvents:    map[eventName]int{lateWriteEvent: 10, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{IgnoreRevisions},
	},
	{
		name:          "a zone with workers and a controller is cut off for longer than a lease",
		guardsAgainst: "leases kept inside for jobs cancelled outside",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(8)
			sim.scheduleAt(60, func() {
				zone := sim.nodes[1].zone
				sim.partitionZone(zone, sim.cfg.Seed%2 == 0, 60*time.Second)
				sim.countEvent(zonePartitionedEvent)
				sim.schedule(4*time.Second, func() {
					for _, j := range sim.runningJobs() {
						for _, w := range sim.workersOf(j) {
							if w.machine.zone == zone {
								sim.countEvent(cancelledInPartitionEvent)
								sim.cancelWhenAccepted(j, nil)
								break
							}
						}
					}
				})
			})
		},
		expectedEvents:    map[eventName]int{zonePartitionedEvent: 1, cancelledInPartitionEvent: 1},
		detectedMutations: []Mutation{KeepLeasesForever}, seeds: 4,
	},
	{
		name:          "a job's tasks end far apart, across a change of leader",
		guardsAgainst: "an end of the term before being forgotten, or a task that goes on started again",
		inject: func(sim *Simulation) {
			sim.scheduleAt(5, func() {
				for range 6 {
					j := sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 2+sim.rng.IntN(2), 2 }, 25*time.Second)
					j.durationStep = 25 * time.Second
				}
			})
			sim.scheduleAt(51, func() {
				for i, w := range sim.sortedWorkers() {
					if i%2 == 0 {
						sim.disconnect(string(w.id), anyParty, false, 8*time.Second)
					}
				}
			})
			sim.scheduleAt(52, func() { sim.crashLeader(4 * time.Second) })
			sim.scheduleAt(56, func() {
				for _, j := range sim.runningJobs() {
					for i, d := range j.done {
						if d && i < j.spec.Tasks {
							sim.countEvent(partlyCompletedEvent)
							break
						}
					}
				}
			})
		},
		expectedEvents:    map[eventName]int{partlyCompletedEvent: 1, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:          "old reports reach every node as a new leader begins",
		guardsAgainst: "the first report of a term being taken for the newest",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(6)
			sim.scheduleAt(30, func() { sim.holdHeartbeatsForNextLeader(0.5, 60*time.Second) })
			for s := 45.0; s < 90; s += 15 {
				sim.scheduleAt(s, func() { sim.crashLeader(4 * time.Second) })
				sim.scheduleAt(s-5, func() { sim.submitJob(nil, 20*time.Second) })
			}
		},
		expectedEvents:    map[eventName]int{heldHeartbeatDeliveredEvent: 20, leaderReplacedEvent: 2},
		detectedMutations: []Mutation{AcceptStaleHeartbeats},
	},
	{
		name:          "called off, asked and submitted again as the last task ends",
		guardsAgainst: "a job being cancelled for one node and done for another",
		inject: func(sim *Simulation) {
			sim.scheduleAt(5, func() {
				sim.cancelAtCompletion, sim.probeAfterAnswer = faultWindow{0.7, timeAt(120)}, faultWindow{1, timeAt(125)}
			})
			sim.submitBaseLoad(2)
			for s := 10.0; s < 110; s += 1 {
				sim.scheduleAt(s, func() {
					sim.submitJob(func(s *api.Spec) {
						s.Tasks, s.VCPUs = 1+sim.rng.IntN(2), 1
					}, time.Duration(1+sim.rng.IntN(4))*time.Second)
				})
			}
		},
		expectedEvents:    map[eventName]int{cancelledAtCompletionEvent: 30, nodesProbedEvent: 300},
		detectedMutations: []Mutation{CacheStatusAnswers},
	},
	{
		name:          "the state service is slow, refuses the leader, then everybody",
		guardsAgainst: "cancellations confirmed and questions answered on the way into an outage",
		inject: func(sim *Simulation) {
			sim.scheduleAt(30, func() { sim.slowStore = faultWindow{0.8, timeAt(60)} })
			for s := 31.0; s < 60; s += 4 {
				sim.scheduleAt(s, func() { sim.cancelRunning(1, 0) })
			}
			cancelDuringFailoverAndOutage(sim)
			sim.scheduleAt(50, func() { sim.submitJob(nil, 60*time.Second); sim.submitJob(nil, 60*time.Second) })
		},
		expectedEvents: map[eventName]int{storeSlowEvent: 20, leaderReplacedEvent: 1, cancellationConfirmedEvent: 1,
			outageAfterConfirmationEvent: 1},
		detectedMutations: []Mutation{RenewWithoutLeadership}, seeds: 6,
	},
	{
		name: "jobs bound to one zone lose machines", guardsAgainst: "a lost task's place being chosen without the others",
		inject: func(sim *Simulation) {
			sim.scheduleAt(3, func() {
				for range 4 {
					sim.submitJob(func(s *api.Spec) { s.OneZone, s.VCPUs, s.Tasks = true, 3, 4 }, 60*time.Second)
					sim.submitJob(func(s *api.Spec) { s.Zone, s.VCPUs = &sim.settings.Zones[1], 3 }, 60*time.Second)
				}
			})
			for s := 40.0; s < 70; s += 5 {
				sim.scheduleAt(s, func() {
					for _, j := range sim.runningJobs() {
						if list := sim.workersOf(j); (j.spec.OneZone || j.spec.Zone != nil) && len(list) > 0 {
							sim.countEvent(machineLostEvent)
							sim.cloud.terminate(list[sim.rng.IntN(len(list))].machine)
							return
						}
					}
				})
			}
			sim.scheduleAt(52, func() { sim.crashLeader(4 * time.Second) })
		},
		expectedEvents:    map[eventName]int{machineLostEvent: 3, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{DropZoneConstraint},
	},
	{
		name:          "cancelled while one controller's work changes hands",
		guardsAgainst: "a cancellation that neither leader carries out",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(8)
			sim.scheduleAt(60, func() { sim.crashLeader(4 * time.Second) })
			for s := 58.5; s < 64; s += 0.7 {
				sim.scheduleAt(s, func() { sim.cancelRunning(1, 0) })
			}
		},
		expectedEvents:    map[eventName]int{cancelledWhileRunningEvent: 4, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{DropStopCommands},
	},
	{
		name:          "reports held back until a new leader has acted",
		guardsAgainst: "what a new leader has done being undone by an older report",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(6)
			sim.scheduleAt(56, func() {
				for i, w := range sim.sortedWorkers() {
					if i%2 == 0 {
						sim.disconnect(string(w.id), anyParty, true, 9*time.Second)
						sim.countEvent(heartbeatsHeldEvent)
					}
				}
				sim.holdHeartbeatsForNextLeader(0.8, 10*time.Second)
			})
			sim.scheduleAt(59, func() { sim.crashLeader(5 * time.Second) })
			sim.scheduleAt(62, func() { sim.cancelRunning(2, 0); sim.submitJob(nil, 20*time.Second) })
		},
		expectedEvents:    map[eventName]int{heartbeatsHeldEvent: 2, heldHeartbeatDeliveredEvent: 1, leaderReplacedEvent: 1},
		detectedMutations: []Mutation{AcceptStaleHeartbeats},
	},
	{
		name:          "all controllers are away for longer than a lease",
		guardsAgainst: "what may still be on machines being started elsewhere",
		inject: func(sim *Simulation) {
			sim.submitBaseLoad(7)
			sim.scheduleAt(60, func() {
				back := time.Duration(14+4*sim.cfg.Seed%24) * time.Second
				for i, w := range sim.sortedWorkers() {
					if i%2 == 0 { // within its lease it goes on
						w.hangFor(back + time.Duration(sim.rng.IntN(4))*time.Second)
					}
				}
				for _, n := range sim.nodes {
					n.crash(back)
				}
				sim.countEvent(allNodesDownEvent)
			})
		},
		expectedEvents:    map[eventName]int{allNodesDownEvent: 1},
		detectedMutations: []Mutation{ForgetPlacements},
	},
	{
		name:          "a team at its limit, machines not asked, leader changes, a cancellation",
		guardsAgainst: "room of the limit given away before its machine is heard",
		inject: func(sim *Simulation) {
			sim.saturateTeams()
			sim.scheduleAt(59, func() {
				for i, w := range sim.sortedWorkers() {
					if i%2 == 0 && len(w.tasks) > 0 {
						sim.countEvent(machineInboundBlockedEvent)
						sim.inboundBlockedUntil[string(w.id)] = sim.now.Add(time.Duration(6+sim.rng.IntN(12)) * time.Second)
					}
				}
			})
			sim.scheduleAt(60, func() { sim.crashLeader(3 * time.Second) })
			sim.scheduleAt(60.5, func() { sim.cancelRunning(2, 0) })
			sim.scheduleAt(63, func() { sim.cancelRunning(2, 5*time.Second) })
		},
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

// unfinished says whether anything was left undone. Where more is asked for than there is
// room, that is only whether the largest jobs began in time.
func (m *concurrentFaults) unfinished(sim *Simulation) bool {
	if !m.overload {
		return len(sim.Unfinished) > 0
	}
	ids, n := largeJobsStartedLate(sim)
	return len(ids) > 0 || n < 10
}

// TestConcurrentFaults plays the meetings of troubles, each from a few seeds: no rule breaks and
// every job comes to its end. A run in which the meeting did not take place fails. Each
// is played without the safeguards that it rests on as well, which some seed must notice.
func TestConcurrentFaults(t *testing.T) {
	for _, m := range concurrentFaultScenarios {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			seeds := cmp.Or(m.seeds, 3)
			for seed := range seeds {
				sim := m.run(seed, None)
				if len(sim.Violations) > 0 || m.unfinished(sim) {
					t.Errorf("guards against %s; seed %d: %v %v\n%s", m.guardsAgainst, seed, sim.Violations, sim.Unfinished,
						sim.LogTail(40))
				}
				for what, n := range m.expectedEvents {
					if sim.eventCounts[what] < n {
						t.Errorf("seed %d: %q took place %d times, not %d: %v", seed, what, sim.eventCounts[what], n,
							sim.eventCounts)
					}
				}
			}
			for _, x := range m.detectedMutations {
				detected := false
				for seed := uint64(0); seed < 20 && !detected; seed++ {
					sim := m.run(seed, x)
					detected = len(sim.Violations) > 0 || x == NoMaxWait && m.unfinished(sim)
				}
				if !detected {
					t.Errorf("no seed notices that safeguard %d is off", x)
				}
			}
		})
	}
}
