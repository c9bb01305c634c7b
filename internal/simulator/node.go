package simulator

import (
	"math/rand/v2"
	"time"

	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

// node is a host that runs a controller process. The process can crash and restart; the node stays.
type node struct {
	sim         *Simulation
	name        string
	zone        string
	controller  *controller.Controller
	incarnation int // incremented at each start and each crash of the process
	alive       bool
	legacy      bool                         // the next process runs the version in production
	pausedUntil ident.MonotonicTime          // the process is paused until then; its clocks keep running
	env         *nodeEnv                     // environment of the current process
	eventPause  eventPause                   // pause in the middle of an event
	cache       map[string]cachedStatusReply // status replies by job, for the mutation CacheStatusReplies
}

// pauseFor pauses the node's process for d. If a pause is in progress, the one that ends later applies.
func (n *node) pauseFor(d time.Duration) {
	n.sim.logf("%s paused for %v", n.name, d)
	n.pausedUntil = max(n.pausedUntil, n.sim.now.Add(d))
}

// whenResponsive runs f as an event of the process with the given incarnation. If the process is paused, f runs after the
// pause; calls deferred by a pause keep their order. If the process has crashed, f is dropped.
func (n *node) whenResponsive(incarnation int, f func()) {
	switch {
	case !n.alive || n.incarnation != incarnation:
	case n.sim.now < n.pausedUntil:
		n.sim.schedule(n.pausedUntil.Sub(n.sim.now), func() { n.whenResponsive(incarnation, f) })
	default:
		n.eventPause.beginEvent(n.sim)
		f()
		n.controller.AfterEvent()
		n.eventPause.endEvent()
	}
}

// start starts a new process on the node.
func (n *node) start() {
	n.incarnation++
	n.alive = true
	n.pausedUntil = 0
	n.cache = map[string]cachedStatusReply{}
	set := &settings.Settings{
		Node:    ident.NodeID(n.name),
		Zone:    n.zone,
		Peers:   n.peers(),
		Cluster: n.sim.settings,
		Tuning:  n.tuning(),
	}
	e := &nodeEnv{
		node:        n,
		incarnation: n.incarnation,
		legacy:      n.legacy,
		startedAt:   n.sim.now,
		clockRate:   1 + (n.sim.rng.Float64()-0.5)*maxClockDrift,
	}
	n.env, n.eventPause = e, eventPause{}
	n.controller = controller.New(e, set, rand.New(rand.NewPCG(n.sim.rng.Uint64(), 1)))
	n.controller.Start()
	n.controller.AfterEvent()
}

// maxClockDrift is the largest difference between the clock rates of two nodes, relative to simulated time.
const maxClockDrift = 0.001

// tuning returns the tuning for the node's next process.
func (n *node) tuning() settings.Tuning {
	t := settings.DefaultTuning()
	t.Links.Enabled = n.sim.cfg.LinkMonitoring
	if n.sim.cfg.Rebalance != "" && !n.legacy {
		t.Rebalance = n.sim.cfg.Rebalance
	}
	if n.sim.cfg.Tune != nil {
		n.sim.cfg.Tune(&t)
	}
	switch n.sim.cfg.Mutation {
	case NoFlapDamping:
		t.Links.PenaltyHalfLife = time.Millisecond
	case UnboundedHandovers:
		t.Links.MinTermDuration, t.Links.StabilizationWindow = 0, 0
	case NoMaxWait:
		t.StarvationTimeout = 24 * time.Hour
	}
	return t
}

// peers returns the settings that describe the other nodes.
func (n *node) peers() (peers []settings.Peer) {
	n.sim.forEachPeer(n, func(o *node) {
		peers = append(peers, settings.Peer{Node: ident.NodeID(o.name), Zone: o.zone})
	})
	return peers
}

// crash kills the node's process and starts a new one after restartAfter. It does nothing if no process is running.
func (n *node) crash(restartAfter time.Duration) {
	if !n.alive {
		return
	}
	n.sim.logf("%s crashed, restarts in %v", n.name, restartAfter)
	n.alive = false
	n.incarnation++
	n.sim.schedule(restartAfter, n.start)
}
