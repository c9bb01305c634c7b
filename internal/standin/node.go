package standin

import (
	"fmt"
	"math/rand/v2"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/mesh"
	"opaldale/internal/settings"
	"opaldale/internal/statesvc"
	"opaldale/internal/workers"
)

// node is a controller's machine; its process comes and goes.
type node struct {
	w     *World
	name  string
	zone  string
	ctl   *controller.Controller
	life  int // counts the processes
	alive bool
	old   bool              // its next process is of the version in production
	still ident.Mono        // its process stands still until then, though its clocks run on
	env   *nodeEnv          // of the present process
	halts halts             // within an event
	cache map[string]cached // of the mutation CacheAnswers
}

// freeze has the node's process stand still.
func (n *node) freeze(d time.Duration) {
	n.w.logf("%s stands still for %v", n.name, d)
	n.still = max(n.still, n.w.now.Add(d))
}

// when runs f in the process of that life once it doesn't stand still: what comes
// meanwhile waits, in its order.
func (n *node) when(life int, f func()) {
	switch {
	case !n.alive || n.life != life:
	case n.w.now < n.still:
		n.w.at(n.still.Sub(n.w.now), func() { n.when(life, f) })
	default:
		n.halts.begin(n.w)
		f()
		n.ctl.Settle()
		n.halts.end()
	}
}

func (n *node) start() {
	n.life++
	n.alive = true
	n.still = 0
	n.cache = map[string]cached{}
	set := &settings.Settings{Node: ident.NodeID(n.name), Zone: n.zone, Cluster: n.w.set, Tuning: settings.DefaultTuning()}
	set.Tuning.Links.Enabled = n.w.cfg.Links
	if n.w.cfg.Rebalance != "" && !n.old {
		set.Tuning.Rebalance = n.w.cfg.Rebalance
	}
	if n.w.cfg.Tune != nil {
		n.w.cfg.Tune(&set.Tuning)
	}
	if n.w.cfg.Mutation == NoDamping {
		set.Tuning.Links.HalfLife = time.Millisecond
	}
	if n.w.cfg.Mutation == EndlessHandovers {
		set.Tuning.Links.Hold, set.Tuning.Links.Persist = 0, 0
	}
	if n.w.cfg.Mutation == NoMaxWait {
		set.Tuning.MaxWait = 24 * time.Hour
	}
	for _, o := range n.w.nodes {
		if o != n {
			set.Siblings = append(set.Siblings, settings.Sibling{Node: ident.NodeID(o.name), Zone: o.zone})
		}
	}
	if len(set.Siblings) == 0 {
		for i := range n.w.set.Nodes {
			if name := fmt.Sprintf("agent-%d", i); name != n.name {
				set.Siblings = append(set.Siblings, settings.Sibling{Node: ident.NodeID(name)})
			}
		}
	}
	e := &nodeEnv{n: n, life: n.life, old: n.old, start: n.w.now, rate: 1 + (n.w.rng.Float64()-0.5)*0.001}
	n.env, n.halts = e, halts{}
	n.ctl = controller.New(e, set, rand.New(rand.NewPCG(n.w.rng.Uint64(), 1)))
	n.ctl.Start()
	n.ctl.Settle()
}

func (n *node) kill(back time.Duration) {
	if !n.alive {
		return
	}
	n.w.logf("%s is killed, back in %v", n.name, back)
	n.alive = false
	n.life++
	n.w.at(back, n.start)
}

// nodeEnv is the world as one process sees it.
type nodeEnv struct {
	n     *node
	life  int
	old   bool // the process is of the version in production
	start ident.Mono
	rate  float64 // of its steady clock
}

func (e *nodeEnv) w() *World { return e.n.w }

func (e *nodeEnv) Now() ident.Mono {
	e.mayHalt()
	return ident.Mono(float64(e.w().now.Add(e.n.halts.halted)-e.start) * e.rate)
}

func (e *nodeEnv) WallMS() int64 { return 1_700_000_000_000 + e.w().now.Sub(0).Milliseconds() }

// in runs f if the process still lives.
func (e *nodeEnv) in(f func()) func() {
	return func() { e.n.when(e.life, f) }
}

func (e *nodeEnv) After(d time.Duration, f func()) {
	e.mayHalt()
	e.w().at(e.n.halts.halted+max(0, time.Duration(float64(d)/e.rate)+time.Microsecond), e.in(f))
}

func (e *nodeEnv) State(r statesvc.Request, f func(statesvc.Reply)) {
	w := e.w()
	w.cfg.Digest.stateRequest(w.now, e.n.name, r)
	ok := true
	if e.old {
		f, ok = e.asOld(r, f)
	} else {
		r, ok = w.tamper(r, e.reply(f))
	}
	if !ok {
		return
	}
	if w.cfg.Mutation == ForgetPlacements && r.Op == statesvc.List {
		g := f
		f = func(a statesvc.Reply) { g(forgetPlacements(a)) }
	}
	w.wrote(e.n.name, r)
	w.noteTxn(e.n, r)
	send := func() {
		w.call(e.n.name, "state", r.Timeout, func(reply func(any)) { w.store.serve(e.n.name, r, reply) }, func(a any) {
			e.in(func() {
				if a == nil {
					f(statesvc.Reply{Outcome: statesvc.Lost})
				} else {
					f(a.(statesvc.Reply))
				}
			})()
		})
	}
	send = e.afterHalt(send)
	if w.cfg.Mutation == LaunchFirst && r.Op == statesvc.Txn && r.If[0].Path == "leader" && r.If[0].Stamp != 0 {
		w.launchPlaced(e.n.name, r)
		w.at(400*time.Millisecond, e.in(send))
		return
	}
	send()
}

// reply has an answer come to the process, if it still lives.
func (e *nodeEnv) reply(f func(statesvc.Reply)) func(statesvc.Reply) {
	return func(a statesvc.Reply) { e.in(func() { f(a) })() }
}

func (e *nodeEnv) Cloud(r cloud.Request, f func(cloud.Reply)) {
	w := e.w()
	w.cfg.Digest.cloudRequest(w.now, e.n.name, r)
	answer := func(a cloud.Reply) { e.in(func() { f(a) })() }
	e.afterHalt(func() {
		if e.past(r.NotAfter) {
			w.at(0, func() { answer(cloud.Reply{Outcome: cloud.Unsent}) })
			return
		}
		w.call(e.n.name, "cloud", 4*time.Second, func(reply func(any)) { w.cloud.serve(r, reply) }, func(a any) {
			if a == nil {
				a = cloud.Reply{Outcome: cloud.Lost}
			}
			answer(a.(cloud.Reply))
		})
	})()
}

func (e *nodeEnv) Worker(c workers.Command, f func(workers.Answer)) {
	e.w().cfg.Digest.command(e.w().now, e.n.name, c)
	e.afterHalt(func() { e.command(c, f) })()
}

func (e *nodeEnv) command(c workers.Command, f func(workers.Answer)) {
	w := e.w()
	answer := func(a workers.Answer) { e.in(func() { f(a) })() }
	w.commanded(e.n.name, c)
	if c.Launches() && w.yielding(e.n) {
		w.broken("%s starts a task while it hands the lead over", e.n.name)
	}
	if c.Launches() && !e.past(c.NotAfter) && !e.leads() {
		w.took("launch without leadership")
	}
	k := w.workers[ident.HostID(c.Addr)]
	switch {
	case e.past(c.NotAfter):
		w.at(0, func() { answer(workers.Answer{Unsent: true}) })
		return
	case k == nil:
		w.at(0, func() { answer(workers.Answer{}) })
		return
	}
	if w.cfg.Mutation == NoKills {
		c.Body.Orders = withoutKills(c.Body.Orders)
	}
	w.call(e.n.name, c.Addr, 1200*time.Millisecond, func(reply func(any)) {
		carry := func() {
			k.when(func() {
				k.commands(c.Body, func(a any) {
					if d := w.heldUp(); d > 0 {
						w.at(d, func() { reply(a) })
						return
					}
					reply(a)
				})
			})
		}
		if d := w.heldUp(); d > 0 {
			w.at(d, carry)
			return
		}
		carry()
	}, func(a any) {
		if a == nil {
			a = workers.Answer{}
		}
		answer(a.(workers.Answer))
	})
}

func (e *nodeEnv) Mesh(to ident.NodeID, f *mesh.Frame) {
	w := e.w()
	for _, o := range w.nodes {
		if o.name != string(to) {
			continue
		}
		// Through the wire format, as between processes.
		encoded := f.Append(nil)
		w.cfg.Digest.frame(w.now, e.n.name, o.name, encoded)
		g, err := mesh.Decode(encoded[4:])
		if err != nil {
			panic(err)
		}
		if w.cfg.Mutation == KeepLeasesOn && g.Kind == mesh.Heartbeat && g.Life.Allowance > 0 {
			g.Life.Allowance = mesh.Millis(time.Hour)
		}
		if !w.linkFrame(e.n, o, g) {
			return
		}
		life := o.life
		e.afterHalt(func() {
			w.deliver(e.n.name, o.name, func() {
				o.when(life, func() { o.ctl.Frame(ident.NodeID(e.n.name), g) })
			})
		})()
	}
}

// request is a request of a user or a worker to a node.
func (w *World) request(from string, n *node, v mesh.Verb, job string, body []byte, limit time.Duration, done func(*controller.Reply)) {
	if !n.alive {
		w.at(time.Millisecond, func() { done(nil) })
		return
	}
	life := n.life
	key := n.name + " " + job
	if v == mesh.Submit && w.cfg.Mutation == LoseZone {
		body = loseZone(body)
	}
	w.call(from, n.name, limit, func(reply func(any)) {
		n.when(life, func() {
			if c := n.cache[key]; v == mesh.Poll && w.cfg.Mutation == CacheAnswers && c.body != nil && w.now.Sub(c.at) < cacheTime {
				reply(&controller.Reply{Status: 200, Body: c.body})
				return
			}
			n.ctl.Request(v, job, body, func(r controller.Reply) {
				n.env.afterHalt(func() {
					if w.cfg.Mutation != IgnoreLimits {
						r = r.Now(n.env.clock())
					}
					w.cfg.Digest.answer(w.now, n.name, from, v, job, r)
					switch v {
					case mesh.Poll:
						if w.cfg.Mutation == CacheAnswers && r.Status == 200 {
							n.cache[key] = cached{w.now, r.Body}
						}
					case mesh.Checkin:
						reply(w.mutateCheckin(n, body, &r))
						return
					}
					reply(&r)
				})()
			})
		})
	}, func(a any) {
		if a == nil {
			done(nil)
		} else {
			done(a.(*controller.Reply))
		}
	})
}
