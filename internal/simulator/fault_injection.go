package simulator

import (
	"time"

	"opaldale/internal/ident"
)

// faultKind is a kind of random fault. Kinds are drawn by number, so the numbers determine what a seed does and must not
// change.
type faultKind int

// Kinds of random faults. A kind with two numbers is drawn twice as often as the others.
const (
	nodeCrash              faultKind = 0 // and 1
	allNodesCrash          faultKind = 2
	storeOutage            faultKind = 3
	storeLinkLoss          faultKind = 4
	nodePartition          faultKind = 5
	peerLinksLoss          faultKind = 6
	machineLinksLoss       faultKind = 7
	workerPartition        faultKind = 8 // and 9
	workerHang             faultKind = 10
	spotReclaim            faultKind = 11
	storeRejection         faultKind = 12
	cloudOutage            faultKind = 13
	workerInboundLoss      faultKind = 14
	nodeIsolation          faultKind = 15 // and 16
	workerRestart          faultKind = 17
	zonePartition          faultKind = 18
	nodePause              faultKind = 19
	delayedWriteWindow     faultKind = 20
	droppedReplyWindow     faultKind = 21
	delayedHeartbeatWindow faultKind = 22
	heldHeartbeatWindow    faultKind = 23
	slowStoreWindow        faultKind = 24
	slowLinkWindow         faultKind = 25
	delayedCommandWindow   faultKind = 26
	fastBootWindow         faultKind = 27
	completionCancelling   faultKind = 28
	probeAfterReplyWindow  faultKind = 29
	workerOutboundLoss     faultKind = 30
	runningJobsCancelled   faultKind = 31
	edgeCaseRequests       faultKind = 32
	leaderRejectionOutage  faultKind = 33
	eventPauseWindow       faultKind = 34

	// singleFaultKinds bounds the numbers that are drawn without Config.ConcurrentFaults, and concurrentFaultKinds those
	// that are drawn with it.
	singleFaultKinds     = 20
	concurrentFaultKinds = 35
)

// The random part of the interval between two random faults, in milliseconds: an interval is one second plus a random time
// below these bounds.
const (
	faultIntervalJitterMS           = 14_000
	concurrentFaultIntervalJitterMS = 7_000 // short enough for two or three faults to overlap
)

// faultTarget holds the random parameters of a fault. They are drawn before the kind of the fault.
type faultTarget struct {
	node         *node // the leader with a higher probability than the others
	hold         bool  // a blocked link buffers messages until it recovers, instead of dropping them
	restartAfter time.Duration
	worker       *worker // nil: no machine is running
}

// faultInjectors holds the function that injects each kind of fault.
var faultInjectors = [concurrentFaultKinds]func(sim *Simulation, t faultTarget){
	nodeCrash:              crashNode,
	nodeCrash + 1:          crashNode,
	allNodesCrash:          crashAllNodes,
	storeOutage:            stopStore,
	storeLinkLoss:          disconnectNodeFromStore,
	nodePartition:          disconnectNode,
	peerLinksLoss:          disconnectPeers,
	machineLinksLoss:       disconnectMachines,
	workerPartition:        disconnectWorker,
	workerPartition + 1:    disconnectWorker,
	workerHang:             hangWorker,
	spotReclaim:            func(sim *Simulation, _ faultTarget) { sim.cloud.reclaimSpot(0.5) },
	storeRejection:         rejectNodeAtStore,
	cloudOutage:            stopCloud,
	workerInboundLoss:      blockInboundOfWorker,
	nodeIsolation:          isolateNode,
	nodeIsolation + 1:      isolateNode,
	workerRestart:          restartWorker,
	zonePartition:          partitionRandomZone,
	nodePause:              func(sim *Simulation, t faultTarget) { t.node.pauseFor(sim.randomSeconds(3, 45)) },
	delayedWriteWindow:     func(sim *Simulation, _ faultTarget) { sim.delayedWrites = sim.randomWindow(0.4) },
	droppedReplyWindow:     func(sim *Simulation, _ faultTarget) { sim.droppedReplies = sim.randomWindow(0.5) },
	delayedHeartbeatWindow: func(sim *Simulation, _ faultTarget) { sim.delayedHeartbeats = sim.randomWindow(0.3) },
	heldHeartbeatWindow:    holdHeartbeats,
	slowStoreWindow:        func(sim *Simulation, _ faultTarget) { sim.slowStore = sim.randomWindow(0.8) },
	slowLinkWindow:         func(sim *Simulation, _ faultTarget) { sim.slowLinks = sim.randomWindow(0.7) },
	delayedCommandWindow:   func(sim *Simulation, _ faultTarget) { sim.delayedCommands = sim.randomWindow(0.4) },
	fastBootWindow:         func(sim *Simulation, _ faultTarget) { sim.fastBoots = sim.randomWindow(1) },
	completionCancelling:   func(sim *Simulation, _ faultTarget) { sim.cancelAtCompletion = sim.randomWindow(0.7) },
	probeAfterReplyWindow:  func(sim *Simulation, _ faultTarget) { sim.probeAfterReply = sim.randomWindow(1) },
	workerOutboundLoss:     blockOutboundOfWorker,
	runningJobsCancelled:   cancelRandomJobs,
	edgeCaseRequests:       startEdgeCaseRequests,
	leaderRejectionOutage:  rejectLeaderThenStopStore,
	eventPauseWindow:       func(sim *Simulation, t faultTarget) { t.node.eventPause.window = sim.randomWindow(0.01) },
}

// injectFault injects a random fault and schedules the next one, until the active part of the run ends.
func (sim *Simulation) injectFault() {
	if sim.now > ident.MonotonicTime(sim.cfg.ActiveDuration) {
		return
	}
	target := sim.drawFaultTarget()
	if sim.cfg.LinkMonitoring && sim.rng.IntN(3) == 0 {
		sim.injectOneWayFault(target.node)
		sim.scheduleFault(faultIntervalJitterMS)
		return
	}
	if sim.cfg.ConcurrentFaults {
		faultInjectors[sim.rng.IntN(concurrentFaultKinds)](sim, target)
		sim.scheduleFault(concurrentFaultIntervalJitterMS)
		return
	}
	faultInjectors[sim.rng.IntN(singleFaultKinds)](sim, target)
	sim.scheduleFault(faultIntervalJitterMS)
}

// scheduleFault schedules the next random fault in one second plus up to jitterMS milliseconds.
func (sim *Simulation) scheduleFault(jitterMS int) {
	sim.schedule(time.Duration(1000+sim.rng.IntN(jitterMS))*time.Millisecond, sim.injectFault)
}

// drawFaultTarget draws the parameters of the next fault. The order of the draws must not change: it determines what a seed
// does.
func (sim *Simulation) drawFaultTarget() faultTarget {
	t := faultTarget{node: sim.nodes[sim.rng.IntN(len(sim.nodes))]}
	for _, n := range sim.nodes {
		if n.alive && n.controller.Election().LeaseValid() && sim.rng.IntN(2) == 0 {
			t.node = n
		}
	}
	t.hold = sim.rng.IntN(2) == 0
	t.restartAfter = sim.randomSeconds(2, 8)
	if sim.rng.IntN(3) == 0 {
		t.restartAfter = 200 * time.Millisecond
	}
	t.worker = sim.anyWorker()
	return t
}

// randomSeconds returns a random whole number of seconds in [atLeast, below).
func (sim *Simulation) randomSeconds(atLeast, below int) time.Duration {
	return time.Duration(atLeast+sim.rng.IntN(below-atLeast)) * time.Second
}

// randomWindow returns a window of random length that starts now, in which a fault occurs with the given probability.
func (sim *Simulation) randomWindow(probability float64) faultWindow {
	return faultWindow{probability, sim.now.Add(sim.randomSeconds(5, 30))}
}

func crashNode(_ *Simulation, t faultTarget) { t.node.crash(t.restartAfter) }

func crashAllNodes(sim *Simulation, t faultTarget) {
	for _, n := range sim.nodes {
		n.crash(t.restartAfter)
	}
}

func stopStore(sim *Simulation, _ faultTarget) {
	sim.logf("key-value store unavailable")
	sim.store.downUntil = sim.now.Add(sim.randomSeconds(3, 30))
}

func stopCloud(sim *Simulation, _ faultTarget) {
	sim.logf("cloud unavailable")
	sim.cloud.downUntil = sim.now.Add(sim.randomSeconds(3, 20))
}

func rejectNodeAtStore(sim *Simulation, t faultTarget) {
	sim.logf("key-value store rejects requests from %s", t.node.name)
	sim.store.rejectUntil[t.node.name] = sim.now.Add(sim.randomSeconds(3, 20))
}

func disconnectNodeFromStore(sim *Simulation, t faultTarget) {
	sim.disconnect(t.node.name, storeParty, t.hold, sim.randomSeconds(2, 20))
}

func disconnectNode(sim *Simulation, t faultTarget) {
	sim.disconnect(t.node.name, anyParty, t.hold, sim.randomSeconds(3, 30))
}

func disconnectPeers(sim *Simulation, t faultTarget) {
	sim.forEachPeer(t.node, func(n *node) {
		sim.disconnect(t.node.name, n.name, t.hold, sim.randomSeconds(3, 20))
	})
}

func disconnectMachines(sim *Simulation, t faultTarget) {
	sim.disconnect(t.node.name, machines, t.hold, sim.randomSeconds(5, 45))
}

// isolateNode disconnects a node from the store and the other nodes; workers and users can still reach it.
func isolateNode(sim *Simulation, t faultTarget) {
	sim.isolate(t.node, t.hold, sim.randomSeconds(3, 40))
}

func partitionRandomZone(sim *Simulation, t faultTarget) {
	sim.partitionZone(sim.settings.Zones[sim.rng.IntN(2)], t.hold, sim.randomSeconds(5, 60))
}

func disconnectWorker(sim *Simulation, t faultTarget) {
	if t.worker != nil {
		sim.disconnect(string(t.worker.id), anyParty, t.hold, sim.randomSeconds(3, 50))
	}
}

func hangWorker(sim *Simulation, t faultTarget) {
	if t.worker != nil {
		t.worker.hangFor(sim.randomSeconds(3, 40))
	}
}

func restartWorker(_ *Simulation, t faultTarget) {
	if t.worker != nil {
		t.worker.restart()
	}
}

func blockInboundOfWorker(sim *Simulation, t faultTarget) {
	if t.worker != nil {
		sim.logf("no message reaches %s", t.worker.id)
		sim.inboundBlockedUntil[string(t.worker.id)] = sim.now.Add(sim.randomSeconds(3, 50))
	}
}

func blockOutboundOfWorker(sim *Simulation, t faultTarget) {
	if t.worker != nil {
		sim.blockOutbound(t.worker, sim.randomSeconds(3, 40))
	}
}

func holdHeartbeats(sim *Simulation, _ faultTarget) {
	sim.holdHeartbeatsForNextLeader(0.3, sim.randomSeconds(5, 30))
}

func cancelRandomJobs(sim *Simulation, _ faultTarget) {
	sim.cancelRunning(1+sim.rng.IntN(3), time.Duration(sim.rng.IntN(2))*sim.randomSeconds(2, 19))
}

func startEdgeCaseRequests(sim *Simulation, _ faultTarget) {
	sim.sendEdgeCaseRequests(sim.now.Add(10 * time.Second))
}

// rejectLeaderThenStopStore makes the store reject the requests of the leader, and then those of all nodes for longer than
// a cancellation may take.
func rejectLeaderThenStopStore(sim *Simulation, _ faultTarget) {
	l := sim.leader()
	if l == nil {
		return
	}
	sim.store.rejectUntil[l.name] = sim.now.Add(14 * time.Second)
	sim.schedule(sim.randomSeconds(1, 5), func() {
		sim.store.downUntil = sim.now.Add(seconds(sim.settings.Workers.CancelS) + sim.randomSeconds(1, 12))
	})
}

// injectOneWayFault blocks one direction of one of a node's links, either once or repeatedly.
func (sim *Simulation) injectOneWayFault(n *node) {
	o := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	ends := []string{storeParty, cloudParty, machines}
	if o != n {
		ends = append(ends, o.name)
	}
	from, to := n.name, ends[sim.rng.IntN(len(ends))]
	if sim.rng.IntN(2) == 0 {
		from, to = to, from
	}
	total := time.Duration(5+sim.rng.IntN(40)) * time.Second
	if sim.rng.IntN(2) == 0 {
		sim.disconnectOneWay(from, to, sim.rng.IntN(3) == 0, total)
		return
	}
	period := time.Duration(1000+sim.rng.IntN(5000)) * time.Millisecond
	sim.flapLink(from, to, period*time.Duration(3+sim.rng.IntN(5))/10, period, total)
}
