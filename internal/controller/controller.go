// Package controller joins the duties into one node: it takes requests of users
// and workers, passes them to the leader, and leads when elected. It does no
// I/O: events and time come in, and what is to be done goes out by Env.
package controller

import (
	"math/rand/v2"
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/authority"
	"opaldale/internal/cloud"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	"opaldale/internal/links"
	"opaldale/internal/renewal"
	"opaldale/internal/settings"
	"opaldale/internal/transport"
	"opaldale/internal/upgrade"
	"opaldale/internal/workers"
)

// Env is the world around a controller. Its callbacks come one at a time, each
// followed by Settle.
type Env interface {
	Now() ident.MonotonicTime
	WallMS() int64
	After(time.Duration, func())
	Store(kvstore.Request, func(kvstore.Response))
	Cloud(cloud.Request, func(cloud.Response))
	Worker(workers.CommandCall, func(workers.CommandResult))
	SendPeer(to ident.NodeID, f *transport.Frame)
}

// peer is a sibling as seen from here.
type peer struct {
	lastHeard       ident.MonotonicTime
	everHeard       bool
	lastHeartbeatID uint64 // the newest
}

// Controller is one node.
type Controller struct {
	env          Env
	settings     *settings.Settings
	rng          *rand.Rand
	election     *election.Elector
	leader       *leaderTerm       // nil while not leading
	formatLevel  ident.FormatLevel // in force, as far as this node knows
	renewalGrace time.Duration

	peers           map[ident.NodeID]*peer
	pendingForwards map[uint64]func(Response)
	lastForwardID   uint64
	pollLimiter     tokenBucket

	sentHeartbeats renewal.SentHeartbeats
	renewer        renewal.Renewer
	// cancelledJobs holds jobs that were durably cancelled, as this node has passed on.
	cancelledJobs   *jobs.RecentJobs[struct{}]
	storeLastServed ident.MonotonicTime // when the state service last served this node
	links           *linkTracker        // nil unless links are watched
	authority       authority.Tracker

	// Counters for the metrics.
	Forwarded, Relayed, Refused, Elections, LeasesKept uint64
}

const (
	heartbeatInterval  = 700 * time.Millisecond
	peerTimeout        = 2500 * time.Millisecond
	forwardTimeout     = 1500 * time.Millisecond
	pollForwardTimeout = 700 * time.Millisecond
	storeTimeout       = time.Second
	graceMargin        = 1500 * time.Millisecond
	// leaderLinkGrace is how long the link to the leader may be down before users had better
	// go to another node: longer than an election takes.
	leaderLinkGrace = 4 * time.Second
	// storeProbeAfter is how long a node goes without the leader before it looks whether it
	// still reaches the state service, and storeCutOffAfter without that before it is cut off.
	storeProbeAfter  = 2 * time.Second
	storeCutOffAfter = 2 * time.Second
	// pollReadShare is the part of the state service's rate that polls may use, each
	// node's a like part of it.
	pollReadShare = 0.6
)

// New makes a node.
func New(env Env, cfg *settings.Settings, rng *rand.Rand) *Controller {
	workerSettings := cfg.Cluster.Workers
	c := &Controller{env: env, settings: cfg, rng: rng, peers: map[ident.NodeID]*peer{}, pendingForwards: map[uint64]func(Response){},
		lastForwardID: rng.Uint64(), cancelledJobs: jobs.NewRecentJobs[struct{}](maxCancelledJobs)}
	// An earlier leader may answer checkins for so long past its validity; a
	// worker that heard it last still loses its tasks before cancel_s is over.
	c.renewalGrace = max(0, settings.Seconds(workerSettings.CancelS-workerSettings.LeaseS*1.002)-graceMargin)
	for _, s := range cfg.Peers {
		c.peers[s.Node] = &peer{}
	}
	rate := pollReadShare * cfg.Cluster.Store.RPS / float64(max(1, cfg.Cluster.Nodes))
	c.pollLimiter = tokenBucket{tokens: rate, perSecond: rate, refilledAt: env.Now()}
	if cfg.Tuning.Links.Enabled {
		c.links = newLinkTracker(c)
		c.env = monitoredEnv{Env: env, tracker: c.links}
	}
	c.election = election.New(c.env, c, cfg.Node, cfg.Tuning.LeaderLease, rng)
	if c.links != nil {
		c.election.CampaignDelay = c.links.candidacyDelay
	}
	return c
}

// Start begins.
func (c *Controller) Start() {
	c.election.Start()
	c.sendHeartbeats()
	if c.links != nil {
		c.links.evaluate()
	}
	upgrade.Announce(c.env, c.rng, c.settings.Node)
}

// AfterEvent is called after every event, when all its consequences are in the
// tables: places what can be placed and writes what has changed.
func (c *Controller) AfterEvent() {
	if c.leader != nil {
		c.leader.afterEvent()
	}
}

// FormatLevel returns the format level in force, as far as this node knows.
func (c *Controller) FormatLevel() ident.FormatLevel { return c.formatLevel }

// Election returns the node's part in the elections.
func (c *Controller) Election() *election.Elector { return c.election }

// sendHeartbeats tells the siblings that we live, whether we lead, and what of theirs we heard.
func (c *Controller) sendHeartbeats() {
	now := c.env.Now()
	frame := transport.Frame{Type: transport.MsgHeartbeat, ID: c.rng.Uint64(), Heartbeat: transport.PeerHeartbeat{UptimeMS: transport.ToMillis(now.Sub(0)), SinceLeaderMS: transport.Never, SinceRenewalMS: transport.Never}}
	if c.election.LeaseValid() {
		frame.Node, frame.Term = c.settings.Node, c.election.Term()
		if c.leader.loaded {
			frame.Heartbeat.LeaseAllowanceMS = transport.ToMillis(c.leader.leaseAllowance(now))
		}
	}
	if ago, ever := c.renewer.SinceRenewal(now); ever {
		frame.Heartbeat.SinceRenewalMS = transport.ToMillis(ago)
	}
	if age, ever := c.renewer.SinceLeader(now); ever {
		frame.Heartbeat.SinceLeaderMS = transport.ToMillis(age)
		if age > storeProbeAfter && c.leader == nil {
			c.probeStore()
		}
	}
	c.sentHeartbeats.Record(frame.ID, now)
	var ownAdvertisement links.Advertisement
	if c.links != nil {
		ownAdvertisement = c.links.ownAdvertisement(now)
	}
	for _, s := range c.settings.Peers {
		peerFrame := frame
		peerFrame.Heartbeat.EchoID = c.peers[s.Node].lastHeartbeatID
		c.env.SendPeer(s.Node, &peerFrame)
		if c.links != nil {
			c.links.monitor.Sent(peerEndpoint(s.Node), now)
			c.links.sendAdvertisements(s.Node, ownAdvertisement, now)
		}
	}
	c.env.After(heartbeatInterval, c.sendHeartbeats)
}

// probeStore asks the state service for anything, to see whether it serves this node.
func (c *Controller) probeStore() {
	c.env.Store(kvstore.Request{Op: kvstore.Get, Key: election.LeaderKey, Timeout: storeTimeout}, func(r kvstore.Response) {
		if r.Outcome != kvstore.NoAnswer && r.Outcome != kvstore.Unavailable && r.Outcome != kvstore.RateLimited {
			c.storeLastServed = c.env.Now()
		}
	})
}

// handleHeartbeat takes what a sibling says of itself with a beat.
func (c *Controller) handleHeartbeat(from ident.NodeID, sender *peer, frame *transport.Frame) {
	now := c.env.Now()
	sender.lastHeartbeatID = frame.ID
	sentAt, echoed := c.sentHeartbeats.SentAt(frame.Heartbeat.EchoID)
	if c.links != nil {
		if echoed {
			c.links.monitor.Echoed(peerEndpoint(from), sentAt, now)
		}
		if frame.Node != "" {
			c.links.leaderHistory.ObserveTerm(frame.Term, now)
		}
	}
	if echoed && frame.Node == from {
		c.renewer.Permit(frame.Term, sentAt, transport.FromMillis(frame.Heartbeat.LeaseAllowanceMS))
	}
	if c.leader != nil {
		claim := renewal.PeerStatus{ProcessAge: transport.FromMillis(frame.Heartbeat.UptimeMS), SinceLeader: transport.FromMillis(frame.Heartbeat.SinceLeaderMS), HasRenewed: frame.Heartbeat.SinceRenewalMS != transport.Never, SinceRenewal: transport.FromMillis(frame.Heartbeat.SinceRenewalMS)}
		c.leader.renewals.ObserveHeartbeat(from, now, sentAt, echoed, claim)
	}
}

// renewLeaseWithoutLeader answers a worker while neither the leader nor the state service serves this
// node: both are cut off alike, or the leader has died and nobody can follow it. Its
// work goes on for as long as the leader allows.
func (c *Controller) renewLeaseWithoutLeader(heartbeat *api.Heartbeat) (Response, bool) {
	now := c.env.Now()
	if !c.renewer.MayRenew(now, heartbeat.FencingToken) || now.Sub(c.storeLastServed) < storeCutOffAfter {
		return Response{}, false
	}
	c.renewer.RecordRenewal(now)
	c.LeasesKept++
	commands := api.HeartbeatResponse{FencingToken: heartbeat.FencingToken, Commands: []api.Command{}}
	for _, task := range heartbeat.Tasks {
		// A kill is safe whoever leads; without it the task ends with the lease only.
		if _, ok := c.cancelledJobs.Get(task.TaskID.Job); ok && task.Status != api.Ended {
			commands.Commands = append(commands.Commands, workers.KillCommand(task.TaskID, task.Attempt))
		}
	}
	return jsonResponse(http.StatusOK, commands), true
}

// maxCancelledJobs bounds the memory kept for jobs that are known to be cancelled: those of the
// last minute, were 4,000 machines each to lose several to cancellations in it.
const maxCancelledJobs = 20_000

// rememberIfCancelled notes what a job is known to be: that it is cancelled is final.
func (c *Controller) rememberIfCancelled(id ident.JobID, status api.Status) {
	if status == api.StatusCancelled {
		c.cancelledJobs.Put(id, struct{}{})
	}
}

// OnStartedLeading begins a term.
func (c *Controller) OnStartedLeading(term ident.Term, level ident.FormatLevel, leaderKey kvstore.Compare) {
	c.Elections++
	c.formatLevel = max(c.formatLevel, level)
	if c.links != nil {
		c.links.leaderHistory.ObserveTerm(term, c.env.Now())
	}
	c.leader = newLeaderTerm(c, term, level, leaderKey)
	c.leader.loadState()
}

// OnStoppedLeading ends it: nothing of its memory is used again but what is final.
func (c *Controller) OnStoppedLeading(reason string) {
	if c.leader != nil {
		for _, j := range c.leader.jobs.Sorted() {
			c.rememberIfCancelled(j.Spec.ID, j.DurablePhase.Status()) // what is final can't change any more
		}
		c.leader.close()
		c.leader = nil
	}
}

// Healthy says whether the node can take requests: it leads, or hears the leader
// to pass them to, or at least nobody is known to do better.
func (c *Controller) Healthy() bool {
	if c.election.LeaseValid() {
		return true
	}
	if toLeader, known := c.leaderRoute(); known && toLeader.leader != c.settings.Node {
		return toLeader.reachable || c.leaderLinkBrieflyDown(toLeader.leader)
	}
	return c.heardAnyPeerWithin(peerTimeout) || len(c.peers) == 0
}

// leaderLinkBrieflyDown says whether the link to the leader is down for so short a time that a leader
// will be there before the load balancer could do without this node. (Links are found down
// sooner than a lease ends: each change of the lead had all nodes taken out for seconds.)
func (c *Controller) leaderLinkBrieflyDown(leader ident.NodeID) bool {
	if c.links == nil || !c.heardWithin(leader, peerTimeout) {
		return false
	}
	d, _ := c.links.downDuration(leader)
	return d <= leaderLinkGrace
}

// heardWithin says whether a sibling was heard within d.
func (c *Controller) heardWithin(n ident.NodeID, d time.Duration) bool {
	p := c.peers[n]
	return p != nil && p.everHeard && c.env.Now().Sub(p.lastHeard) < d
}

// heardAnyPeerWithin says whether any sibling was heard within d.
func (c *Controller) heardAnyPeerWithin(d time.Duration) bool {
	for _, p := range c.peers {
		if p.everHeard && c.env.Now().Sub(p.lastHeard) < d {
			return true
		}
	}
	return false
}

// reachable says whether frames to a sibling probably arrive.
func (c *Controller) reachable(n ident.NodeID) bool {
	if c.links != nil && !c.links.monitor.Delivering(peerEndpoint(n)) {
		return false // it is heard, and doesn't hear
	}
	return c.heardWithin(n, peerTimeout)
}

// HandleFrame takes a sibling's message.
func (c *Controller) HandleFrame(from ident.NodeID, frame *transport.Frame) {
	sender := c.peers[from]
	if sender == nil {
		return
	}
	sender.lastHeard, sender.everHeard = c.env.Now(), true
	if c.links != nil {
		c.links.monitor.Received(peerEndpoint(from), sender.lastHeard)
	}
	switch frame.Type {
	case transport.MsgLinkState:
		if c.links != nil {
			c.links.mergeAdvertisements(frame)
		}
	case transport.MsgTransferLeader:
		c.election.PreferSuccessor(frame.Node, frame.Term)
	case transport.MsgHeartbeat:
		if frame.Node != "" {
			c.election.PeerReportedLeader(frame.Node, frame.Term)
		}
		c.handleHeartbeat(from, sender, frame)
	case transport.MsgRequest:
		c.serveAsLeader(frame.Method, frame.JobID, frame.Body, false, c.responder(from, frame.ID))
	case transport.MsgRelayRequest:
		c.serveRelayed(frame, c.responder(from, frame.ID))
	case transport.MsgResponse:
		if reply := c.pendingForwards[frame.ID]; reply != nil {
			delete(c.pendingForwards, frame.ID)
			reply(Response{Status: int(frame.Status), RetryAfterS: int(frame.RetryAfterS), Body: frame.Body})
		}
	}
}

// responder returns what answers a sibling's request.
func (c *Controller) responder(to ident.NodeID, id uint64) func(Response) {
	return func(r Response) {
		c.env.SendPeer(to, &transport.Frame{Type: transport.MsgResponse, ID: id, Status: uint16(r.Status), RetryAfterS: uint16(r.RetryAfterS), Body: r.Body})
	}
}

// serveAsLeader answers as the leader, or refuses; direct requests came to this node.
func (c *Controller) serveAsLeader(method transport.Method, jobID string, body []byte, direct bool, reply func(Response)) {
	l := c.leader
	var spec *api.Spec
	if method == transport.SubmitJob {
		var err error
		if spec, err = api.ParseSpec(body); err != nil {
			// The same at every node and at any time. (Between two leaders it once got 503.)
			reply(errorResponse(http.StatusBadRequest, err.Error()))
			return
		}
	}
	switch {
	case method == transport.WorkerHeartbeat:
		c.handleWorkerHeartbeat(body, direct, reply)
	case method == transport.GetJob && !c.allows(authority.ServeReads):
		// Past the surely valid time memory may be behind a successor's.
		c.pollFromStore(jobID, reply)
	case method != transport.GetJob && !c.allows(authority.AcceptSubmissions):
		c.Refused++
		reply(unavailable("no leader at present"))
	case method == transport.SubmitJob:
		l.submit(spec, reply)
	case method == transport.GetJob:
		l.getJob(ident.JobID(jobID), reply)
	case method == transport.CancelJob:
		l.cancel(ident.JobID(jobID), reply)
	}
}

// handleWorkerHeartbeat answers a worker's report.
func (c *Controller) handleWorkerHeartbeat(body []byte, direct bool, reply func(Response)) {
	heartbeat, err := api.ParseHeartbeat(body)
	if err != nil {
		reply(errorResponse(http.StatusBadRequest, err.Error()))
		return
	}
	var commands *api.HeartbeatResponse
	var validUntil ident.MonotonicTime
	if l := c.leader; l != nil {
		if c.links != nil {
			c.links.noteWorkerHeartbeat(heartbeat, direct)
		}
		if c.allows(authority.CommandWorkers) {
			commands = l.workers.HandleHeartbeat(heartbeat)
			if commands != nil && api.ContainsLaunch(commands.Commands) {
				// Should this process stand still now, a successor may have told that
				// the job is cancelled before the answer goes out.
				validUntil = c.election.LeaseExpiry()
			}
			l.noteWorkerHeartbeat(l.workers.Workers[heartbeat.MachineID], direct)
		} else if c.allows(authority.RenewWorkerLeases) {
			commands = l.workers.RenewLeaseOnly(heartbeat)
		}
	}
	if commands == nil {
		reply(unavailable("not entitled to answer"))
		return
	}
	response := jsonResponse(http.StatusOK, commands)
	response.ValidUntil = validUntil
	reply(response)
}
