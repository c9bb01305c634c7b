package simulator

import (
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/migration"
	"opaldale/internal/settings"
)

// faultyConfig returns a configuration with arrivals of all kinds of jobs and random faults.
func faultyConfig(seed, _ uint64) Config {
	return Config{Seed: seed, Faults: true, ActiveDuration: replayLength}
}

// concurrentFaultsConfig returns a configuration with more kinds of random faults, two or three of which overlap.
func concurrentFaultsConfig(seed, _ uint64) Config {
	return Config{Seed: seed, Faults: true, ConcurrentFaults: true, ActiveDuration: replayLength}
}

// gangsFillFleet reports whether a variant fills the fleet with gangs, which leaves no free capacity for other jobs.
func gangsFillFleet(variant uint64) bool { return variant%3 == 0 }

// gangsConfig returns a configuration with many arriving gangs, with or without faults, or one with a small fleet that
// setUpGangs fills.
func gangsConfig(seed, variant uint64) Config {
	if gangsFillFleet(variant) {
		return rebalancingConfig(seed)
	}
	return Config{Seed: seed, Faults: odd(variant), MoreGangs: true, ActiveDuration: replayLength}
}

// setUpGangs fills the fleet with gangs, submits services that preempt whole gangs, and reclaims a spot machine that runs
// tasks of a gang.
func setUpGangs(sim *Simulation, variant uint64) {
	if !gangsFillFleet(variant) {
		return
	}
	sim.scheduleAt(2, func() {
		for range 10 {
			sim.submitJob(func(s *api.Spec) {
				s.Shape, s.Tasks, s.VCPUs, s.Spot = api.Gang, 3, 2, true
				s.CheckpointEveryS, s.CheckpointS = 8, 1
			}, 100*time.Second)
		}
	})
	sim.scheduleAt(50, func() {
		for range 4 {
			sim.submitService(6)
		}
	})
	sim.scheduleAt(90, func() {
		for _, w := range sim.sortedWorkers() {
			if w.machine.spot && w.reclaimAt == 0 && len(w.tasks) > 0 {
				sim.countEvent(reclaimNoticeEvent)
				w.announceReclaim(reclaimNotice)
				sim.schedule(reclaimNotice, func() { sim.cloud.terminate(w.machine) })
				return
			}
		}
	})
}

// reclaimNotice is the time between the reclaim notice to a worker and the termination of its spot machine.
const reclaimNotice = 14 * time.Second

// submitService submits a critical service with one replica.
func (sim *Simulation) submitService(cpus float64) *userJob {
	return sim.submitJob(func(s *api.Spec) {
		s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs, s.Tasks, s.Image = api.Service, api.Critical, true, 0, cpus, 1, "img-0"
	}, 0)
}

// linksConfig returns a configuration in which nodes monitor their links and some links fail in one direction.
func linksConfig(seed, variant uint64) Config {
	return Config{Seed: seed, Faults: true, ConcurrentFaults: odd(variant), LinkMonitoring: true, ActiveDuration: replayLength}
}

// scriptedConfig returns a configuration without random arrivals and faults: the scenario schedules them all.
func scriptedConfig(seed, _ uint64) Config {
	return Config{Seed: seed, NoArrivals: true, ActiveDuration: replayLength}
}

// handoverConfig returns a configuration in which nodes monitor their links and the scenario schedules all arrivals and
// faults.
func handoverConfig(seed, _ uint64) Config {
	return Config{Seed: seed, LinkMonitoring: true, NoArrivals: true, ActiveDuration: replayLength}
}

// firstHandoverLink is the index in StudiedLinks of the first link whose loss makes a leader hand over leadership.
const firstHandoverLink = 4

// setUpHandover blocks a link of the leader for a minute, makes it flap, or blocks the links of all nodes to the machines.
func setUpHandover(sim *Simulation, variant uint64) {
	sim.submitBaseLoad(6)
	sim.submitStream(20, replayLength.Seconds(), 1.3, 20*time.Second)
	sim.onLeader(linkBreakAt.Seconds(), func(l *node) {
		ends := StudiedLinks[(variant+firstHandoverLink)%uint64(len(StudiedLinks))]
		from, to := sim.resolveLinkEnd(ends.From, l), sim.resolveLinkEnd(ends.To, l)
		switch variant % 4 {
		case 2:
			for _, n := range sim.nodes {
				sim.disconnect(n.name, machines, false, time.Minute)
			}
			sim.cancelRunning(2, 0)
		case 3:
			sim.flapLink(from, to, 2400*time.Millisecond, 4*time.Second, time.Minute)
		default:
			sim.disconnectOneWay(from, to, false, time.Minute)
		}
	})
}

// movesConfig returns a configuration in which nodes move running tasks, with the tuning of deploy/moves.sexp: links are
// monitored and the move budgets are the defaults.
func movesConfig(seed, variant uint64) Config {
	cfg := rebalancingConfig(seed)
	cfg.LinkMonitoring, cfg.ZoneCapacity = true, 4
	cfg.Faults, cfg.NoArrivals = odd(variant), !odd(variant)
	cfg.ConcurrentFaults = variant%4 == 3
	return cfg
}

// setUpMoves submits wide tasks that fit on no machine of a fragmented fleet. A fault is injected during the first move, and
// the leader crashes later.
func setUpMoves(sim *Simulation, variant uint64) {
	sim.fragmentFleet(4)
	sim.submitWideTasks(wideTasksAt, 140)
	sim.submitShortTasks(30, 140)
	states := []migration.State{migration.Stopping, migration.Proposed, migration.Placing}
	sim.scheduleAt(wideTasksAt, func() {
		sim.countMoveOutcomes()
		sim.onMoveState(states[variant%uint64(len(states))], func(l *node, m controller.MoveEntry) {
			sim.injectMoveFault(l, m, variant)
		})
	})
	sim.crashLeaderAt(wideTasksAt+35, sim.randomDuration(time.Second, 6*time.Second))
}

// injectMoveFault injects a fault during a move; the variant selects the kind.
func (sim *Simulation) injectMoveFault(l *node, m controller.MoveEntry, variant uint64) {
	from, to := sim.workerByID(m.From), sim.workerByID(m.To)
	sim.countEvent(moveFaultInjectedEvent)
	switch variant % 5 {
	case 1:
		if from != nil {
			from.hangFor(26 * time.Second)
		}
	case 2:
		job, _, _ := strings.Cut(m.Task, "/")
		sim.cancelWhenAccepted(sim.jobs[ident.JobID(job)], nil)
	case 3:
		if to != nil {
			sim.cloud.terminate(to.machine)
		}
	case 4:
		for range 6 {
			sim.submitService(2)
		}
	default:
		l.crash(4 * time.Second)
	}
}

// slowMachineConfig returns a configuration with one machine that is much slower than the others.
func slowMachineConfig(seed, variant uint64) Config {
	cfg := slowFleetConfig(seed, settings.RebalanceMove, 1)
	cfg.LinkMonitoring = odd(variant)
	return cfg
}

// setUpSlowMachine submits tasks by which the slow machine is detected. In odd variants the leader crashes.
func setUpSlowMachine(sim *Simulation, variant uint64) {
	sim.submitSlowMachineLoad()
	sim.scheduleAt(30, sim.countMoveOutcomes)
	if odd(variant) {
		sim.crashLeaderAt(100, 3*time.Second)
	}
}

// replayedLegacyNodes is the number of nodes that run the version in production in variants without a full rolling upgrade.
const replayedLegacyNodes = 2

// upgradeConfig returns a configuration in which all or some nodes start on the version in production.
func upgradeConfig(seed, variant uint64) Config {
	cfg := Config{Seed: seed, Faults: odd(variant), MoreGangs: true, LinkMonitoring: variant%4 > 1, ActiveDuration: replayLength}
	if variant%3 == 2 {
		cfg.LegacyNodes = replayedLegacyNodes
	} else {
		cfg.RollingUpgrade = true
	}
	return cfg
}

// setUpUpgrade upgrades the legacy nodes one by one.
func setUpUpgrade(sim *Simulation, _ uint64) {
	for _, n := range sim.nodes {
		if n.legacy {
			sim.countEvent(legacyNodeEvent)
		}
	}
	if sim.cfg.LegacyNodes > 0 {
		sim.scheduleAt(60, func() { sim.rollingUpgrade(sim.settings.Nodes - sim.cfg.LegacyNodes) })
	}
}

const (
	// smallestReplayedFleet is the number of machines in the smallest fleet, and replayedFleetStep the number by which the
	// next larger fleets grow.
	smallestReplayedFleet = 300
	replayedFleetStep     = 100
	// arrayTasks is the number of tasks of each array.
	arrayTasks = 50
)

// largeFleetConfig returns a configuration with several hundred machines.
func largeFleetConfig(seed, variant uint64) Config {
	return Config{
		Seed:           seed,
		NoArrivals:     true,
		FleetSize:      smallestReplayedFleet + int(variant%3)*replayedFleetStep,
		ActiveDuration: replayLength,
	}
}

// setUpLargeFleet loads a large fleet, and schedules a leader crash, a store outage and a zone partition.
func setUpLargeFleet(sim *Simulation, variant uint64) {
	sim.scheduleAt(1, func() {
		for range sim.cfg.FleetSize / arrayTasks {
			sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Spot = arrayTasks, 7, true }, 60*time.Second)
		}
		for range 3 {
			sim.submitJob(func(s *api.Spec) {
				s.Tasks, s.VCPUs, s.Shape, s.Priority, s.Spot, s.RuntimeS = 10, 7, api.Service, api.Critical, false, 0
			}, 0)
		}
	})
	sim.scheduleAt(50, func() {
		sim.countEvents(fleetMachineEvent, len(sim.workers))
	})
	sim.crashLeaderAt(55, 3*time.Second)
	sim.scheduleAt(75, func() { sim.stopStoreFor(12 * time.Second) })
	sim.scheduleAt(100, func() { sim.partitionZone(sim.settings.Zones[variant%2], false, 25*time.Second) })
}

// stopStoreFor makes the store unavailable for d.
func (sim *Simulation) stopStoreFor(d time.Duration) {
	sim.countEvent(storeOutageEvent)
	sim.store.downUntil = sim.now.Add(d)
}

// setUpStoreOutage schedules store outages for all nodes and for the leader alone. In odd variants the leader crashes during
// the first outage.
func setUpStoreOutage(sim *Simulation, variant uint64) {
	sim.submitBaseLoad(6)
	sim.submitStream(20, replayLength.Seconds(), 1.5, 20*time.Second)
	sim.scheduleAt(50, func() { sim.stopStoreFor(sim.randomDuration(5*time.Second, 35*time.Second)) })
	if odd(variant) {
		sim.crashLeaderAt(51.5, sim.randomDuration(time.Second, 30*time.Second))
	}
	sim.onLeader(100, func(l *node) { sim.store.rejectUntil[l.name] = sim.now.Add(14 * time.Second) })
	sim.scheduleAt(120, func() {
		sim.delayedWrites, sim.slowStore = faultWindow{0.3, sim.now.Add(15 * time.Second)}, faultWindow{0.8,
			sim.now.Add(25 * time.Second)}
	})
	if variant%3 == 2 {
		sim.scheduleAt(80, sim.tightenStoreLimits)
	}
}

// tightenStoreLimits sets the store limits below the announced ones, which the nodes do not expect.
func (sim *Simulation) tightenStoreLimits() {
	sim.countEvent(limitsBelowAnnouncedEvent)
	sim.store.limits.ValueKB, sim.store.limits.TxnOps, sim.store.limits.Announced = 1, 3, nil
}

// setUpFailover crashes the leader repeatedly. It restarts either before or after another node takes over.
func setUpFailover(sim *Simulation, variant uint64) {
	sim.submitBaseLoad(4)
	sim.submitStream(10, replayLength.Seconds(), 0.8, 15*time.Second)
	for s := 30.0; s < 140; s += 11 {
		back := 150 * time.Millisecond
		if sim.rng.IntN(2) == 0 {
			back = 3200 * time.Millisecond
		}
		sim.crashLeaderAt(s, back)
	}
	if odd(variant) {
		sim.scheduleAt(80, func() {
			sim.countEvent(allNodesCrashedEvent)
			for i, n := range sim.nodes {
				n.crash(time.Duration(1+8*i) * time.Second)
			}
		})
	}
}

// setUpPartitions disconnects the leader from one party after another, while users query all nodes.
func setUpPartitions(sim *Simulation, variant uint64) {
	sim.submitBaseLoad(5)
	sim.submitStream(20, replayLength.Seconds(), 1.5, 10*time.Second)
	sim.scheduleAt(30, func() {
		sim.probeAfterReply = faultWindow{0.3, sim.now.Add(replayLength)}
		if odd(variant) {
			sim.slowBoots, sim.failedBoots = faultWindow{0.4, timeAt(90)}, faultWindow{0.3, timeAt(90)}
		}
	})
	sim.scheduleAt(35, func() {
		for range 3 {
			sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 3, 4 }, 20*time.Second)
		}
	})
	for i := range 5 {
		sim.onLeader(45+20*float64(i), func(l *node) {
			sim.countEvent(partitionedEvent)
			sim.partition(l, (int(variant)+i)%6, sim.randomDuration(4*time.Second, 18*time.Second))
		})
	}
}

// partition disconnects a node from some parties for d, or pauses its process; part selects which.
func (sim *Simulation) partition(n *node, part int, d time.Duration) {
	hold := sim.rng.IntN(2) == 0
	switch part {
	case 0:
		sim.disconnect(n.name, anyParty, hold, d)
	case 1:
		sim.disconnect(n.name, storeParty, hold, d)
	case 2:
		sim.disconnect(n.name, machines, hold, d)
	case 3:
		sim.isolate(n, hold, d)
	case 4:
		sim.partitionZone(n.zone, hold, d)
	default:
		n.pauseFor(d)
	}
}

// floodedConfig returns the configuration for a flood by one team; the variants use the rebalancing modes in rotation.
func floodedConfig(seed, variant uint64) Config {
	modes := []settings.Rebalance{settings.RebalanceMove, settings.RebalancePlace, settings.RebalanceReport}
	cfg := floodConfig(seed, modes[variant%uint64(len(modes))])
	cfg.LinkMonitoring = odd(variant)
	return cfg
}

// setUpFlood makes one team flood the cluster with jobs, and crashes the leader during the flood.
func setUpFlood(sim *Simulation, _ uint64) {
	sim.submitSteadyLoad()
	sim.schedule(floodStart, func() { sim.flood(sim.now.Add(floodDuration)) })
	for s := 10 * time.Second; s < floodDuration; s += 8 * time.Second {
		sim.schedule(floodStart+s, func() {
			j := sim.submitService(1)
			sim.schedule(30*time.Second, func() { sim.cancelWhenAccepted(j, nil) })
		})
	}
	sim.scheduleAt((floodStart + floodDuration/2).Seconds(), func() {
		if sim.isOnlyOverloadedTeam(floodingTeam) {
			sim.countEvent(onlyOneTeamOverloadedEvent)
		}
	})
	sim.crashLeaderAt((floodStart+floodDuration/2).Seconds()+1, 4*time.Second)
}

// failingJobKinds lists the kinds of jobs that fail on every machine, and how many of each are submitted.
var failingJobKinds = []struct {
	jobs   int
	change func(s *api.Spec)
}{
	{3, func(s *api.Spec) { s.Tasks, s.VCPUs = 12, 1 }},
	{1, func(s *api.Spec) { s.Tasks, s.VCPUs = 1000, 0.25 }},
	{3, func(s *api.Spec) { s.Shape, s.Priority, s.RuntimeS, s.Spot = api.Service, api.Critical, 0, false }},
	{2, func(s *api.Spec) { s.Shape, s.Tasks, s.VCPUs, s.OneZone = api.Gang, 4, 1, true }},
	{40, func(s *api.Spec) { s.Tasks, s.VCPUs = 2, 0.5 }},
}

// setUpFailingJobs submits jobs that fail on every machine until they are cancelled, together with normal jobs. One machine
// is faulty, and the leader crashes.
func setUpFailingJobs(sim *Simulation, variant uint64) {
	sim.submitBaseLoad(3)
	var failing []*userJob
	sim.scheduleAt(30, func() {
		kind := failingJobKinds[variant%uint64(len(failingJobKinds))]
		for range kind.jobs {
			j := sim.submitJob(kind.change, 10*time.Second)
			j.alwaysFails = true
			failing = append(failing, j)
		}
	})
	sim.scheduleAt(45, func() {
		if w := sim.anyWorker(); w != nil {
			w.faulty = true
		}
	})
	sim.submitStream(40, 140, 3, 20*time.Second)
	sim.crashLeaderAt(80, 3*time.Second)
	sim.scheduleAt(120, func() {
		for _, j := range failing {
			sim.countEvents(attemptFailedEvent, j.failures)
			sim.cancelWhenAccepted(j, nil)
		}
	})
}

// setUpBorrowers makes a team without a guarantee and without a limit submit a huge array, many jobs of a single task, and
// a backfill array.
func setUpBorrowers(sim *Simulation, _ uint64) {
	sim.submitBaseLoad(3)
	sim.submitStream(40, 140, 5, 20*time.Second)
	borrow := func(class string, tasks int, cpus float64, runs time.Duration) {
		sim.countEvent(borrowerJobEvent)
		sim.submitJob(func(s *api.Spec) {
			s.Class, s.Team, s.Priority, s.Tasks, s.VCPUs, s.MemoryGB, s.Spot = class, borrowers, api.BestEffort, tasks, cpus,
				0.1, true
		}, runs)
	}
	sim.scheduleAt(45, func() { borrow("vast", 1000, 0.25, 4*time.Second) })
	sim.scheduleAt(50, func() { borrow("backfill", 60, 1, 20*time.Second) })
	for s := 60.0; s < 75; s += 0.2 {
		sim.scheduleAt(s, func() { borrow("swarm", 1, 0.25, 10*time.Second) })
	}
	sim.crashLeaderAt(70, 4*time.Second)
}

// overloadConfig returns a configuration in which more work arrives than the fleet has capacity for.
func overloadConfig(seed, variant uint64) Config {
	return Config{Seed: seed, Overload: true, Faults: odd(variant), ActiveDuration: replayLength}
}

// setUpOverload slows down the links between nodes, and submits short-lived services and jobs with a deadline and a required
// machine type.
func setUpOverload(sim *Simulation, _ uint64) {
	sim.scheduleAt(20, func() { sim.slowLinks = faultWindow{0.7, sim.now.Add(replayLength)} })
	for s := 25.0; s < replayLength.Seconds(); s += 7 {
		sim.scheduleAt(s, func() {
			due := sim.randomDuration(20*time.Second, 90*time.Second).Seconds()
			sim.submitJob(func(s *api.Spec) {
				s.Tasks, s.VCPUs, s.DeadlineS, s.Models = 2, 1, &due, []string{sim.cloud.machineTypes[0].SKU}
			}, 10*time.Second)
		})
	}
	for s := 30.0; s < replayLength.Seconds(); s += 10 {
		sim.scheduleAt(s, func() {
			j := sim.submitJob(func(s *api.Spec) {
				s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs, s.Tasks, s.Team = api.Service, api.Critical, false, 0, 1, 1,
					"blue"
			}, 0)
			sim.schedule(30*time.Second, func() { sim.cancelWhenAccepted(j, nil) })
		})
	}
}
