package simulator

import (
	"math/rand/v2"
	"time"

	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

// node is the machine of a controller, whose process crashes and restarts.
type node struct {
	sim         *Simulation
	name        string
	zone        string
	controller  *controller.Controller
	incarnation int // counts the starts and crashes of processes
	alive       bool
	legacy      bool                    // its next process runs the version in production
	pausedUntil ident.MonotonicTime     // its process is paused until then, while its clocks go on
	env         *nodeEnv                // of the present process
	eventPause  eventPause              // in the midst of an event
	cache       map[string]cachedAnswer // replies by job, under CacheStatusAnswers
}

// pauseFor pauses the node's process.
func (n *node) pauseFor(d time.Duration) {
	n.sim.logf("%s paused for %v", n.name, d)
	n.pausedUntil = max(n.pausedUntil, n.sim.now.Add(d))
}

// whenResponsive runs f in the process of an incarnation, if it still runs, once it is not paused. What arrives during a
// pause waits, in order.
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

// start starts the node's next process.
func (n *node) start() {
	n.incarnation++
	n.alive = true
	n.pausedUntil = 0
	n.cache = map[string]cachedAnswer{}
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

// maxClockDrift is by how much the rates of two nodes' clocks may differ.
const maxClockDrift = 0.001

// tuning returns the tuning of the node's next process.
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

// peers returns the settings of the other nodes.
func (n *node) peers() (peers []settings.Peer) {
	n.sim.forEachPeer(n, func(o *node) {
		peers = append(peers, settings.Peer{Node: ident.NodeID(o.name), Zone: o.zone})
	})
	return peers
}

// crash kills the node's process and restarts it later.
func (n *node) crash(restartAfter time.Duration) {
	if !n.alive {
		return
	}
	n.sim.logf("%s crashed, restarts in %v", n.name, restartAfter)
	n.alive = false
	n.incarnation++
	n.sim.schedule(restartAfter, n.start)
}
