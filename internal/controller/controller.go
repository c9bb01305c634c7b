// Package controller is one node of the replicated controller: it takes requests of users and heartbeats of
// workers, forwards them to the leader, and schedules the cluster while it is the leader itself.
//
// It does no I/O of its own: events arrive as calls of its methods and as callbacks, and Env carries out its calls. It is
// not safe for concurrent use: all calls come from one event loop, which calls AfterEvent after each event.
//
// Where to begin reading: HandleRequest (forwarding.go) takes requests of users and workers, HandleFrame
// (requests.go) messages of peers, and AfterEvent (leader_loop.go) acts on what an event has changed. leaderTerm
// (leader_term.go) holds all that a node knows as the leader; recovery.go loads it when a term begins.
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
	formatLevel  ident.FormatLevel // in force, as far as this node knows
	renewalGrace time.Duration     // see renewalGrace

	peers           map[ident.NodeID]*peer
	pendingForwards map[uint64]func(Response) // replies to forwarded requests, by the ID of their frame
	lastForwardID   uint64
	pollLimiter     tokenBucket

	sentHeartbeats renewal.SentHeartbeats
	renewer        renewal.Renewer
	// cancelledJobs holds jobs that this node knows to be durably cancelled.
	cancelledJobs   *jobs.RecentJobs[struct{}]
	storeLastServed ident.MonotonicTime  // when the store last served this node
	links           *linktracker.Tracker // nil unless links are watched
	authority       authority.Tracker

	Counters
}

// Counters count events of a node since it was started.
type Counters struct {
	Forwarded  uint64 // requests forwarded to the leader
	Relayed    uint64 // forwarded requests that a peer relayed
	Refused    uint64 // requests refused that may succeed later
	Elections  uint64 // terms that the node has begun as the leader
	LeasesKept uint64 // leases of workers renewed without the leader
}

const (
	storeTimeout = time.Second
	// pollReadShare is the share of the store's request rate that polls may use; each node has an
	// equal part of it.
	pollReadShare = 0.6
	// graceMargin is kept between the last lease that a node may grant and the end of cancel_s.
	graceMargin = 1500 * time.Millisecond
)

// New returns a node that takes no part in the cluster until Start.
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

// renewalGrace returns how long after the expiry of its own lease a leader may renew leases of workers. A lease renewed at the
// end of the grace still expires within cancel_s, also with the largest drift between clocks.
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

// AfterEvent must be called after every event. A leader then places waiting tasks, if the event may have made that
// possible, and writes to the store what the event has changed.
func (c *Controller) AfterEvent() {
	if c.leader != nil {
		c.leader.afterEvent()
	}
}

// FormatLevel returns the format level in force, as far as this node knows.
func (c *Controller) FormatLevel() ident.FormatLevel { return c.formatLevel }

// Election returns the node's part in the elections.
func (c *Controller) Election() *election.Elector { return c.election }

// OnStartedLeading begins a term: it implements election.Callbacks.
func (c *Controller) OnStartedLeading(term ident.Term, level ident.FormatLevel, leaderKey kvstore.Compare) {
	c.Elections++
	c.formatLevel = max(c.formatLevel, level)
	c.links.ObserveTerm(term, c.env.Now())
	c.leader = newLeaderTerm(c, term, level, leaderKey)
	c.leader.loadState()
}

// OnStoppedLeading ends the term: it implements election.Callbacks. Only the cancellations that are durable outlive the
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

// Healthy reports whether a load balancer should send requests to this node: it leads, or reaches the leader, or no
// other node is known to lead and a peer is heard. A node without peers is always healthy.
func (c *Controller) Healthy() bool {
	if c.election.LeaseValid() {
		return true
	}
	if toLeader := c.leaderRoute(); toLeader.known && toLeader.leader != c.settings.Node {
		return toLeader.reachable || c.leaderLinkBrieflyDown(toLeader.leader)
	}
	return c.heardAnyPeerWithin(peerTimeout) || len(c.peers) == 0
}
