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
	"opaldale/internal/links"
	"opaldale/internal/mesh"
	"opaldale/internal/renewal"
	"opaldale/internal/settings"
	"opaldale/internal/statesvc"
	"opaldale/internal/upgrade"
	"opaldale/internal/workers"
)

// Env is the world around a controller. Its callbacks come one at a time, each
// followed by Settle.
type Env interface {
	Now() ident.MonotonicTime
	WallMS() int64
	After(time.Duration, func())
	Store(statesvc.Request, func(statesvc.Response))
	Cloud(cloud.Request, func(cloud.Response))
	Worker(workers.CommandCall, func(workers.CommandResult))
	Mesh(to ident.NodeID, f *mesh.Frame)
}

// peer is a sibling as seen from here.
type peer struct {
	heard ident.MonotonicTime
	ever  bool
	beat  uint64 // the newest
}

// Controller is one node.
type Controller struct {
	env   Env
	set   *settings.Settings
	rng   *rand.Rand
	elect *election.Elector
	lead  *lead             // nil while not leading
	level ident.FormatLevel // in force, as far as this node knows
	grace time.Duration

	peers map[ident.NodeID]*peer
	asks  map[uint64]func(Reply)
	askID uint64
	reads bucket

	heartbeats renewal.SentHeartbeats
	renewer    renewal.Renewer
	// cancelled holds jobs that were durably cancelled, as this node has passed on.
	cancelled *jobs.RecentJobs[struct{}]
	seen      ident.MonotonicTime // when the state service last served this node
	links     *linkView           // nil unless links are watched
	authority authority.Tracker

	// Counters for the metrics.
	Forwarded, Relayed, Refused, Elections, LeasesKept uint64
}

const (
	beatEvery   = 700 * time.Millisecond
	peerSilent  = 2500 * time.Millisecond
	forwardTime = 1500 * time.Millisecond
	pollTime    = 700 * time.Millisecond
	commitTime  = time.Second
	graceMargin = 1500 * time.Millisecond
	// healthPatience is how long the link to the leader may be down before users had better
	// go to another node: longer than an election takes.
	healthPatience = 4 * time.Second
	// lookAfter is how long a node goes without the leader before it looks whether it
	// still reaches the state service, and cutAfter without that before it is cut off.
	lookAfter = 2 * time.Second
	cutAfter  = 2 * time.Second
	// readShare is the part of the state service's rate that polls may use, each
	// node's a like part of it.
	readShare = 0.6
)

// New makes a node.
func New(env Env, set *settings.Settings, rng *rand.Rand) *Controller {
	w := set.Cluster.Workers
	c := &Controller{env: env, set: set, rng: rng, peers: map[ident.NodeID]*peer{}, asks: map[uint64]func(Reply){},
		askID: rng.Uint64(), cancelled: jobs.NewRecentJobs[struct{}](maxCancelled)}
	// An earlier leader may answer checkins for so long past its validity; a
	// worker that heard it last still loses its tasks before cancel_s is over.
	c.grace = max(0, settings.Seconds(w.CancelS-w.LeaseS*1.002)-graceMargin)
	for _, s := range set.Peers {
		c.peers[s.Node] = &peer{}
	}
	rate := readShare * set.Cluster.Store.RPS / float64(max(1, set.Cluster.Nodes))
	c.reads = bucket{tokens: rate, perSecond: rate, filled: env.Now()}
	if set.Tuning.Links.Enabled {
		c.links = newLinkView(c)
		c.env = observedEnv{Env: env, view: c.links}
	}
	c.elect = election.New(c.env, c, set.Node, set.Tuning.LeaderLease, rng)
	if c.links != nil {
		c.elect.CampaignDelay = c.links.hesitate
	}
	return c
}

// Start begins.
func (c *Controller) Start() {
	c.elect.Start()
	c.beat()
	if c.links != nil {
		c.links.evaluate()
	}
	upgrade.Announce(c.env, c.rng, c.set.Node)
}

// Settle is called after every event, when all its consequences are in the
// tables: places what can be placed and writes what has changed.
func (c *Controller) Settle() {
	if c.lead != nil {
		c.lead.settle()
	}
}

// Level returns the format level in force, as far as this node knows.
func (c *Controller) Level() ident.FormatLevel { return c.level }

// Election returns the node's part in the elections.
func (c *Controller) Election() *election.Elector { return c.elect }

// beat tells the siblings that we live, whether we lead, and what of theirs we heard.
func (c *Controller) beat() {
	now := c.env.Now()
	f := mesh.Frame{Kind: mesh.Heartbeat, ID: c.rng.Uint64(), Life: mesh.Life{ProcessAge: mesh.Millis(now.Sub(0)), SinceLeader: mesh.None, SinceRenewal: mesh.None}}
	if c.elect.LeaseValid() {
		f.Node, f.Term = c.set.Node, c.elect.Term()
		if c.lead.ready {
			f.Life.Allowance = mesh.Millis(c.lead.allowance(now))
		}
	}
	if ago, ever := c.renewer.SinceRenewal(now); ever {
		f.Life.SinceRenewal = mesh.Millis(ago)
	}
	if age, ever := c.renewer.SinceLeader(now); ever {
		f.Life.SinceLeader = mesh.Millis(age)
		if age > lookAfter && c.lead == nil {
			c.look()
		}
	}
	c.heartbeats.Record(f.ID, now)
	var own links.Row
	if c.links != nil {
		own = c.links.row(now)
	}
	for _, s := range c.set.Peers {
		g := f
		g.Life.Echo = c.peers[s.Node].beat
		c.env.Mesh(s.Node, &g)
		if c.links != nil {
			c.links.monitor.Sent(siblingLink(s.Node), now)
			c.links.send(s.Node, own, now)
		}
	}
	c.env.After(beatEvery, c.beat)
}

// look asks the state service for anything, to see whether it serves this node.
func (c *Controller) look() {
	c.env.Store(statesvc.Request{Op: statesvc.Get, Key: election.LeaderKey, Timeout: commitTime}, func(r statesvc.Response) {
		if r.Outcome != statesvc.NoAnswer && r.Outcome != statesvc.Unavailable && r.Outcome != statesvc.RateLimited {
			c.seen = c.env.Now()
		}
	})
}

// hear takes what a sibling says of itself with a beat.
func (c *Controller) hear(from ident.NodeID, p *peer, f *mesh.Frame) {
	now := c.env.Now()
	p.beat = f.ID
	at, echoed := c.heartbeats.SentAt(f.Life.Echo)
	if c.links != nil {
		if echoed {
			c.links.monitor.Echoed(siblingLink(from), at, now)
		}
		if f.Node != "" {
			c.links.history.ObserveTerm(f.Term, now)
		}
	}
	if echoed && f.Node == from {
		c.renewer.Permit(f.Term, at, mesh.Duration(f.Life.Allowance))
	}
	if c.lead != nil {
		w := renewal.PeerStatus{ProcessAge: mesh.Duration(f.Life.ProcessAge), SinceLeader: mesh.Duration(f.Life.SinceLeader), HasRenewed: f.Life.SinceRenewal != mesh.None, SinceRenewal: mesh.Duration(f.Life.SinceRenewal)}
		c.lead.renewals.ObserveHeartbeat(from, now, at, echoed, w)
	}
}

// keepLease answers a worker while neither the leader nor the state service serves this
// node: both are cut off alike, or the leader has died and nobody can follow it. Its
// work goes on for as long as the leader allows.
func (c *Controller) keepLease(r *api.Heartbeat) (Reply, bool) {
	now := c.env.Now()
	if !c.renewer.MayRenew(now, r.FencingToken) || now.Sub(c.seen) < cutAfter {
		return Reply{}, false
	}
	c.renewer.RecordRenewal(now)
	c.LeasesKept++
	o := api.HeartbeatResponse{FencingToken: r.FencingToken, Commands: []api.Command{}}
	for _, p := range r.Tasks {
		// A kill is safe whoever leads; without it the task ends with the lease only.
		if _, ok := c.cancelled.Get(p.TaskID.Job); ok && p.Status != api.Ended {
			o.Commands = append(o.Commands, workers.KillCommand(p.TaskID, p.Attempt))
		}
	}
	return answer(http.StatusOK, o), true
}

// maxCancelled bounds the memory kept for jobs that are known to be cancelled: those of the
// last minute, were 4,000 machines each to lose several to cancellations in it.
const maxCancelled = 20_000

// learned notes what a job is known to be: that it is cancelled is final.
func (c *Controller) learned(id ident.JobID, status string) {
	if status == jobs.Cancelled.String() {
		c.cancelled.Put(id, struct{}{})
	}
}

// OnStartedLeading begins a term.
func (c *Controller) OnStartedLeading(t ident.Term, l ident.FormatLevel, key statesvc.Compare) {
	c.Elections++
	c.level = max(c.level, l)
	if c.links != nil {
		c.links.history.ObserveTerm(t, c.env.Now())
	}
	c.lead = newLead(c, t, l, key)
	c.lead.load()
}

// OnStoppedLeading ends it: nothing of its memory is used again but what is final.
func (c *Controller) OnStoppedLeading(why string) {
	if c.lead != nil {
		for _, j := range c.lead.jobs.Sorted() {
			c.learned(j.Spec.ID, j.DurablePhase.String()) // what is final can't change any more
		}
		c.lead.close()
		c.lead = nil
	}
}

// Healthy says whether the node can take requests: it leads, or hears the leader
// to pass them to, or at least nobody is known to do better.
func (c *Controller) Healthy() bool {
	if c.elect.LeaseValid() {
		return true
	}
	if way, known := c.leaderRoute(); known && way.to != c.set.Node {
		return way.up || c.mayReturn(way.to)
	}
	return c.hears(peerSilent) || len(c.peers) == 0
}

// mayReturn says whether the link to the leader is down for so short a time that a leader
// will be there before the load balancer could do without this node. (Links are found down
// sooner than a lease ends: each change of the lead had all nodes taken out for seconds.)
func (c *Controller) mayReturn(leader ident.NodeID) bool {
	if c.links == nil || !c.heardWithin(leader, peerSilent) {
		return false
	}
	d, _ := c.links.downTime(leader)
	return d <= healthPatience
}

// heardWithin says whether a sibling was heard within d.
func (c *Controller) heardWithin(n ident.NodeID, d time.Duration) bool {
	p := c.peers[n]
	return p != nil && p.ever && c.env.Now().Sub(p.heard) < d
}

// hears says whether any sibling was heard within d.
func (c *Controller) hears(d time.Duration) bool {
	for _, p := range c.peers {
		if p.ever && c.env.Now().Sub(p.heard) < d {
			return true
		}
	}
	return false
}

// reachable says whether frames to a sibling probably arrive.
func (c *Controller) reachable(n ident.NodeID) bool {
	if c.links != nil && !c.links.monitor.Passing(siblingLink(n)) {
		return false // it is heard, and doesn't hear
	}
	return c.heardWithin(n, peerSilent)
}

// Frame takes a sibling's message.
func (c *Controller) Frame(from ident.NodeID, f *mesh.Frame) {
	p := c.peers[from]
	if p == nil {
		return
	}
	p.heard, p.ever = c.env.Now(), true
	if c.links != nil {
		c.links.monitor.Heard(siblingLink(from), p.heard)
	}
	switch f.Kind {
	case mesh.Links:
		if c.links != nil {
			c.links.take(f)
		}
	case mesh.Yield:
		c.elect.PreferSuccessor(f.Node, f.Term)
	case mesh.Heartbeat:
		if f.Node != "" {
			c.elect.PeerReportedLeader(f.Node, f.Term)
		}
		c.hear(from, p, f)
	case mesh.Ask:
		c.serve(f.Verb, f.Job, f.Body, false, c.tell(from, f.ID))
	case mesh.Relay:
		c.relayed(f, c.tell(from, f.ID))
	case mesh.Tell:
		if g := c.asks[f.ID]; g != nil {
			delete(c.asks, f.ID)
			g(Reply{Status: int(f.Status), Retry: int(f.Retry), Body: f.Body})
		}
	}
}

// tell returns what answers a sibling's request.
func (c *Controller) tell(to ident.NodeID, id uint64) func(Reply) {
	return func(r Reply) {
		c.env.Mesh(to, &mesh.Frame{Kind: mesh.Tell, ID: id, Status: uint16(r.Status), Retry: uint16(r.Retry), Body: r.Body})
	}
}

// serve answers as the leader, or refuses; direct requests came to this node.
func (c *Controller) serve(v mesh.Verb, job string, body []byte, direct bool, reply func(Reply)) {
	l := c.lead
	var spec *api.Spec
	if v == mesh.Submit {
		var err error
		if spec, err = api.ParseSpec(body); err != nil {
			// The same at every node and at any time. (Between two leaders it once got 503.)
			reply(problem(http.StatusBadRequest, err.Error()))
			return
		}
	}
	switch {
	case v == mesh.Checkin:
		c.checkin(body, direct, reply)
	case v == mesh.Poll && !c.may(authority.ServeReads):
		// Past the surely valid time memory may be behind a successor's.
		c.read(job, reply)
	case v != mesh.Poll && !c.may(authority.AcceptSubmissions):
		c.Refused++
		reply(unavailable("no leader at present"))
	case v == mesh.Submit:
		l.submit(spec, reply)
	case v == mesh.Poll:
		l.poll(ident.JobID(job), reply)
	case v == mesh.Cancel:
		l.cancel(ident.JobID(job), reply)
	}
}

// checkin answers a worker's report.
func (c *Controller) checkin(body []byte, direct bool, reply func(Reply)) {
	r, err := api.ParseHeartbeat(body)
	if err != nil {
		reply(problem(http.StatusBadRequest, err.Error()))
		return
	}
	var o *api.HeartbeatResponse
	var until ident.MonotonicTime
	if l := c.lead; l != nil {
		if c.links != nil {
			c.links.reported(r, direct)
		}
		if c.may(authority.CommandWorkers) {
			o = l.workers.HandleHeartbeat(r)
			if o != nil && api.ContainsLaunch(o.Commands) {
				// Should this process stand still now, a successor may have told that
				// the job is cancelled before the answer goes out.
				until = c.elect.LeaseExpiry()
			}
			l.heard(l.workers.Workers[r.MachineID], direct)
		} else if c.may(authority.RenewWorkerLeases) {
			o = l.workers.RenewLeaseOnly(r)
		}
	}
	if o == nil {
		reply(unavailable("not entitled to answer"))
		return
	}
	a := answer(http.StatusOK, o)
	a.Until = until
	reply(a)
}
