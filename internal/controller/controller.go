// Package controller implements one node of the replicated controller. A node receives requests from users and heartbeats
// from workers, and forwards them to the leader. The node that is the leader schedules the cluster.
//
// The package does no I/O: events arrive as method calls and callbacks, and an Env carries out the calls to other services
// and nodes. A Controller is not safe for concurrent use: all calls must come from one event loop, which calls AfterEvent
// after each event.
//
// The entry points are HandleRequest (forwarding.go) for requests from users and workers, HandleFrame (requests.go) for
// messages from peers, and AfterEvent (leader_loop.go) for the work that an event makes necessary. leaderTerm
// (leader_term.go) is the in-memory state of a leader; recovery.go loads it when a term begins.
package controller

import (
	"math/rand/v2"
	"time"

	"opaldale/internal/authority"
	"opaldale/internal/cloud"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	"opaldale/internal/linktracker"
	"opaldale/internal/renewal"
	"opaldale/internal/settings"
	"opaldale/internal/transport"
	"opaldale/internal/upgrade"
	"opaldale/internal/workers"
)

// Env provides clocks, timers, and calls to the services and nodes that a controller depends on. Callbacks run one at a
// time on the goroutine of the event loop, each followed by Controller.AfterEvent.
type Env interface {
	Now() ident.MonotonicTime
	WallMS() int64 // the wall clock, in milliseconds since the epoch
	After(time.Duration, func())
	Store(kvstore.Request, func(kvstore.Response))
	Cloud(cloud.Request, func(cloud.Response))
	Worker(workers.CommandCall, func(workers.CommandResult))
	SendPeer(to ident.NodeID, f *transport.Frame)
}

// Controller is one node of the replicated controller. New creates it, Start makes it join the cluster.
type Controller struct {
	env          Env
	settings     *settings.Settings
	rng          *rand.Rand
	election     *election.Elector
	leader       *leaderTerm       // nil while not leading
	formatLevel  ident.FormatLevel // highest format level that is known to be enabled
	renewalGrace time.Duration     // see the function of the same name

	peers           map[ident.NodeID]*peer
	pendingForwards map[uint64]func(Response) // reply callbacks of forwarded requests, by frame ID
	lastForwardID   uint64
	pollLimiter     tokenBucket

	sentHeartbeats renewal.SentHeartbeats
	renewer        renewal.Renewer
	// cancelledJobs holds the most recent jobs that this node has seen as durably cancelled.
	cancelledJobs   *jobs.RecentJobs[struct{}]
	storeLastServed ident.MonotonicTime  // time of the store's last usable response to a probe
	links           *linktracker.Tracker // nil if link tracking is disabled
	authority       authority.Tracker

	Counters
}

// Counters count events of a node since its start.
type Counters struct {
	Forwarded                  uint64 // requests forwarded to the leader
	Relayed                    uint64 // forwarded requests that were sent through a relaying peer
	Refused                    uint64 // refused requests that may succeed if retried
	Elections                  uint64 // terms that the node has started as the leader
	LeasesRenewedWithoutLeader uint64 // worker leases that the node has renewed without the leader
}

const (
	storeTimeout = time.Second
	// pollReadShare is the fraction of the store's request rate that polls may use. It is divided equally among the
	// nodes.
	pollReadShare = 0.6
	// graceMargin is the safety margin between the latest expiry of a worker lease and the end of cancel_s.
	graceMargin = 1500 * time.Millisecond
)

// New returns a node that does not join the cluster until Start is called.
func New(env Env, cfg *settings.Settings, rng *rand.Rand) *Controller {
	c := &Controller{
		env:             env,
		settings:        cfg,
		rng:             rng,
		renewalGrace:    renewalGrace(cfg.Cluster.Workers),
		peers:           map[ident.NodeID]*peer{},
		pendingForwards: map[uint64]func(Response){},
		lastForwardID:   rng.Uint64(),
		cancelledJobs:   jobs.NewRecentJobs[struct{}](maxCancelledJobs),
	}
	for _, s := range cfg.Peers {
		c.peers[s.Node] = &peer{}
	}
	rate := pollReadShare * cfg.Cluster.Store.RPS / float64(max(1, cfg.Cluster.Nodes))
	c.pollLimiter = tokenBucket{tokens: rate, perSecond: rate, refilledAt: env.Now()}
	c.links = newLinkTracker(c)
	if c.links.Enabled() {
		c.env = c.links.Env()
	}
	c.election = election.New(c.env, c, cfg.Node, cfg.Tuning.LeaderLease, rng)
	if c.links.Enabled() {
		c.election.CampaignDelay = c.links.CandidacyDelay
	}
	return c
}

// renewalGrace returns how long after the expiry of its own lease a leader may renew worker leases. A worker lease that is
// renewed at the end of the grace still expires within cancel_s, even with the largest drift between clocks.
func renewalGrace(times settings.WorkerTimes) time.Duration {
	return max(0, settings.Seconds(times.CancelS-times.LeaseS*ident.ClockDriftFactor)-graceMargin)
}

// Start joins the cluster: the node takes part in elections and sends heartbeats to its peers.
func (c *Controller) Start() {
	c.election.Start()
	c.sendHeartbeats()
	c.links.Start()
	upgrade.Announce(c.env, c.rng, c.settings.Node)
}

// AfterEvent must be called after every event. On a leader it places waiting tasks, if the event may have made that
// possible, and writes changed records to the store.
func (c *Controller) AfterEvent() {
	if c.leader != nil {
		c.leader.afterEvent()
	}
}

// FormatLevel returns the highest format level of stored data that is known to be enabled.
func (c *Controller) FormatLevel() ident.FormatLevel { return c.formatLevel }

// Election returns the node's elector.
func (c *Controller) Election() *election.Elector { return c.election }

// OnStartedLeading begins a term as the leader. It implements election.Callbacks.
func (c *Controller) OnStartedLeading(term ident.Term, level ident.FormatLevel, leaderKey kvstore.Compare) {
	c.Elections++
	c.formatLevel = max(c.formatLevel, level)
	c.links.ObserveTerm(term, c.env.Now())
	c.leader = newLeaderTerm(c, term, level, leaderKey)
	c.leader.loadState()
}

// OnStoppedLeading ends the term. It implements election.Callbacks. The node keeps only durable cancellations beyond the
// term, since they are final.
func (c *Controller) OnStoppedLeading(election.StepDownReason) {
	if c.leader == nil {
		return
	}
	for _, j := range c.leader.jobs.Sorted() {
		c.rememberIfCancelled(j.Spec.ID, j.DurablePhase.Status())
	}
	c.leader.close()
	c.leader = nil
}

// Healthy reports whether a load balancer should send requests to this node: it is the leader, it can reach the leader, or
// no other node is known to lead and a message from a peer has arrived recently. A node without peers is always healthy.
func (c *Controller) Healthy() bool {
	if c.election.LeaseValid() {
		return true
	}
	if toLeader := c.leaderRoute(); toLeader.known && toLeader.leader != c.settings.Node {
		return toLeader.reachable || c.leaderLinkBrieflyDown(toLeader.leader)
	}
	return c.receivedFromAnyPeerWithin(peerTimeout) || len(c.peers) == 0
}
