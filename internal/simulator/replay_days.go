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

// faultyConfig has jobs of all kinds come amid random faults.
func faultyConfig(seed, _ uint64) Config {
	return Config{Seed: seed, Faults: true, ActiveDuration: replayLength}
}

// meetingsConfig has two or three faults at once, of more kinds.
func meetingsConfig(seed, _ uint64) Config {
	return Config{Seed: seed, Faults: true, ConcurrentFaults: true, ActiveDuration: replayLength}
}

// crowdedGangs says whether gangs leave no room to other work on the days of a variant.
func crowdedGangs(variant uint64) bool { return variant%3 == 0 }

// gangsConfig has many gangs come with and without faults, or fill a small fleet.
func gangsConfig(seed, variant uint64) Config {
	if crowdedGangs(variant) {
		return rebalancingConfig(seed)
	}
	return Config{Seed: seed, Faults: odd(variant), MoreGangs: true, ActiveDuration: replayLength}
}

// playGangs has services come for which whole gangs must be stopped, and spot machines with
// gangs be taken back.
func playGangs(w *Simulation, variant uint64) {
	if !crowdedGangs(variant) {
		return
	}
	w.scheduleAt(2, func() {
		for range 10 {
			w.submitJob(func(s *api.Spec) {
				s.Shape, s.Tasks, s.VCPUs, s.Spot = api.Gang, 3, 2, true
				s.CheckpointEveryS, s.CheckpointS = 8, 1
			}, 100*time.Second)
		}
	})
	w.scheduleAt(50, func() {
		for range 4 {
			w.service(6)
		}
	})
	w.scheduleAt(90, func() {
		for _, k := range w.sortedWorkers() {
			if k.machine.spot && k.reclaimAt == 0 && len(k.tasks) > 0 {
				w.countEvent("spot notice")
				k.announceReclaim(14 * time.Second)
				w.schedule(14*time.Second, func() { w.cloud.terminate(k.machine) })
				return
			}
		}
	})
}

// service submits an urgent service of one replica.
func (w *Simulation) service(cpus float64) *userJob {
	return w.submitJob(func(s *api.Spec) {
		s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs, s.Tasks, s.Image = api.Service, api.Critical, true, 0, cpus, 1, "img-0"
	}, 0)
}

// linksConfig has nodes watch their links, of which some break in one direction.
func linksConfig(seed, variant uint64) Config {
	return Config{Seed: seed, Faults: true, ConcurrentFaults: odd(variant), LinkMonitoring: true, ActiveDuration: replayLength}
}

// quietConfig has nothing happen by itself.
func quietConfig(seed, _ uint64) Config {
	return Config{Seed: seed, NoArrivals: true, ActiveDuration: replayLength}
}

// handoverConfig has nodes watch their links, and nothing else happen by itself.
func handoverConfig(seed, _ uint64) Config {
	return Config{Seed: seed, LinkMonitoring: true, NoArrivals: true, ActiveDuration: replayLength}
}

// firstHandoverLink is the place in StudiedLinks of the first link whose loss makes a leader
// hand the lead over.
const firstHandoverLink = 4

// playHandover breaks a link of the leader for a minute, or a part of every few seconds, or those
// of all nodes to the machines.
func playHandover(w *Simulation, variant uint64) {
	w.submitBaseLoad(6)
	w.submitStream(20, replayLength.Seconds(), 1.3, 20*time.Second)
	w.onLeader(linkBreakAt.Seconds(), func(l *node) {
		ends := StudiedLinks[(variant+firstHandoverLink)%uint64(len(StudiedLinks))]
		from, to := w.resolveLinkEnd(ends.From, l), w.resolveLinkEnd(ends.To, l)
		switch variant % 4 {
		case 2:
			for _, n := range w.nodes {
				w.disconnect(n.name, machines, false, time.Minute)
			}
			w.cancelRunning(2, 0)
		case 3:
			w.flapLink(from, to, 2400*time.Millisecond, 4*time.Second, time.Minute)
		default:
			w.disconnectOneWay(from, to, false, time.Minute)
		}
	})
}

// replayedMovesConfig has running tasks moved, with the tuning of deploy/moves.sexp: links are
// watched, and the budgets are the defaults.
func replayedMovesConfig(seed, variant uint64) Config {
	cfg := rebalancingConfig(seed)
	cfg.LinkMonitoring, cfg.ZoneCapacity = true, 4
	cfg.Faults, cfg.NoArrivals = odd(variant), !odd(variant)
	cfg.ConcurrentFaults = variant%4 == 3
	return cfg
}

// playReplayedMoves has wide tasks find no room on a fragmented fleet. Something goes wrong in the
// midst of the first move, and the leader ends later.
func playReplayedMoves(w *Simulation, variant uint64) {
	w.fragmentFleet(4)
	w.submitWideTasks(wideTasksAt, 140)
	w.submitShortTasks(30, 140)
	states := []migration.State{migration.Stopping, migration.Proposed, migration.Placing}
	w.scheduleAt(wideTasksAt, func() {
		w.countMoveOutcomes()
		w.onMoveState(states[variant%uint64(len(states))], func(l *node, m controller.MoveEntry) { w.troubleMove(l, m, variant) })
	})
	w.killLeader(wideTasksAt+35, w.between(time.Second, 6*time.Second))
}

// troubleMove lets something go wrong with a move.
func (w *Simulation) troubleMove(l *node, m controller.MoveEntry, variant uint64) {
	from, to := w.workerByID(m.From), w.workerByID(m.To)
	w.countEvent("trouble in a move")
	switch variant % 5 {
	case 1:
		if from != nil {
			from.hangFor(26 * time.Second)
		}
	case 2:
		job, _, _ := strings.Cut(m.Task, "/")
		w.cancelWhenAccepted(w.jobs[ident.JobID(job)], nil)
	case 3:
		if to != nil {
			w.cloud.terminate(to.machine)
		}
	case 4:
		for range 6 {
			w.service(2)
		}
	default:
		l.crash(4 * time.Second)
	}
}

// slowMachineConfig has one machine be much slower than the others.
func slowMachineConfig(seed, variant uint64) Config {
	cfg := slowConfig(seed, settings.RebalanceMove, 1)
	cfg.LinkMonitoring = odd(variant)
	return cfg
}

// playSlowMachine has the slow machine be found and left; the leader ends on some days.
func playSlowMachine(w *Simulation, variant uint64) {
	w.workBesideSlow()
	w.scheduleAt(30, w.countMoveOutcomes)
	if odd(variant) {
		w.killLeader(100, 3*time.Second)
	}
}

// replayedOldNodes is how many nodes are of the version in production on a day on which not all
// are.
const replayedOldNodes = 2

// upgradeConfig has all nodes, or some of them, begin as of the version in production.
func upgradeConfig(seed, variant uint64) Config {
	cfg := Config{Seed: seed, Faults: odd(variant), MoreGangs: true, LinkMonitoring: variant%4 > 1, ActiveDuration: replayLength}
	if variant%3 == 2 {
		cfg.LegacyNodes = replayedOldNodes
	} else {
		cfg.RollingUpgrade = true
	}
	return cfg
}

// playUpgrade replaces the old nodes one by one.
func playUpgrade(w *Simulation, _ uint64) {
	for _, n := range w.nodes {
		if n.legacy {
			w.countEvent("old node")
		}
	}
	if w.cfg.LegacyNodes > 0 {
		w.scheduleAt(60, func() { w.rollingUpgrade(w.settings.Nodes - w.cfg.LegacyNodes) })
	}
}

const (
	// replayedFleet is the smallest number of machines of a large fleet here, and fleetStep by
	// how many more there are on further days.
	replayedFleet = 300
	fleetStep     = 100
	arrayTasks    = 50
)

// fleetConfig has several hundred machines.
func fleetConfig(seed, variant uint64) Config {
	return Config{Seed: seed, NoArrivals: true, FleetSize: replayedFleet + int(variant%3)*fleetStep, ActiveDuration: replayLength}
}

// playFleet has a large fleet go through a change of leader, an outage of the state service and
// the loss of a zone.
func playFleet(w *Simulation, variant uint64) {
	w.scheduleAt(1, func() {
		for range w.cfg.FleetSize / arrayTasks {
			w.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Spot = arrayTasks, 7, true }, 60*time.Second)
		}
		for range 3 {
			w.submitJob(func(s *api.Spec) {
				s.Tasks, s.VCPUs, s.Shape, s.Priority, s.Spot, s.RuntimeS = 10, 7, api.Service, api.Critical, false, 0
			}, 0)
		}
	})
	w.scheduleAt(50, func() {
		for range w.workers {
			w.countEvent("machine of the fleet")
		}
	})
	w.killLeader(55, 3*time.Second)
	w.scheduleAt(75, func() { w.stopState(12 * time.Second) })
	w.scheduleAt(100, func() { w.partitionZone(w.settings.Zones[variant%2], false, 25*time.Second) })
}

// stopState has the state service be down for a while.
func (w *Simulation) stopState(d time.Duration) {
	w.countEvent("outage")
	w.store.downUntil = w.now.Add(d)
}

// playOutage has outages of the state service for all and for the leader alone; on some days
// the leader ends in one.
func playOutage(w *Simulation, variant uint64) {
	w.submitBaseLoad(6)
	w.submitStream(20, replayLength.Seconds(), 1.5, 20*time.Second)
	w.scheduleAt(50, func() { w.stopState(w.between(5*time.Second, 35*time.Second)) })
	if odd(variant) {
		w.killLeader(51.5, w.between(time.Second, 30*time.Second))
	}
	w.onLeader(100, func(l *node) { w.store.rejectUntil[l.name] = w.now.Add(14 * time.Second) })
	w.scheduleAt(120, func() {
		w.delayedWrites, w.slowStore = faultWindow{0.3, w.now.Add(15 * time.Second)}, faultWindow{0.8, w.now.Add(25 * time.Second)}
	})
	if variant%3 == 2 {
		w.scheduleAt(80, w.narrowState)
	}
}

// narrowState has the state service take less than it has announced.
func (w *Simulation) narrowState() {
	w.countEvent("limits lower than announced")
	w.store.limits.ValueKB, w.store.limits.TxnOps, w.store.limits.Announced = 1, 3, nil
}

// playFailover ends the leader again and again; it is back at once or after another leads.
func playFailover(w *Simulation, variant uint64) {
	w.submitBaseLoad(4)
	w.submitStream(10, replayLength.Seconds(), 0.8, 15*time.Second)
	for s := 30.0; s < 140; s += 11 {
		back := 150 * time.Millisecond
		if w.rng.IntN(2) == 0 {
			back = 3200 * time.Millisecond
		}
		w.killLeader(s, back)
	}
	if odd(variant) {
		w.scheduleAt(80, func() {
			w.countEvent("all end")
			for i, n := range w.nodes {
				n.crash(time.Duration(1+8*i) * time.Second)
			}
		})
	}
}

// playPartitions takes parts of the world from the leader, one after the other, while users
// look closely.
func playPartitions(w *Simulation, variant uint64) {
	w.submitBaseLoad(5)
	w.submitStream(20, replayLength.Seconds(), 1.5, 10*time.Second)
	w.scheduleAt(30, func() {
		w.probeAfterAnswer = faultWindow{0.3, w.now.Add(replayLength)}
		if odd(variant) {
			w.slowBoots, w.failedBoots = faultWindow{0.4, timeAt(90)}, faultWindow{0.3, timeAt(90)}
		}
	})
	w.scheduleAt(35, func() {
		for range 3 {
			w.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 3, 4 }, 20*time.Second)
		}
	})
	for i := range 5 {
		w.onLeader(45+20*float64(i), func(l *node) {
			w.countEvent("partition")
			w.partition(l, (int(variant)+i)%6, w.between(4*time.Second, 18*time.Second))
		})
	}
}

// partition takes a part of the world from a node.
func (w *Simulation) partition(n *node, part int, d time.Duration) {
	hold := w.rng.IntN(2) == 0
	switch part {
	case 0:
		w.disconnect(n.name, "*", hold, d)
	case 1:
		w.disconnect(n.name, "state", hold, d)
	case 2:
		w.disconnect(n.name, machines, hold, d)
	case 3:
		w.isolate(n, hold, d)
	case 4:
		w.partitionZone(n.zone, hold, d)
	default:
		n.pauseFor(d)
	}
}

// floodedConfig has a team flood the cluster, by mode of rebalancing.
func floodedConfig(seed, variant uint64) Config {
	modes := []settings.Rebalance{settings.RebalanceMove, settings.RebalancePlace, settings.RebalanceReport}
	cfg := floodConfig(seed, modes[variant%uint64(len(modes))])
	cfg.LinkMonitoring = odd(variant)
	return cfg
}

// playFlood has one team flood the cluster; the leader ends meanwhile.
func playFlood(w *Simulation, _ uint64) {
	w.submitSteadyLoad()
	w.schedule(floodStart, func() { w.flood(w.now.Add(floodDuration)) })
	for s := 10 * time.Second; s < floodDuration; s += 8 * time.Second {
		w.schedule(floodStart+s, func() {
			j := w.service(1)
			w.schedule(30*time.Second, func() { w.cancelWhenAccepted(j, nil) })
		})
	}
	w.scheduleAt((floodStart + floodDuration/2).Seconds(), func() {
		if w.isOnlyHotTeam(hotTeam) {
			w.countEvent("hot team")
		}
	})
	w.killLeader((floodStart+floodDuration/2).Seconds()+1, 4*time.Second)
}

// mistakenJobs are ways in which jobs come that fail on every machine.
var mistakenJobs = []struct {
	jobs   int
	change func(s *api.Spec)
}{
	{3, func(s *api.Spec) { s.Tasks, s.VCPUs = 12, 1 }},
	{1, func(s *api.Spec) { s.Tasks, s.VCPUs = 1000, 0.25 }},
	{3, func(s *api.Spec) { s.Shape, s.Priority, s.RuntimeS, s.Spot = api.Service, api.Critical, 0, false }},
	{2, func(s *api.Spec) { s.Shape, s.Tasks, s.VCPUs, s.OneZone = api.Gang, 4, 1, true }},
	{40, func(s *api.Spec) { s.Tasks, s.VCPUs = 2, 0.5 }},
}

// playMistakes has jobs fail on every machine until they are cancelled, beside sound ones and a
// faulty machine; the leader ends meanwhile.
func playMistakes(w *Simulation, variant uint64) {
	w.submitBaseLoad(3)
	var list []*userJob
	w.scheduleAt(30, func() {
		m := mistakenJobs[variant%uint64(len(mistakenJobs))]
		for range m.jobs {
			j := w.submitJob(m.change, 10*time.Second)
			j.alwaysFails = true
			list = append(list, j)
		}
	})
	w.scheduleAt(45, func() {
		if k := w.anyWorker(); k != nil {
			k.faulty = true
		}
	})
	w.submitStream(40, 140, 3, 20*time.Second)
	w.killLeader(80, 3*time.Second)
	w.scheduleAt(120, func() {
		for _, j := range list {
			for range j.failures {
				w.countEvent("failed try")
			}
			w.cancelWhenAccepted(j, nil)
		}
	})
}

// playGuests has a team without guarantee or limit come with a vast array, a swarm of jobs of
// one task and work for spare hours.
func playGuests(w *Simulation, _ uint64) {
	w.submitBaseLoad(3)
	w.submitStream(40, 140, 5, 20*time.Second)
	guest := func(class string, tasks int, cpus float64, runs time.Duration) {
		w.countEvent("guest")
		w.submitJob(func(s *api.Spec) {
			s.Class, s.Team, s.Priority, s.Tasks, s.VCPUs, s.MemoryGB, s.Spot = class, "guest", api.BestEffort, tasks, cpus, 0.1, true
		}, runs)
	}
	w.scheduleAt(45, func() { guest("vast", 1000, 0.25, 4*time.Second) })
	w.scheduleAt(50, func() { guest("backfill", 60, 1, 20*time.Second) })
	for s := 60.0; s < 75; s += 0.2 {
		w.scheduleAt(s, func() { guest("swarm", 1, 0.25, 10*time.Second) })
	}
	w.killLeader(70, 4*time.Second)
}

// crowdConfig has more work come than there is room for.
func crowdConfig(seed, variant uint64) Config {
	return Config{Seed: seed, Overload: true, Faults: odd(variant), ActiveDuration: replayLength}
}

// playCrowd has the links between nodes be slow, services come and go, and jobs come that are due
// soon and bound to a type of machine.
func playCrowd(w *Simulation, _ uint64) {
	w.scheduleAt(20, func() { w.slowLinks = faultWindow{0.7, w.now.Add(replayLength)} })
	for s := 25.0; s < replayLength.Seconds(); s += 7 {
		w.scheduleAt(s, func() {
			due := w.between(20*time.Second, 90*time.Second).Seconds()
			w.submitJob(func(s *api.Spec) {
				s.Tasks, s.VCPUs, s.DeadlineS, s.Models = 2, 1, &due, []string{w.cloud.models[0].SKU}
			}, 10*time.Second)
		})
	}
	for s := 30.0; s < replayLength.Seconds(); s += 10 {
		w.scheduleAt(s, func() {
			j := w.submitJob(func(s *api.Spec) {
				s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs, s.Tasks, s.Team = api.Service, api.Critical, false, 0, 1, 1, "blue"
			}, 0)
			w.schedule(30*time.Second, func() { w.cancelWhenAccepted(j, nil) })
		})
	}
}
