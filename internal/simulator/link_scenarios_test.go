package simulator

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// linkScenario is a scenario with broken links, and bounds for the events that it must cause.
type linkScenario struct {
	name           string
	nodes          int // number of nodes; 0: three
	rollingUpgrade bool
	inject         func(sim *Simulation)
	minEvents      map[eventName]int // lower bounds
	maxEvents      map[eventName]int // upper bounds
	seeds          uint64            // number of seeds; 0: three
	length         time.Duration     // active part of the run; 0: 200 s
}

// staleLinkStatesScenario delivers link states late. They show followers with better links than the leader, which no longer
// holds: a leader that accepted them would hand over to a node without access to the store.
const staleLinkStatesScenario = "link states delivered late"

// linkScenarios are the scenarios that TestUnidirectionalPartitions runs.
var linkScenarios = []linkScenario{
	{
		name: "replies of the cloud are lost",
		inject: func(sim *Simulation) {
			sim.withLeaderAt(faultAt, func(l *node) {
				sim.disconnectOneWay(cloudParty, l.name, false, faultDuration)
				sim.recordLeaderAfter(l, 12*time.Second)
			})
		},
		minEvents: map[eventName]int{handoverAnnouncedEvent: 1, leaderReplacedEvent: 1},
		maxEvents: map[eventName]int{leaderMissingEvent: 0},
	},
	{
		name: "no command reaches a machine",
		inject: func(sim *Simulation) {
			sim.withLeaderAt(faultAt, func(l *node) {
				sim.disconnectOneWay(l.name, machines, false, faultDuration)
				sim.recordLeaderAfter(l, 12*time.Second)
				sim.countFencedWithin(faultDuration)
			})
		},
		minEvents: map[eventName]int{handoverAnnouncedEvent: 1, leaderReplacedEvent: 1},
		maxEvents: map[eventName]int{machineFencedEvent: 0},
	},
	{
		name: "machines reach only the followers",
		inject: func(sim *Simulation) {
			sim.withLeaderAt(faultAt, func(l *node) {
				sim.disconnectOneWay(machines, l.name, false, faultDuration)
				sim.recordLeaderAfter(l, 15*time.Second)
				sim.countFencedWithin(faultDuration)
			})
		},
		minEvents: map[eventName]int{handoverAnnouncedEvent: 1, leaderReplacedEvent: 1},
		maxEvents: map[eventName]int{machineFencedEvent: 0},
	},
	{
		name: "replies of the store are lost",
		inject: func(sim *Simulation) {
			sim.withLeaderAt(faultAt, func(l *node) {
				sim.disconnectOneWay(storeParty, l.name, false, faultDuration)
				sim.recordLeaderAfter(l, 6*time.Second)
			})
		},
		minEvents: map[eventName]int{leaderReplacedEvent: 1},
	},
	{
		name: "leader without the store, follower without machines",
		inject: func(sim *Simulation) {
			sim.withLeaderAt(faultAt, func(l *node) {
				b := sim.nodeOtherThan(l)
				sim.nodeOtherThan(l, b).crash(faultDuration)
				sim.disconnectOneWay(storeParty, l.name, false, faultDuration)
				sim.disconnect(b.name, machines, false, faultDuration)
				sim.recordLeaderAfter(l, 10*time.Second)
				starts := 0
				sim.schedule(15*time.Second, func() { starts = sim.TaskStarts })
				sim.schedule(55*time.Second, func() {
					sim.countEvents(taskStartedEvent, sim.TaskStarts-starts)
				})
			})
		},
		minEvents: map[eventName]int{leaderReplacedEvent: 1, taskStartedEvent: 5},
	},
	{
		name: "no controller reaches any machine",
		inject: func(sim *Simulation) {
			sim.scheduleAt(faultAt, func() {
				for _, n := range sim.nodes {
					sim.disconnect(n.name, machines, false, faultDuration)
				}
				sim.cancelRunning(2, 0)
				provisioned := len(sim.cloud.machines)
				sim.schedule(faultDuration, func() {
					sim.countEvents(machineProvisionedEvent, len(sim.cloud.machines)-provisioned)
				})
			})
		},
		minEvents: map[eventName]int{cancelledWhileRunningEvent: 1},
		maxEvents: map[eventName]int{machineProvisionedEvent: 12},
	},
	{
		name: "slow links beside a broken one",
		inject: func(sim *Simulation) {
			sim.slowLinks = faultWindow{1, timeAt(faultAt).Add(faultDuration)}
			sim.withLeaderAt(faultAt, func(l *node) {
				sim.disconnectOneWay(l.name, machines, false, faultDuration)
				sim.recordLeaderAfter(l, 20*time.Second)
			})
		},
		minEvents: map[eventName]int{linkSlowEvent: 50, handoverAnnouncedEvent: 1, leaderReplacedEvent: 1},
	},
	{
		name: "leader paused during its handover",
		inject: func(sim *Simulation) {
			sim.onHandover = func(from *node, _ ident.NodeID) {
				sim.countEvent(pausedInHandoverEvent)
				sim.schedule(time.Millisecond, func() { from.pauseFor(20 * time.Second) })
				sim.recordLeaderAfter(from, 8*time.Second)
			}
			sim.withLeaderAt(faultAt, func(l *node) { sim.disconnectOneWay(l.name, machines, false, faultDuration) })
		},
		minEvents: map[eventName]int{pausedInHandoverEvent: 1, leaderReplacedEvent: 1},
	},
	{
		name: "successor crashes between the terms",
		inject: func(sim *Simulation) {
			sim.onHandover = func(from *node, to ident.NodeID) {
				for _, n := range sim.nodes {
					if n.name == string(to) {
						sim.countEvent(successorCrashedEvent)
						n.crash(20 * time.Second)
					}
				}
				sim.recordLeaderAfter(from, 5*time.Second)
			}
			sim.withLeaderAt(faultAt, func(l *node) { sim.disconnectOneWay(l.name, machines, false, faultDuration) })
		},
		minEvents: map[eventName]int{successorCrashedEvent: 1, leaderReplacedEvent: 1},
	},
	{
		name: "successor loses the store between the terms",
		inject: func(sim *Simulation) {
			sim.onHandover = func(from *node, to ident.NodeID) {
				sim.countEvent(successorDisconnectedEvent)
				sim.disconnect(string(to), storeParty, true, 20*time.Second)
				sim.recordLeaderAfter(from, 6*time.Second)
			}
			sim.withLeaderAt(faultAt, func(l *node) { sim.disconnectOneWay(l.name, machines, false, faultDuration) })
		},
		minEvents: map[eventName]int{successorDisconnectedEvent: 1, leaderReplacedEvent: 1},
	},
	{
		name: "handover announcement lost",
		inject: func(sim *Simulation) {
			sim.onHandover = func(from *node, _ ident.NodeID) {
				sim.forEachPeer(from, func(n *node) { sim.disconnectOneWay(from.name, n.name, false, 3*time.Second) })
				sim.recordLeaderAfter(from, 5*time.Second)
			}
			sim.withLeaderAt(faultAt, func(l *node) { sim.disconnectOneWay(l.name, machines, false, faultDuration) })
		},
		minEvents: map[eventName]int{handoverAnnouncedEvent: 1, leaderReplacedEvent: 1},
	},
	{
		name: "leader reaches only the store",
		inject: func(sim *Simulation) {
			sim.withLeaderAt(faultAt, func(l *node) {
				sim.forEachPeer(l, func(n *node) { sim.disconnect(l.name, n.name, false, faultDuration) })
				sim.disconnect(l.name, machines, false, faultDuration)
				sim.recordLeaderAfter(l, 9*time.Second)
			})
		},
		minEvents: map[eventName]int{leaderReplacedEvent: 1},
	},
	{
		name: "follower reaches the leader only through the third node",
		inject: func(sim *Simulation) {
			sim.withLeaderAt(faultAt, func(l *node) {
				f := sim.nodeOtherThan(l)
				sim.disconnectOneWay(f.name, l.name, false, faultDuration)
				for s := 10; s < 50; s++ {
					sim.schedule(time.Duration(s)*time.Second, func() {
						j := sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, time.Second)
						sim.resubmitAt(j, f)
						if f.controller.Healthy() {
							sim.countEvent(followerHealthyEvent)
						}
					})
				}
				sim.schedule(55*time.Second, func() {
					sim.countEvents(requestRelayedEvent, int(f.controller.Stats().Relayed))
				})
			})
		},
		minEvents: map[eventName]int{requestRelayedEvent: 40, followerHealthyEvent: 40},
	},
	{
		name: staleLinkStatesScenario,
		inject: func(sim *Simulation) {
			sim.staleLinkStateDelay = 8 * time.Second
			sim.withLeaderAt(faultAt, func(l *node) {
				sim.disconnectOneWay(l.name, machines, false, faultDuration)
				sim.forEachPeer(l, func(n *node) { sim.disconnectOneWay(n.name, storeParty, false, faultDuration) })
				sim.recordLeaderAfter(l, 7*time.Second)
			})
		},
		minEvents: map[eventName]int{linkStatesRedeliveredEvent: 20, leaderUnchangedEvent: 1},
		maxEvents: map[eventName]int{handoverAnnouncedEvent: 0},
	},
	{
		name:  "two nodes",
		nodes: 2,
		inject: func(sim *Simulation) {
			sim.withLeaderAt(faultAt, func(l *node) {
				sim.disconnectOneWay(l.name, machines, false, faultDuration)
				sim.recordLeaderAfter(l, 12*time.Second)
			})
		},
		minEvents: map[eventName]int{handoverAnnouncedEvent: 1, leaderReplacedEvent: 1},
	},
	{
		name:  "two nodes, link between them broken in one direction",
		nodes: 2,
		inject: func(sim *Simulation) {
			sim.withLeaderAt(faultAt, func(l *node) {
				sim.disconnectOneWay(l.name, sim.nodeOtherThan(l).name, false, faultDuration)
				sim.disconnectOneWay(l.name, machines, false, 20*time.Second)
				sim.countEvent(linkBrokenEvent)
			})
		},
		minEvents: map[eventName]int{linkBrokenEvent: 1},
	},
	{
		name:  "five nodes, two down and one partitioned",
		nodes: 5,
		inject: func(sim *Simulation) {
			sim.withLeaderAt(faultAt, func(l *node) {
				b := sim.nodeOtherThan(l)
				c := sim.nodeOtherThan(l, b)
				d := sim.nodeOtherThan(l, b, c)
				b.crash(faultDuration)
				c.crash(faultDuration)
				sim.disconnect(d.name, anyParty, true, faultDuration)
				sim.disconnectOneWay(cloudParty, l.name, false, faultDuration)
				sim.recordLeaderAfter(l, 15*time.Second)
			})
		},
		minEvents: map[eventName]int{handoverAnnouncedEvent: 1, leaderReplacedEvent: 1},
	},
	{
		name:           "rolling upgrade with legacy leaders",
		rollingUpgrade: true,
		length:         260 * time.Second,
		inject: func(sim *Simulation) {
			sim.withLeaderAt(70, func(l *node) { sim.disconnectOneWay(l.name, machines, false, 20*time.Second) })
			sim.scheduleAt(200, func() {
				if l := sim.leader(); l != nil {
					sim.disconnectOneWay(l.name, machines, false, 40*time.Second)
					sim.recordLeaderAfter(l, 15*time.Second)
				}
			})
		},
		minEvents: map[eventName]int{linkStatesSentEvent: 20, leaderReplacedEvent: 1},
	},
}

// withLeaderAt calls f with the leader at a time in seconds, and counts an event if there is no leader.
func (sim *Simulation) withLeaderAt(s float64, f func(l *node)) {
	sim.scheduleAt(s, func() {
		if l := sim.leader(); l != nil {
			f(l)
		} else {
			sim.countEvent(noLeaderAtFaultEvent)
		}
	})
}

// recordLeaderAfter counts one of three events d from now: l leads, another node leads, or no node leads.
func (sim *Simulation) recordLeaderAfter(l *node, d time.Duration) {
	sim.schedule(d, func() {
		switch n := sim.leader(); {
		case n == nil:
			sim.countEvent(leaderMissingEvent)
		case n == l:
			sim.countEvent(leaderUnchangedEvent)
		default:
			sim.countEvent(leaderReplacedEvent)
		}
	})
}

// submitContinuously submits and cancels jobs during the active part of a run.
func (sim *Simulation) submitContinuously() {
	sim.submitBaseLoad(6)
	sim.submitStream(20, 150, 1.5, 20*time.Second)
}

// countFencedWithin counts the machines that nodes fence in the next d.
func (sim *Simulation) countFencedWithin(d time.Duration) {
	var counts [8]uint64 // machines fenced by each node in its current term
	until := sim.now.Add(d)
	for i, n := range sim.nodes {
		counts[i] = n.controller.Stats().MachinesFenced
	}
	sim.every(200*time.Millisecond, func() bool {
		for i, n := range sim.nodes {
			if !n.alive {
				continue
			}
			fenced := n.controller.Stats().MachinesFenced
			sim.countEvents(machineFencedEvent, int(fenced-min(fenced, counts[i])))
			counts[i] = fenced
		}
		return sim.now < until
	})
}

// nodeOtherThan returns the first node that is not in excluded, nil if there is none.
func (sim *Simulation) nodeOtherThan(excluded ...*node) *node {
	for _, n := range sim.nodes {
		found := false
		for _, o := range excluded {
			found = found || n == o
		}
		if !found {
			return n
		}
	}
	return nil
}

// run runs the scenario with a seed and a mutation.
func (s linkScenario) run(seed uint64, m Mutation) *Simulation {
	if s.length == 0 {
		s.length = 200 * time.Second
	}
	sim := New(Config{
		Seed:           seed,
		Mutation:       m,
		LinkMonitoring: true,
		Nodes:          s.nodes,
		RollingUpgrade: s.rollingUpgrade,
		NoArrivals:     true,
		ActiveDuration: s.length,
	})
	sim.submitContinuously()
	s.inject(sim)
	sim.Run()
	return sim
}
