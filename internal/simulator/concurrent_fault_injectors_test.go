package simulator

import (
	"time"

	"opaldale/internal/api"
)

// blockWorkersOutbound keeps two thirds of the workers from sending, while commands still reach them, and crashes the
// leader meanwhile.
func blockWorkersOutbound(sim *Simulation) {
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
}

// disconnectCancelledJobs cancels every other running job while its machines are disconnected or hang, with all teams at
// their limits, and then crashes the leader.
func disconnectCancelledJobs(sim *Simulation) {
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
}

// restartLeaderQuickly crashes leaders that restart within a second, while jobs are placed, and then all nodes.
func restartLeaderQuickly(sim *Simulation) {
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
}

// bootFastDuringDelayedWrites has new machines boot before the writes that record them are committed, and crashes the
// leader.
func bootFastDuringDelayedWrites(sim *Simulation) {
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
}

// deliverStaleHeartbeats delivers duplicates of heartbeats late, while workers restart.
func deliverStaleHeartbeats(sim *Simulation) {
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
}

// submitShortJobs submits four jobs of a few seconds each second and cancels a quarter of them.
func submitShortJobs(sim *Simulation) {
	sim.scheduleAt(1, func() { sim.probeAfterReply = faultWindow{1, timeAt(90)} })
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
}

// delayCommands delays commands and their replies, while machines hang, jobs are cancelled and leaders crash.
func delayCommands(sim *Simulation) {
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
}

// changeLeaderTenTimes crashes a leader every 9 s while half of the busy machines are disconnected. The store is down during
// one of the changes.
func changeLeaderTenTimes(sim *Simulation) {
	sim.submitBaseLoad(2)
	for s := 20.0; s < 130; s += 9 {
		restartAfter := 150 * time.Millisecond
		if sim.rng.IntN(2) == 0 {
			restartAfter = 3200 * time.Millisecond
		}
		sim.scheduleAt(s-0.2, func() {
			for i, w := range sim.sortedWorkers() {
				if i%2 == 0 && len(w.tasks) > 0 {
					sim.disconnect(string(w.id), anyParty, false, 6*time.Second)
				}
			}
		})
		sim.scheduleAt(s, func() { sim.crashLeader(restartAfter) })
		sim.submitBurst(s-0.4, s)
	}
	sim.scheduleAt(73, func() { sim.store.downUntil = sim.now.Add(12 * time.Second) })
	sim.scheduleAt(140, func() {
		if sim.newestTerm() >= 10 {
			sim.countEvent(tenTermsEvent)
		}
	})
}

// dropTransactionReplies drops replies to the transactions of a leader that is also cut off from the other nodes, so that it
// does not learn whether they are committed while the others read the store.
func dropTransactionReplies(sim *Simulation) {
	sim.submitBaseLoad(4)
	sim.scheduleAt(30, func() {
		sim.droppedReplies, sim.probeAfterReply = faultWindow{0.6, timeAt(100)}, faultWindow{1, timeAt(110)}
		if l := sim.leader(); l != nil { // the other nodes read from the store
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
	for s := 31.0; s < 95; s += 0.1 { // often, as a follower may read a commit before the leader learns its outcome
		sim.scheduleAt(s, func() {
			for _, id := range sim.jobOrder[max(0, len(sim.jobOrder)-6):] {
				if j := sim.jobs[id]; j.accepted {
					sim.pollNode(j, sim.nodes[sim.rng.IntN(3)])
				}
			}
		})
	}
}

// overloadOverSlowLinks slows the links between nodes and adds critical services to a run with too much work.
func overloadOverSlowLinks(sim *Simulation) {
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
}

// probeAfterReplies has users query all nodes after each reply, while jobs are submitted and cancelled.
func probeAfterReplies(sim *Simulation) {
	sim.scheduleAt(5, func() { sim.probeAfterReply = faultWindow{1, timeAt(125)} })
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
}

// isolateLeaderThenCancel separates the leader from the store and its peers, but not from workers and users, and cancels
// jobs at the next leader, which cannot reach their workers.
func isolateLeaderThenCancel(sim *Simulation) {
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
			for _, j := range sim.runningJobs() { // commands of the new leader are lost
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
}

// crashLeaderWithUnreachableMachines crashes the leader after two thirds of the machines became unreachable.
func crashLeaderWithUnreachableMachines(sim *Simulation) {
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
}

// delayWrites delays transactions, so that they reach the store after newer ones, and crashes the leader.
func delayWrites(sim *Simulation) {
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
}

// partitionZoneThenCancel partitions a zone for longer than a lease and cancels the jobs that run there.
func partitionZoneThenCancel(sim *Simulation) {
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
}

// completeAcrossLeaderChange changes the leader when only some tasks of each job have completed.
func completeAcrossLeaderChange(sim *Simulation) {
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
}

// holdHeartbeatsAcrossTerms delivers duplicates of heartbeats only once the next leader has begun its term.
func holdHeartbeatsAcrossTerms(sim *Simulation) {
	sim.submitBaseLoad(6)
	sim.scheduleAt(30, func() { sim.holdHeartbeatsForNextLeader(0.5, 60*time.Second) })
	for s := 45.0; s < 90; s += 15 {
		sim.scheduleAt(s, func() { sim.crashLeader(4 * time.Second) })
		sim.scheduleAt(s-5, func() { sim.submitJob(nil, 20*time.Second) })
	}
}

// cancelAsTasksComplete has users cancel jobs as their last tasks complete, and then query all nodes.
func cancelAsTasksComplete(sim *Simulation) {
	sim.scheduleAt(5, func() {
		sim.cancelAtCompletion, sim.probeAfterReply = faultWindow{0.7, timeAt(120)}, faultWindow{1, timeAt(125)}
	})
	sim.submitBaseLoad(2)
	for s := 10.0; s < 110; s += 1 {
		sim.scheduleAt(s, func() {
			sim.submitJob(func(s *api.Spec) {
				s.Tasks, s.VCPUs = 1+sim.rng.IntN(2), 1
			}, time.Duration(1+sim.rng.IntN(4))*time.Second)
		})
	}
}

// slowStoreThenOutage slows the store before cancelDuringFailoverAndOutage.
func slowStoreThenOutage(sim *Simulation) {
	sim.scheduleAt(30, func() { sim.slowStore = faultWindow{0.8, timeAt(60)} })
	for s := 31.0; s < 60; s += 4 {
		sim.scheduleAt(s, func() { sim.cancelRunning(1, 0) })
	}
	cancelDuringFailoverAndOutage(sim)
	sim.scheduleAt(50, func() { sim.submitJob(nil, 60*time.Second); sim.submitJob(nil, 60*time.Second) })
}

// loseMachinesOfZoneJobs terminates machines of jobs that are bound to one zone, and crashes the leader.
func loseMachinesOfZoneJobs(sim *Simulation) {
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
}

// cancelDuringFailover cancels jobs from just before a leader crash until after it.
func cancelDuringFailover(sim *Simulation) {
	sim.submitBaseLoad(8)
	sim.scheduleAt(60, func() { sim.crashLeader(4 * time.Second) })
	for s := 58.5; s < 64; s += 0.7 {
		sim.scheduleAt(s, func() { sim.cancelRunning(1, 0) })
	}
}

// holdHeartbeatsUntilFailover holds messages of half of the workers, and duplicates of heartbeats, beyond a leader crash.
func holdHeartbeatsUntilFailover(sim *Simulation) {
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
}

// crashAllControllers stops all nodes for about a lease or longer. Half of the machines hang for that time.
func crashAllControllers(sim *Simulation) {
	sim.submitBaseLoad(7)
	sim.scheduleAt(60, func() {
		restartAfter := time.Duration(14+4*sim.cfg.Seed%24) * time.Second
		for i, w := range sim.sortedWorkers() {
			if i%2 == 0 { // it resumes with its tasks if its lease has not expired
				w.hangFor(restartAfter + time.Duration(sim.rng.IntN(4))*time.Second)
			}
		}
		for _, n := range sim.nodes {
			n.crash(restartAfter)
		}
		sim.countEvent(allNodesDownEvent)
	})
}

// cancelAtTeamLimit cancels jobs of teams at their limits after a leader crash, while some of the machines cannot receive.
func cancelAtTeamLimit(sim *Simulation) {
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
}
