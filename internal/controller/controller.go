// Package controller joins the duties into one node: it takes requests of users
// and workers, passes them to the leader, and leads when elected. It does no
// I/O: events and time come in, and what is to be done goes out by Env.
package controller

import (
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/mesh"
	"opaldale/internal/settings"
	"opaldale/internal/statesvc"
	"opaldale/internal/upgrade"
	"opaldale/internal/vouch"
	"opaldale/internal/workers"
)

// Env is the world around a controller. Its callbacks come one at a time, each
// followed by Settle.
type Env interface {
	Now() ident.Mono
	WallMS() int64
	After(time.Duration, func())
	State(statesvc.Request, func(statesvc.Reply))
	Cloud(cloud.Request, func(cloud.Reply))
	Worker(workers.Command, func(workers.Answer))
	Mesh(to ident.NodeID, f *mesh.Frame)
}

// Reply answers a request of a user or a worker.
type Reply struct {
	Status int
	Retry  int // Retry-After in seconds, 0 for none
	Body   []byte
	// Until is when the answer may be out of date, by this node's clock; 0: never.
	Until ident.Mono
}

// within bounds an answer's time, if it says that the request was taken.
func (r Reply) within(at ident.Mono) Reply {
	if r.Status < http.StatusInternalServerError && (r.Until == 0 || at < r.Until) {
		r.Until = at
	}
	return r
}

// Now returns the answer if it still holds at that time.
func (r Reply) Now(now ident.Mono) Reply {
	if r.Until > 0 && now >= r.Until {
		return unavailable("the answer came too late")
	}
	return r
}

func answer(status int, v any) Reply { return Reply{Status: status, Body: api.JSON(v)} }

func problem(status int, text string) Reply { return answer(status, api.Problem{Error: text}) }

// ack is the short answer about a job that is known.
func ack(v api.View) Reply { return answer(http.StatusOK, api.Ack{ID: v.ID, Status: v.Status}) }

// retryAfter tells a client when to come back: about the time of a failover.
const retryAfter = 1

func unavailable(text string) Reply {
	r := problem(http.StatusServiceUnavailable, text)
	r.Retry = retryAfter
	return r
}

// peer is a sibling as seen from here.
type peer struct {
	heard ident.Mono
	ever  bool
	beat  uint64 // the newest
}

// Controller is one node.
type Controller struct {
	env   Env
	set   *settings.Settings
	rng   *rand.Rand
	elect *election.Machine
	lead  *lead       // nil while not leading
	level ident.Level // in force, as far as this node knows
	grace time.Duration

	peers map[ident.NodeID]*peer
	asks  map[uint64]func(Reply)
	askID uint64
	reads bucket

	echoes vouch.Echoes
	vouch  vouch.Voucher
	// cancelled holds jobs that were durably cancelled, as this node has passed on.
	cancelled *jobs.Recent[struct{}]
	seen      ident.Mono // when the state service last served this node

	// Counters for the metrics.
	Forwarded, Refused, Elections, Vouched uint64
}

// bucket bounds the state service requests that polls cause.
type bucket struct {
	tokens, perSecond float64
	filled            ident.Mono
}

func (b *bucket) take(now ident.Mono, n float64) bool {
	b.tokens = min(b.perSecond, b.tokens+b.perSecond*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

const (
	beatEvery   = 700 * time.Millisecond
	peerSilent  = 2500 * time.Millisecond
	forwardTime = 1500 * time.Millisecond
	pollTime    = 700 * time.Millisecond
	commitTime  = time.Second
	graceMargin = 1500 * time.Millisecond
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
		askID: rng.Uint64(), cancelled: jobs.NewRecent[struct{}](maxCancelled)}
	// An earlier leader may answer checkins for so long past its validity; a
	// worker that heard it last still loses its tasks before cancel_s is over.
	c.grace = max(0, settings.Seconds(w.CancelS-w.LeaseS*1.002)-graceMargin)
	for _, s := range set.Siblings {
		c.peers[s.Node] = &peer{}
	}
	rate := readShare * set.Cluster.State.RPS / float64(max(1, set.Cluster.Nodes))
	c.reads = bucket{tokens: rate, perSecond: rate, filled: env.Now()}
	c.elect = election.New(env, c, set.Node, set.Tuning.LeaderLease, rng)
	return c
}

// Start begins.
func (c *Controller) Start() {
	c.elect.Start()
	c.beat()
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
func (c *Controller) Level() ident.Level { return c.level }

// Election returns the node's part in the elections.
func (c *Controller) Election() *election.Machine { return c.elect }

// beat tells the siblings that we live, whether we lead, and what of theirs we heard.
func (c *Controller) beat() {
	now := c.env.Now()
	f := mesh.Frame{Kind: mesh.Beat, ID: c.rng.Uint64(), Life: mesh.Life{Age: mesh.Millis(now.Sub(0)), Trust: mesh.None, Ago: mesh.None}}
	if c.elect.Valid() {
		f.Node, f.Term = c.set.Node, c.elect.Term()
		if c.lead.ready {
			f.Life.Grace = mesh.Millis(c.lead.allowance(now))
		}
	}
	if ago, ever := c.vouch.Newest(now); ever {
		f.Life.Ago = mesh.Millis(ago)
	}
	if age, ever := c.vouch.Age(now); ever {
		f.Life.Trust = mesh.Millis(age)
		if age > lookAfter && c.lead == nil {
			c.look()
		}
	}
	c.echoes.Sent(f.ID, now)
	for _, s := range c.set.Siblings {
		g := f
		g.Life.Echo = c.peers[s.Node].beat
		c.env.Mesh(s.Node, &g)
	}
	c.env.After(beatEvery, c.beat)
}

// look asks the state service for anything, to see whether it serves this node.
func (c *Controller) look() {
	c.env.State(statesvc.Request{Op: statesvc.Get, Path: election.LeaderKey, Timeout: commitTime}, func(r statesvc.Reply) {
		if r.Outcome != statesvc.Lost && r.Outcome != statesvc.Refused && r.Outcome != statesvc.Limited {
			c.seen = c.env.Now()
		}
	})
}

// hear takes what a sibling says of itself with a beat.
func (c *Controller) hear(from ident.NodeID, p *peer, f *mesh.Frame) {
	now := c.env.Now()
	p.beat = f.ID
	at, echoed := c.echoes.When(f.Life.Echo)
	if echoed && f.Node == from {
		c.vouch.Trust(f.Term, at, mesh.Duration(f.Life.Grace))
	}
	if c.lead != nil {
		w := vouch.Word{Age: mesh.Duration(f.Life.Age), Trust: mesh.Duration(f.Life.Trust), Ever: f.Life.Ago != mesh.None, Ago: mesh.Duration(f.Life.Ago)}
		c.lead.ledger.Heard(from, now, at, echoed, w)
	}
}

// vouched answers a worker while neither the leader nor the state service serves this
// node: both are cut off alike, or the leader has died and nobody can follow it. Its
// work goes on for as long as the leader allows.
func (c *Controller) vouched(r *api.Report) (Reply, bool) {
	now := c.env.Now()
	if !c.vouch.May(now, r.Epoch) || now.Sub(c.seen) < cutAfter {
		return Reply{}, false
	}
	c.vouch.Did(now)
	c.Vouched++
	o := api.Orders{Epoch: r.Epoch, Orders: []api.Order{}}
	for _, p := range r.Pieces {
		// A kill is safe whoever leads; without it the task ends with the lease only.
		if _, ok := c.cancelled.Get(p.Piece.Job); ok && p.Status != api.Ended {
			o.Orders = append(o.Orders, workers.Kill(p.Piece, p.Try))
		}
	}
	return answer(http.StatusOK, o), true
}

// maxCancelled bounds the memory kept for jobs that are known to be cancelled.
const maxCancelled = 5000

// learned notes what a job is known to be: that it is cancelled is final.
func (c *Controller) learned(id ident.JobID, status string) {
	if status == jobs.Cancelled.String() {
		c.cancelled.Put(id, struct{}{})
	}
}

// Lead begins a term.
func (c *Controller) Lead(t ident.Term, l ident.Level, key statesvc.Cond) {
	c.Elections++
	c.level = max(c.level, l)
	c.lead = newLead(c, t, l, key)
	c.lead.load()
}

// Follow ends it: nothing of its memory is used again but what is final.
func (c *Controller) Follow(why string) {
	if c.lead != nil {
		for _, j := range c.lead.jobs.Sorted() {
			c.learned(j.Spec.ID, j.Durable.String()) // what is final can't change any more
		}
		c.lead.close()
		c.lead = nil
	}
}

// Healthy says whether the node can take requests: it leads, or hears the leader
// to pass them to, or at least nobody is known to do better.
func (c *Controller) Healthy() bool {
	if c.elect.Valid() {
		return true
	}
	if to, known := c.elect.Leader(); known && to != c.set.Node {
		return c.reachable(to)
	}
	return c.hears(peerSilent) || len(c.peers) == 0
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
	p := c.peers[n]
	return p != nil && p.ever && c.env.Now().Sub(p.heard) < peerSilent
}

// Frame takes a sibling's message.
func (c *Controller) Frame(from ident.NodeID, f *mesh.Frame) {
	p := c.peers[from]
	if p == nil {
		return
	}
	p.heard, p.ever = c.env.Now(), true
	switch f.Kind {
	case mesh.Beat:
		if f.Node != "" {
			c.elect.Heard(f.Node, f.Term)
		}
		c.hear(from, p, f)
	case mesh.Ask:
		id := f.ID
		c.serve(f.Verb, f.Job, f.Body, false, func(r Reply) {
			c.env.Mesh(from, &mesh.Frame{Kind: mesh.Tell, ID: id, Status: uint16(r.Status), Retry: uint16(r.Retry), Body: r.Body})
		})
	case mesh.Tell:
		if g := c.asks[f.ID]; g != nil {
			delete(c.asks, f.ID)
			g(Reply{Status: int(f.Status), Retry: int(f.Retry), Body: f.Body})
		}
	}
}

// forward asks a sibling; without an answer in time, lost is called.
func (c *Controller) forward(to ident.NodeID, v mesh.Verb, job string, body []byte, limit time.Duration, reply func(Reply), lost func()) {
	c.Forwarded++
	c.askID++
	id := c.askID
	until := c.env.Now().Add(limit)
	// Should this process stand still, the answer may be read before the timer runs.
	c.asks[id] = func(r Reply) { reply(r.within(until)) }
	c.env.Mesh(to, &mesh.Frame{Kind: mesh.Ask, ID: id, Verb: v, Job: job, Body: body})
	c.env.After(limit, func() {
		if c.asks[id] != nil {
			delete(c.asks, id)
			lost()
		}
	})
}

// Request takes a request from a user or a worker of this node.
func (c *Controller) Request(v mesh.Verb, job string, body []byte, reply func(Reply)) {
	if c.lead != nil {
		c.serve(v, job, body, true, reply)
		return
	}
	to, known := c.elect.Leader()
	up := known && c.reachable(to)
	switch v {
	case mesh.Submit:
		s, err := api.ParseSpec(body)
		if err != nil {
			reply(problem(http.StatusBadRequest, err.Error()))
			return
		}
		if s.Shape == api.Gang && c.level < ident.Packed {
			// A leader of an earlier version would call it malformed.
			c.learn(func() { c.pass(to, up, v, job, body, reply) }, reply)
			return
		}
	case mesh.Poll:
		if !up {
			c.read(job, reply)
			return
		}
		c.forward(to, v, job, nil, pollTime, func(r Reply) {
			if r.Status >= 500 {
				c.read(job, reply)
				return
			}
			reply(r)
		}, func() { c.read(job, reply) })
		return
	case mesh.Checkin:
		// Otherwise read by the leader; reading it here as well doubles the cost of
		// what comes most often.
		if !up {
			r, err := api.ParseReport(body)
			if err != nil {
				reply(problem(http.StatusBadRequest, err.Error()))
				return
			}
			if a, ok := c.vouched(r); ok {
				reply(a)
				return
			}
		}
		if known && !up {
			reply(answer(http.StatusMisdirectedRequest, struct {
				Home ident.NodeID `json:"home"`
			}{to}))
			return
		}
	}
	c.pass(to, up, v, job, body, reply)
}

// learn reads the format level; then is called if gangs may be passed on. It goes with
// the first format.
func (c *Controller) learn(then func(), reply func(Reply)) {
	c.env.State(statesvc.Request{Op: statesvc.Get, Path: election.TermKey, Timeout: commitTime}, func(r statesvc.Reply) {
		if r.Outcome == statesvc.OK {
			if _, l, err := election.ReadTerm(r.Value); err == nil {
				c.level = max(c.level, l)
			}
		}
		if c.level < ident.Packed {
			c.Refused++
			reply(unavailable("some nodes may run an earlier version"))
			return
		}
		then()
	})
}

// pass hands a request to the leader.
func (c *Controller) pass(to ident.NodeID, up bool, v mesh.Verb, job string, body []byte, reply func(Reply)) {
	if !up {
		c.Refused++
		reply(unavailable("no leader at present"))
		return
	}
	c.forward(to, v, job, body, forwardTime, func(r Reply) {
		var a api.Ack
		if v == mesh.Cancel && r.Status == http.StatusOK && json.Unmarshal(r.Body, &a) == nil {
			c.learned(a.ID, a.Status)
		}
		reply(r)
	}, func() {
		c.Refused++
		reply(unavailable("the leader did not answer"))
	})
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
	case l == nil || !l.ready || !c.elect.Valid():
		// Past the surely valid time memory may be behind a successor's.
		if v == mesh.Poll {
			c.read(job, reply)
			return
		}
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
	r, err := api.ParseReport(body)
	if err != nil {
		reply(problem(http.StatusBadRequest, err.Error()))
		return
	}
	var o *api.Orders
	var until ident.Mono
	if l := c.lead; l != nil && l.ready {
		if c.elect.Valid() {
			o = l.workers.Checkin(r)
			if o != nil && api.Launches(o.Orders) {
				// Should this process stand still now, a successor may have told that
				// the job is cancelled before the answer goes out.
				until = c.elect.Until()
			}
			l.heard(l.workers.Workers[r.Host], direct)
		} else if c.elect.Within(c.grace) {
			o = l.workers.Renew(r)
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

// read answers a poll from the state service. A job only ever moves from live to
// over, so reading in this order can't miss it.
func (c *Controller) read(job string, reply func(Reply)) {
	id := ident.JobID(job)
	until, later := c.env.Now().Add(2*commitTime), reply
	reply = func(r Reply) { later(r.within(until)) }
	if !c.reads.take(c.env.Now(), 2) {
		c.Refused++
		reply(unavailable("too many polls at present"))
		return
	}
	c.get(jobs.LiveKey(id), reply, func(r statesvc.Reply) {
		v, err := jobs.ReadLive(r.Value)
		if err != nil {
			slog.Error("unreadable job", "id", job, "err", err)
			reply(unavailable("unreadable job"))
			return
		}
		c.learned(v.ID, v.Status)
		reply(answer(http.StatusOK, v))
	}, func() { c.readOver(id, reply) })
}

// readOver answers a poll for a job that is not live.
func (c *Controller) readOver(id ident.JobID, reply func(Reply)) {
	c.over(id, func(e jobs.Ended, found bool, err error) {
		switch {
		case err != nil:
			reply(unavailable("state service unavailable"))
		case !found:
			reply(problem(http.StatusNotFound, "no such job"))
		default:
			c.learned(id, e.Phase.String())
			reply(answer(http.StatusOK, e.View(id)))
		}
	})
}

// errState says that the state service gave no clear answer.
var errState = errors.New("state service unavailable")

// over looks a job up among those that are over.
func (c *Controller) over(id ident.JobID, f func(e jobs.Ended, found bool, err error)) {
	c.env.State(statesvc.Request{Op: statesvc.Get, Path: jobs.OverKey(id), Timeout: commitTime}, func(r statesvc.Reply) {
		var e jobs.Ended
		switch r.Outcome {
		case statesvc.OK:
			if err := json.Unmarshal(r.Value, &e); err != nil {
				slog.Error("unreadable job", "id", string(id), "err", err)
				f(e, false, err)
				return
			}
			f(e, true, nil)
		case statesvc.NotFound:
			f(e, false, nil)
		default:
			f(e, false, errState)
		}
	})
}

func (c *Controller) get(path string, reply func(Reply), found func(statesvc.Reply), missing func()) {
	c.env.State(statesvc.Request{Op: statesvc.Get, Path: path, Timeout: commitTime}, func(r statesvc.Reply) {
		switch r.Outcome {
		case statesvc.OK:
			found(r)
		case statesvc.NotFound:
			missing()
		default:
			c.Refused++
			reply(unavailable("state service unavailable"))
		}
	})
}

// Snapshot is what the metrics show of a node.
type Snapshot struct {
	Leading, Valid              bool
	Term                        uint64
	Jobs, Held, Waiting         int
	Machines                    map[string]int
	Planned, Local, New, Stolen uint64
	Services, Gangs, Preempted  uint64
	Rounds, ExtraRounds         uint64
	FetchedGB, PlanSeconds      float64
	Rented, Returned, Fenced    uint64
	Txns, Puts, Repeats         uint64
	Relocated, Fences, Stale    uint64
	Forwarded, Refused, Elected uint64
	Vouched                     uint64
	Level                       uint8
	Rejected                    uint64
	GangsStarted, GangsLost     uint64
	GangsReplaced, GangsStopped uint64
}

// Snapshot reads the node's counters.
func (c *Controller) Snapshot() Snapshot {
	s := Snapshot{Leading: c.lead != nil, Valid: c.elect.Valid(), Term: uint64(c.elect.Term()), Machines: map[string]int{},
		Forwarded: c.Forwarded, Refused: c.Refused, Elected: c.Elections, Vouched: c.Vouched, Level: uint8(c.level)}
	l := c.lead
	if l == nil || !l.ready {
		return s
	}
	s.Jobs = len(l.jobs.Jobs)
	for _, j := range l.jobs.Jobs {
		s.Held += j.Held
		s.Waiting += j.Waits()
	}
	for _, w := range l.workers.Workers {
		s.Machines[w.State.String()]++
	}
	p := l.planner.Stats
	s.Planned, s.Local, s.New, s.Stolen = p.Planned, p.Local, p.New, p.Stolen
	s.Services, s.Gangs, s.Preempted, s.Rounds, s.ExtraRounds = p.Services, p.Gangs, p.Preempted, p.Rounds, p.Extra
	s.FetchedGB, s.PlanSeconds = p.FetchedGB, p.Took.Seconds()
	s.Rented, s.Returned, s.Fenced = l.fleet.Rented, l.fleet.Returned, l.fleet.Fenced
	s.Txns, s.Puts, s.Repeats = l.commits.Txns, l.commits.Puts, l.commits.Repeats
	s.Rejected = l.commits.Rejected
	s.GangsStarted, s.GangsLost, s.GangsReplaced, s.GangsStopped = l.gangs.Started, l.gangs.Lost, l.gangs.Replaced, l.gangs.Stopped
	s.Relocated, s.Fences, s.Stale = l.workers.Relocated, l.workers.Fences, l.workers.Stale
	return s
}
