package standin

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
	return Config{Seed: seed, Faults: true, Length: replayLength}
}

// meetingsConfig has two or three faults at once, of more kinds.
func meetingsConfig(seed, _ uint64) Config {
	return Config{Seed: seed, Faults: true, Meet: true, Length: replayLength}
}

// crowdedGangs says whether gangs leave no room to other work on the days of a variant.
func crowdedGangs(variant uint64) bool { return variant%3 == 0 }

// gangsConfig has many gangs come with and without faults, or fill a small fleet.
func gangsConfig(seed, variant uint64) Config {
	if crowdedGangs(variant) {
		return movingConfig(seed)
	}
	return Config{Seed: seed, Faults: odd(variant), Gangs: true, Length: replayLength}
}

// playGangs has services come for which whole gangs must be stopped, and spot machines with
// gangs be taken back.
func playGangs(w *World, variant uint64) {
	if !crowdedGangs(variant) {
		return
	}
	w.when(2, func() {
		for range 10 {
			w.job(func(s *api.Spec) {
				s.Shape, s.Tasks, s.VCPUs, s.Spot = api.Gang, 3, 2, true
				s.SnapshotEveryS, s.SnapshotS = 8, 1
			}, 100*time.Second)
		}
	})
	w.when(50, func() {
		for range 4 {
			w.service(6)
		}
	})
	w.when(90, func() {
		for _, k := range w.sortedWorkers() {
			if k.m.standby && k.doomed == 0 && len(k.pieces) > 0 {
				w.took("spot notice")
				k.doom(14 * time.Second)
				w.at(14*time.Second, func() { w.cloud.take(k.m) })
				return
			}
		}
	})
}

// service submits an urgent service of one replica.
func (w *World) service(cpus float64) *userJob {
	return w.job(func(s *api.Spec) {
		s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs, s.Tasks, s.Image = api.Service, api.Critical, true, 0, cpus, 1, "img-0"
	}, 0)
}

// linksConfig has nodes watch their links, of which some break in one direction.
func linksConfig(seed, variant uint64) Config {
	return Config{Seed: seed, Faults: true, Meet: odd(variant), Links: true, Length: replayLength}
}

// quietConfig has nothing happen by itself.
func quietConfig(seed, _ uint64) Config {
	return Config{Seed: seed, Quiet: true, Length: replayLength}
}

// handoverConfig has nodes watch their links, and nothing else happen by itself.
func handoverConfig(seed, _ uint64) Config {
	return Config{Seed: seed, Links: true, Quiet: true, Length: replayLength}
}

// firstHandoverLink is the place in StudiedLinks of the first link whose loss makes a leader
// hand the lead over.
const firstHandoverLink = 4

// playHandover breaks a link of the leader for a minute, or a part of every few seconds, or those
// of all nodes to the machines.
func playHandover(w *World, variant uint64) {
	w.load(6)
	w.stream(20, replayLength.Seconds(), 1.3, 20*time.Second)
	w.onLeader(studyBreak.Seconds(), func(l *node) {
		ends := StudiedLinks[(variant+firstHandoverLink)%uint64(len(StudiedLinks))]
		from, to := w.end(ends.From, l), w.end(ends.To, l)
		switch variant % 4 {
		case 2:
			for _, n := range w.nodes {
				w.sever(n.name, machines, false, time.Minute)
			}
			w.cancelNow(2, 0)
		case 3:
			w.flap(from, to, 2400*time.Millisecond, 4*time.Second, time.Minute)
		default:
			w.severWay(from, to, false, time.Minute)
		}
	})
}

// replayedMovesConfig has running tasks moved, with the tuning of deploy/moves.sexp: links are
// watched, and the budgets are the defaults.
func replayedMovesConfig(seed, variant uint64) Config {
	cfg := movingConfig(seed)
	cfg.Links, cfg.Capacity = true, 4
	cfg.Faults, cfg.Quiet = odd(variant), !odd(variant)
	cfg.Meet = variant%4 == 3
	return cfg
}

// playReplayedMoves has wide tasks find no room on a fragmented fleet. Something goes wrong in the
// midst of the first move, and the leader ends later.
func playReplayedMoves(w *World, variant uint64) {
	w.fragment(4)
	w.wideNowAndThen(wideAt, 140)
	w.shortTasks(30, 140)
	states := []migration.State{migration.Stopping, migration.Proposed, migration.Placing}
	w.when(wideAt, func() {
		w.countMoves()
		w.onMove(states[variant%uint64(len(states))], func(l *node, m controller.MoveEntry) { w.troubleMove(l, m, variant) })
	})
	w.killLeader(wideAt+35, w.between(time.Second, 6*time.Second))
}

// troubleMove lets something go wrong with a move.
func (w *World) troubleMove(l *node, m controller.MoveEntry, variant uint64) {
	from, to := w.machine(m.From), w.machine(m.To)
	w.took("trouble in a move")
	switch variant % 5 {
	case 1:
		if from != nil {
			from.hang(26 * time.Second)
		}
	case 2:
		job, _, _ := strings.Cut(m.Task, "/")
		w.callOff(w.jobs[ident.JobID(job)], nil)
	case 3:
		if to != nil {
			w.cloud.take(to.m)
		}
	case 4:
		for range 6 {
			w.service(2)
		}
	default:
		l.kill(4 * time.Second)
	}
}

// slowMachineConfig has one machine be much slower than the others.
func slowMachineConfig(seed, variant uint64) Config {
	cfg := slowConfig(seed, settings.RebalanceMove, 1)
	cfg.Links = odd(variant)
	return cfg
}

// playSlowMachine has the slow machine be found and left; the leader ends on some days.
func playSlowMachine(w *World, variant uint64) {
	w.workBesideSlow()
	w.when(30, w.countMoves)
	if odd(variant) {
		w.killLeader(100, 3*time.Second)
	}
}

// replayedOldNodes is how many nodes are of the version in production on a day on which not all
// are.
const replayedOldNodes = 2

// upgradeConfig has all nodes, or some of them, begin as of the version in production.
func upgradeConfig(seed, variant uint64) Config {
	cfg := Config{Seed: seed, Faults: odd(variant), Gangs: true, Links: variant%4 > 1, Length: replayLength}
	if variant%3 == 2 {
		cfg.OldNodes = replayedOldNodes
	} else {
		cfg.Old = true
	}
	return cfg
}

// playUpgrade replaces the old nodes one by one.
func playUpgrade(w *World, _ uint64) {
	for _, n := range w.nodes {
		if n.old {
			w.took("old node")
		}
	}
	if w.cfg.OldNodes > 0 {
		w.when(60, func() { w.rollout(w.set.Nodes - w.cfg.OldNodes) })
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
	return Config{Seed: seed, Quiet: true, Fleet: replayedFleet + int(variant%3)*fleetStep, Length: replayLength}
}

// playFleet has a large fleet go through a change of leader, an outage of the state service and
// the loss of a zone.
func playFleet(w *World, variant uint64) {
	w.when(1, func() {
		for range w.cfg.Fleet / arrayTasks {
			w.job(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Spot = arrayTasks, 7, true }, 60*time.Second)
		}
		for range 3 {
			w.job(func(s *api.Spec) {
				s.Tasks, s.VCPUs, s.Shape, s.Priority, s.Spot, s.RuntimeS = 10, 7, api.Service, api.Critical, false, 0
			}, 0)
		}
	})
	w.when(50, func() {
		for range w.workers {
			w.took("machine of the fleet")
		}
	})
	w.killLeader(55, 3*time.Second)
	w.when(75, func() { w.stopState(12 * time.Second) })
	w.when(100, func() { w.cutZone(w.set.Zones[variant%2], false, 25*time.Second) })
}

// stopState has the state service be down for a while.
func (w *World) stopState(d time.Duration) {
	w.took("outage")
	w.store.downUntil = w.now.Add(d)
}

// playOutage has outages of the state service for all and for the leader alone; on some days
// the leader ends in one.
func playOutage(w *World, variant uint64) {
	w.load(6)
	w.stream(20, replayLength.Seconds(), 1.5, 20*time.Second)
	w.when(50, func() { w.stopState(w.between(5*time.Second, 35*time.Second)) })
	if odd(variant) {
		w.killLeader(51.5, w.between(time.Second, 30*time.Second))
	}
	w.onLeader(100, func(l *node) { w.store.refuses[l.name] = w.now.Add(14 * time.Second) })
	w.when(120, func() {
		w.lateWrites, w.slowState = spell{0.3, w.now.Add(15 * time.Second)}, spell{0.8, w.now.Add(25 * time.Second)}
	})
	if variant%3 == 2 {
		w.when(80, w.narrowState)
	}
}

// narrowState has the state service take less than it has announced.
func (w *World) narrowState() {
	w.took("limits lower than announced")
	w.store.limits.ValueKB, w.store.limits.TxnOps, w.store.limits.Next = 1, 3, nil
}

// playFailover ends the leader again and again; it is back at once or after another leads.
func playFailover(w *World, variant uint64) {
	w.load(4)
	w.stream(10, replayLength.Seconds(), 0.8, 15*time.Second)
	for s := 30.0; s < 140; s += 11 {
		back := 150 * time.Millisecond
		if w.rng.IntN(2) == 0 {
			back = 3200 * time.Millisecond
		}
		w.killLeader(s, back)
	}
	if odd(variant) {
		w.when(80, func() {
			w.took("all end")
			for i, n := range w.nodes {
				n.kill(time.Duration(1+8*i) * time.Second)
			}
		})
	}
}

// playPartitions takes parts of the world from the leader, one after the other, while users
// look closely.
func playPartitions(w *World, variant uint64) {
	w.load(5)
	w.stream(20, replayLength.Seconds(), 1.5, 10*time.Second)
	w.when(30, func() {
		w.closeLooks = spell{0.3, w.now.Add(replayLength)}
		if odd(variant) {
			w.lateBoots, w.neverBoots = spell{0.4, second(90)}, spell{0.3, second(90)}
		}
	})
	w.when(35, func() {
		for range 3 {
			w.job(func(s *api.Spec) { s.Tasks, s.VCPUs = 3, 4 }, 20*time.Second)
		}
	})
	for i := range 5 {
		w.onLeader(45+20*float64(i), func(l *node) {
			w.took("partition")
			w.partition(l, (int(variant)+i)%6, w.between(4*time.Second, 18*time.Second))
		})
	}
}

// partition takes a part of the world from a node.
func (w *World) partition(n *node, part int, d time.Duration) {
	hold := w.rng.IntN(2) == 0
	switch part {
	case 0:
		w.sever(n.name, "*", hold, d)
	case 1:
		w.sever(n.name, "state", hold, d)
	case 2:
		w.sever(n.name, machines, hold, d)
	case 3:
		w.isolate(n, hold, d)
	case 4:
		w.cutZone(n.zone, hold, d)
	default:
		n.freeze(d)
	}
}

// floodedConfig has a team flood the cluster, by mode of rebalancing.
func floodedConfig(seed, variant uint64) Config {
	modes := []settings.Rebalance{settings.RebalanceMove, settings.RebalancePlace, settings.RebalanceReport}
	cfg := floodConfig(seed, modes[variant%uint64(len(modes))])
	cfg.Links = odd(variant)
	return cfg
}

// playFlood has one team flood the cluster; the leader ends meanwhile.
func playFlood(w *World, _ uint64) {
	w.steadyTeams()
	w.at(floodFrom, func() { w.flood(w.now.Add(floodFor)) })
	for s := 10 * time.Second; s < floodFor; s += 8 * time.Second {
		w.at(floodFrom+s, func() {
			j := w.service(1)
			w.at(30*time.Second, func() { w.callOff(j, nil) })
		})
	}
	w.when((floodFrom + floodFor/2).Seconds(), func() {
		if w.onlyHot(hotTeam) {
			w.took("hot team")
		}
	})
	w.killLeader((floodFrom+floodFor/2).Seconds()+1, 4*time.Second)
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
func playMistakes(w *World, variant uint64) {
	w.load(3)
	var list []*userJob
	w.when(30, func() {
		m := mistakenJobs[variant%uint64(len(mistakenJobs))]
		for range m.jobs {
			j := w.job(m.change, 10*time.Second)
			j.mistaken = true
			list = append(list, j)
		}
	})
	w.when(45, func() {
		if k := w.anyWorker(); k != nil {
			k.faulty = true
		}
	})
	w.stream(40, 140, 3, 20*time.Second)
	w.killLeader(80, 3*time.Second)
	w.when(120, func() {
		for _, j := range list {
			for range j.tries {
				w.took("failed try")
			}
			w.callOff(j, nil)
		}
	})
}

// playGuests has a team without guarantee or limit come with a vast array, a swarm of jobs of
// one task and work for spare hours.
func playGuests(w *World, _ uint64) {
	w.load(3)
	w.stream(40, 140, 5, 20*time.Second)
	guest := func(class string, tasks int, cpus float64, runs time.Duration) {
		w.took("guest")
		w.job(func(s *api.Spec) {
			s.Class, s.Team, s.Priority, s.Tasks, s.VCPUs, s.MemoryGB, s.Spot = class, "guest", api.BestEffort, tasks, cpus, 0.1, true
		}, runs)
	}
	w.when(45, func() { guest("vast", 1000, 0.25, 4*time.Second) })
	w.when(50, func() { guest("backfill", 60, 1, 20*time.Second) })
	for s := 60.0; s < 75; s += 0.2 {
		w.when(s, func() { guest("swarm", 1, 0.25, 10*time.Second) })
	}
	w.killLeader(70, 4*time.Second)
}

// crowdConfig has more work come than there is room for.
func crowdConfig(seed, variant uint64) Config {
	return Config{Seed: seed, Crowd: true, Faults: odd(variant), Length: replayLength}
}

// playCrowd has the links between nodes be slow, services come and go, and jobs come that are due
// soon and bound to a type of machine.
func playCrowd(w *World, _ uint64) {
	w.when(20, func() { w.slowLinks = spell{0.7, w.now.Add(replayLength)} })
	for s := 25.0; s < replayLength.Seconds(); s += 7 {
		w.when(s, func() {
			due := w.between(20*time.Second, 90*time.Second).Seconds()
			w.job(func(s *api.Spec) {
				s.Tasks, s.VCPUs, s.DueS, s.Models = 2, 1, &due, []string{w.cloud.models[0].SKU}
			}, 10*time.Second)
		})
	}
	for s := 30.0; s < replayLength.Seconds(); s += 10 {
		w.when(s, func() {
			j := w.job(func(s *api.Spec) {
				s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs, s.Tasks, s.Team = api.Service, api.Critical, false, 0, 1, 1, "blue"
			}, 0)
			w.at(30*time.Second, func() { w.callOff(j, nil) })
		})
	}
}
