package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

// node is a controller's machine; its process comes and goes.
type node struct {
	sim         *Simulation
	name        string
	zone        string
	controller  *controller.Controller
	incarnation int // counts the processes
	alive       bool
	legacy      bool                    // its next process is of the version in production
	pausedUntil ident.MonotonicTime     // its process stands still until then, though its clocks run on
	env         *nodeEnv                // of the present process
	eventPause  eventPause              // within an event
	cache       map[string]cachedAnswer // of the mutation CacheStatusAnswers
}

// pauseFor has the node's process stand still.
func (n *node) pauseFor(d time.Duration) {
	n.sim.logf("%s stands still for %v", n.name, d)
	n.pausedUntil = max(n.pausedUntil, n.sim.now.Add(d))
}

// whenResponsive runs f in the process of that life once it doesn't stand still: what comes
// meanwhile waits, in its order.
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

func (n *node) start() {
	n.incarnation++
	n.alive = true
	n.pausedUntil = 0
	n.cache = map[string]cachedAnswer{}
	set := &settings.Settings{Node: ident.NodeID(n.name), Zone: n.zone, Cluster: n.sim.settings, Tuning: settings.DefaultTuning()}
	set.Tuning.Links.Enabled = n.sim.cfg.LinkMonitoring
	if n.sim.cfg.Rebalance != "" && !n.legacy {
		set.Tuning.Rebalance = n.sim.cfg.Rebalance
	}
	if n.sim.cfg.Tune != nil {
		n.sim.cfg.Tune(&set.Tuning)
	}
	if n.sim.mutates(NoFlapDamping) {
		set.Tuning.Links.PenaltyHalfLife = time.Millisecond
	}
	if n.sim.mutates(UnboundedHandovers) {
		set.Tuning.Links.MinLeadTime, set.Tuning.Links.BetterPeerFor = 0, 0
	}
	if n.sim.mutates(NoMaxWait) {
		set.Tuning.StarvationTimeout = 24 * time.Hour
	}
	for _, o := range n.sim.nodes {
		if o != n {
			set.Peers = append(set.Peers, settings.Peer{Node: ident.NodeID(o.name), Zone: o.zone})
		}
	}
	if len(set.Peers) == 0 {
		for i := range n.sim.settings.Nodes {
			if name := fmt.Sprintf(nodePrefix+"%d", i); name != n.name {
				set.Peers = append(set.Peers, settings.Peer{Node: ident.NodeID(name)})
			}
		}
	}
	e := &nodeEnv{node: n, incarnation: n.incarnation, legacy: n.legacy, startedAt: n.sim.now,
		clockRate: 1 + (n.sim.rng.Float64()-0.5)*0.001}
	n.env, n.eventPause = e, eventPause{}
	n.controller = controller.New(e, set, rand.New(rand.NewPCG(n.sim.rng.Uint64(), 1)))
	n.controller.Start()
	n.controller.AfterEvent()
}

func (n *node) crash(restartAfter time.Duration) {
	if !n.alive {
		return
	}
	n.sim.logf("%s is killed, back in %v", n.name, restartAfter)
	n.alive = false
	n.incarnation++
	n.sim.schedule(restartAfter, n.start)
}
