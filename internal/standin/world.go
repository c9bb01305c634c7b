// Package standin is a small world for tests, written from the protocol: a state
// service, a cloud, workers, users and a network with cuts, losses and late
// deliveries, all in simulated time and from a seed. It checks every rule at
// every step.
package standin

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/mesh"
	"opaldale/internal/settings"
	"opaldale/internal/statesvc"
	"opaldale/internal/workers"
)

// Mutation switches off one of the safeguards, to show that the checks notice.
type Mutation uint8

// The mutations.
const (
	None             Mutation = iota
	LaunchFirst               // launches are sent before the placement is durable
	IgnoreEpochs              // workers carry out commands with any token
	IgnoreStamps              // transactions are carried out whatever their stamps
	StarvePolls               // polls for some jobs get no answer
	TrustCopies               // late copies of reports have new serials, as if they were sent now
	NoMaxWait                 // nothing bounds how long a job waits for its first task
	VouchOn                   // nodes that are cut off with workers answer them for as long as it lasts
	StopPart                  // only the first task of a gang hears that it should save and stop
	HideGathering             // reports don't tell of tasks that wait for their gang
	OneTry                    // every attempt of a gang has the same number
	RaiseEarly                // the format level is raised while old nodes are there
	WriteEarly                // new fields are written below the level
	RenewOn                   // nodes that don't surely lead renew every lease for ever
	NoKills                   // no order to stop a task reaches a machine
	CacheAnswers              // nodes answer questions from memory for a while
	ForgetPlacements          // a new leader doesn't know which machines tasks are on
	LoseZone                  // the controllers don't know that a job is bound to one zone
	IgnoreLimits              // what a node decided goes out however long after
)

// Config sets a run up.
type Config struct {
	Seed     uint64
	Mutation Mutation
	Faults   bool
	Length   time.Duration // of the part with faults and arrivals
	Old      bool          // all nodes are of the version in production at first, and replaced one by one
	Gangs    bool          // more gangs than otherwise
	Crowd    bool          // small jobs of one team all the time, and large ones now and then
	Quiet    bool          // no jobs come by themselves
	Meet     bool          // the faults are those of the page on two at once as well
}

// World is one run.
type World struct {
	cfg   Config
	rng   *rand.Rand
	now   ident.Mono
	queue eventHeap
	seq   uint64

	set     settings.Cluster
	nodes   []*node
	store   *store
	cloud   *provider
	workers map[ident.HostID]*worker
	jobs    map[ident.JobID]*userJob
	gangs   map[gangKey]*gangRun
	order   []ident.JobID
	cuts    map[[2]string]*cut
	zones   map[string]*cut       // zones cut off from everything outside
	deaf    map[string]ident.Mono // machines that nothing reaches until then
	nextJob int
	troubles

	// Broken lists the rules broken, in words; Undone what was not brought to its
	// end in the calm; Log what happened.
	Broken []string
	Undone []string
	Log    []string
	Starts int
	// GangRuns and GangStops count what gangs did.
	GangRuns, GangStops int
	// TooLarge counts the transactions that the state service refused for its limits.
	TooLarge int
}

type event struct {
	at  ident.Mono
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// New makes a world of three controllers in two zones.
func New(cfg Config) *World {
	w := &World{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), workers: map[ident.HostID]*worker{},
		jobs: map[ident.JobID]*userJob{}, gangs: map[gangKey]*gangRun{}, cuts: map[[2]string]*cut{}, zones: map[string]*cut{}, deaf: map[string]ident.Mono{},
		troubles: troubles{mute: map[string]ident.Mono{}, seen: map[string]int{}}}
	w.set = settings.Cluster{
		Nodes: 3, Zones: []string{"east", "west"}, TimeBoundMS: 200,
		Teams: []settings.Team{{Name: "red", CPUs: 12, CPUsMax: 28}, {Name: "blue", CPUs: 8, CPUsMax: 20},
			{Name: "grey", CPUs: 0, CPUsMax: 16}, {Name: "guest"}},
		Workers: settings.Workers{ReportS: 3, LeaseS: 20, CancelS: 42, GangWaitS: 20, GangPeerS: 4},
		State: settings.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16,
			Next: &settings.NextState{WriteRPS: 60, ValueKB: 2, TxnOps: 5}},
		Cloud:     settings.Cloud{RPS: 5, ListLagS: 4},
		Resources: settings.Resources{Cores: 1, MemoryMB: 256, Sockets: 1000},
	}
	w.store = newStore(w)
	w.cloud = newProvider(w)
	for i := range 3 {
		n := &node{w: w, old: cfg.Old, name: fmt.Sprintf("agent-%d", i), zone: w.set.Zones[i%2]}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func (w *World) at(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, f})
}

func (w *World) logf(format string, a ...any) {
	w.Log = append(w.Log, fmt.Sprintf("%8.3f ", w.now.Sub(0).Seconds())+fmt.Sprintf(format, a...))
}

func (w *World) broken(format string, a ...any) {
	w.logf("BROKEN: "+format, a...)
	w.Broken = append(w.Broken, fmt.Sprintf("%.3f: ", w.now.Sub(0).Seconds())+fmt.Sprintf(format, a...))
}

// Run plays the world: cfg.Length with arrivals and faults, then a while of calm
// in which everything must come to its end.
func (w *World) Run() {
	switch {
	case w.cfg.Crowd:
		w.crowd()
	case !w.cfg.Quiet:
		w.arrive()
	}
	w.idleBeside()
	if w.cfg.Faults {
		w.at(10*time.Second, w.fault)
	}
	lower := limitsAt
	if w.cfg.Old {
		w.at(rollAt, func() { w.rollout(0) })
		lower += rollAt
	}
	w.at(lower, w.store.lower)
	end := ident.Mono(w.cfg.Length + calm)
	for len(w.queue) > 0 && len(w.Broken) == 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > end {
			break
		}
		w.now = e.at
		e.run()
	}
	if len(w.Broken) == 0 {
		w.finish()
	}
}

const (
	rollAt    = 40 * time.Second
	rollEvery = 20 * time.Second
	// limitsAt is when the state service lowers its limits, or so long after an upgrade
	// has begun.
	limitsAt = 90 * time.Second
)

const calm = 260 * time.Second

// finish checks that nothing was left undone.
func (w *World) finish() {
	if !w.cfg.Crowd {
		w.served() // more is asked for there than there is room for
	}
	for _, id := range w.order {
		j := w.jobs[id]
		switch {
		case !j.accepted:
		case j.told == "cancelled" || j.told == "done":
		case j.cancelSent > 0:
			w.undone("%s: its cancellation was never confirmed", id)
		case j.spec.Shape != api.Service:
			w.undone("%s: never done, last told %q", id, j.told)
		default:
			n := 0
			for _, k := range w.workers {
				n += k.count(id)
			}
			if n != j.spec.Pieces {
				w.undone("%s: %d of %d replicas run", id, n, j.spec.Pieces)
			}
		}
	}
}

func (w *World) undone(format string, a ...any) {
	w.Undone = append(w.Undone, fmt.Sprintf(format, a...))
}

// cut is a broken link.
type cut struct {
	hold bool
	held []func()
}

// deliver carries something from one party to another: after a short time, after
// a long one, or never.
func (w *World) deliver(from, to string, f func()) {
	if c := w.cut(from, to); c != nil {
		if c.hold {
			c.held = append(c.held, f)
		}
		return
	}
	if w.now < w.deaf[to] || w.now < w.mute[from] && strings.HasPrefix(to, "agent-") {
		return
	}
	d := time.Duration(200+w.rng.IntN(3000)) * time.Microsecond
	often := 200
	if strings.HasPrefix(to, "host-") {
		often = 25 // commands that come late are what tokens are for
	}
	if w.cfg.Faults && w.now < ident.Mono(w.cfg.Length) && w.rng.IntN(often) == 0 {
		if w.rng.IntN(2) == 0 {
			return
		}
		d = time.Duration(w.rng.IntN(30_000)) * time.Millisecond
	}
	w.at(d+w.slowed(from, to), f)
}

func (w *World) cut(a, b string) *cut {
	for _, k := range [][2]string{{a, b}, {b, a}, {a, "*"}, {b, "*"}, {a, kind(b)}, {b, kind(a)}} {
		if c := w.cuts[k]; c != nil {
			return c
		}
	}
	if za, zb := w.zoneOf(a), w.zoneOf(b); za != zb {
		if c := w.zones[za]; c != nil {
			return c
		}
		return w.zones[zb]
	}
	return nil
}

// zoneOf returns the zone of a node or a machine, "" for what belongs to none.
func (w *World) zoneOf(name string) string {
	for _, n := range w.nodes {
		if n.name == name {
			return n.zone
		}
	}
	if k := w.workers[ident.HostID(name)]; k != nil {
		return k.m.site
	}
	return ""
}

// cutZone cuts a zone off from everything outside for a while.
func (w *World) cutZone(zone string, hold bool, d time.Duration) {
	if w.zones[zone] != nil {
		return
	}
	w.logf("zone %s is cut off, hold=%v, for %v", zone, hold, d)
	c := &cut{hold: hold}
	w.zones[zone] = c
	w.at(d, func() {
		delete(w.zones, zone)
		w.logf("zone %s is back", zone)
		w.release(c)
	})
}

// release delivers what a cut has held, in order.
func (w *World) release(c *cut) {
	for i, f := range c.held {
		w.at(time.Duration(i)*time.Microsecond, f)
	}
}

// machines stands for all machines, those to come as well, as one end of a cut.
const machines = "machines"

func kind(name string) string {
	if strings.HasPrefix(name, "host-") {
		return machines
	}
	return ""
}

// sever breaks a link for a while; what was held is then delivered in order.
func (w *World) sever(a, b string, hold bool, d time.Duration) {
	k := [2]string{a, b}
	if w.cuts[k] != nil {
		return
	}
	w.logf("cut %s from %s, hold=%v, for %v", a, b, hold, d)
	c := &cut{hold: hold}
	w.cuts[k] = c
	w.at(d, func() {
		delete(w.cuts, k)
		w.logf("link %s %s heals", a, b)
		w.release(c)
	})
}

// others calls f for each node but one.
func (w *World) others(n *node, f func(*node)) {
	for _, o := range w.nodes {
		if o != n {
			f(o)
		}
	}
}

// isolate cuts a node from the state service and the other nodes, not from workers and
// users.
func (w *World) isolate(n *node, hold bool, d time.Duration) {
	w.sever(n.name, "state", hold, d)
	w.others(n, func(o *node) { w.sever(n.name, o.name, hold, d) })
}

// call is a request with its answer; exec may answer at any time. done gets nil
// without an answer in time.
func (w *World) call(from, to string, limit time.Duration, exec func(reply func(any)), done func(any)) {
	over := false
	finish := func(a any) {
		if !over {
			over = true
			done(a)
		}
	}
	w.at(limit, func() { finish(nil) })
	w.deliver(from, to, func() {
		exec(func(a any) { w.deliver(to, from, func() { finish(a) }) })
	})
}

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
	if n.w.cfg.Mutation == NoMaxWait {
		set.Tuning.MaxWait = 24 * time.Hour
	}
	for _, o := range n.w.nodes {
		if o != n {
			set.Siblings = append(set.Siblings, settings.Sibling{Node: ident.NodeID(o.name), Zone: o.zone})
		}
	}
	if len(set.Siblings) == 0 {
		for i := range 3 {
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
	e.afterHalt(func() { e.command(c, f) })()
}

func (e *nodeEnv) command(c workers.Command, f func(workers.Answer)) {
	w := e.w()
	answer := func(a workers.Answer) { e.in(func() { f(a) })() }
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
		g, err := mesh.Decode(f.Append(nil)[4:])
		if err != nil {
			panic(err)
		}
		if w.cfg.Mutation == VouchOn && g.Kind == mesh.Beat && g.Life.Grace > 0 {
			g.Life.Grace = mesh.Millis(time.Hour)
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

// fault lets something go wrong, again and again until the calm.
func (w *World) fault() {
	if w.now > ident.Mono(w.cfg.Length) {
		return
	}
	sec := func(a, b int) time.Duration { return time.Duration(a+w.rng.IntN(b-a)) * time.Second }
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	for _, o := range w.nodes {
		if o.alive && o.ctl.Election().Valid() && w.rng.IntN(2) == 0 {
			n = o
		}
	}
	hold := w.rng.IntN(2) == 0
	back := sec(2, 8)
	if w.rng.IntN(3) == 0 {
		back = 200 * time.Millisecond
	}
	k := w.anyWorker()
	kinds := 20
	if w.cfg.Meet {
		kinds = 34
	}
	spellOf := func(share float64) spell { return spell{share, w.now.Add(sec(5, 30))} }
	switch w.rng.IntN(kinds) {
	case 20:
		w.lateWrites = spellOf(0.4)
	case 21:
		w.lostAnswers = spellOf(0.5)
	case 22:
		w.lateReports = spellOf(0.3)
	case 23:
		w.keepReports(0.3, sec(5, 30))
	case 24:
		w.slowState = spellOf(0.8)
	case 25:
		w.slowLinks = spellOf(0.7)
	case 26:
		w.heldOrders = spellOf(0.4)
	case 27:
		w.quickBoots = spellOf(1)
	case 28:
		w.lastMoment = spellOf(0.7)
	case 29:
		w.closeLooks = spellOf(1)
	case 30:
		if k != nil {
			w.silence(k, sec(3, 40))
		}
	case 31:
		w.cancelNow(1+w.rng.IntN(3), time.Duration(w.rng.IntN(2))*sec(2, 19))
	case 32:
		w.odd(w.now.Add(10 * time.Second))
	case 33:
		// The leader alone is refused, then everybody for longer than cancel_s.
		if l := w.leader(); l != nil {
			w.store.refuses[l.name] = w.now.Add(14 * time.Second)
			w.at(sec(1, 5), func() { w.store.downUntil = w.now.Add(seconds(w.set.Workers.CancelS) + sec(1, 12)) })
		}
	case 0, 1:
		n.kill(back)
	case 2:
		for _, o := range w.nodes {
			o.kill(back)
		}
	case 3:
		w.logf("state service down")
		w.store.downUntil = w.now.Add(sec(3, 30))
	case 4:
		w.sever(n.name, "state", hold, sec(2, 20))
	case 5:
		w.sever(n.name, "*", hold, sec(3, 30))
	case 6:
		for _, o := range w.nodes {
			if o != n {
				w.sever(n.name, o.name, hold, sec(3, 20))
			}
		}
	case 7:
		w.sever(n.name, machines, hold, sec(5, 45))
	case 8, 9:
		if k != nil {
			w.sever(string(k.host), "*", hold, sec(3, 50))
		}
	case 10:
		if k != nil {
			k.hang(sec(3, 40))
		}
	case 11:
		w.cloud.wave(0.5)
	case 12:
		w.logf("state service refuses %s", n.name)
		w.store.refuses[n.name] = w.now.Add(sec(3, 20))
	case 13:
		w.logf("cloud trouble")
		w.cloud.downUntil = w.now.Add(sec(3, 20))
	case 14:
		if k != nil {
			w.logf("nothing reaches %s", k.host)
			w.deaf[string(k.host)] = w.now.Add(sec(3, 50))
		}
	case 15, 16:
		// Its workers still reach it.
		w.isolate(n, hold, sec(3, 40))
	case 17:
		if k != nil {
			k.restart()
		}
	case 19:
		n.freeze(sec(3, 45))
	case 18:
		w.cutZone(w.set.Zones[w.rng.IntN(2)], hold, sec(5, 60))
	}
	pause := 14000
	if w.cfg.Meet {
		pause = 7000 // two or three at once
	}
	w.at(time.Duration(1000+w.rng.IntN(pause))*time.Millisecond, w.fault)
}

// leader returns the node that surely leads, nil if none does.
func (w *World) leader() *node {
	for _, n := range w.nodes {
		if n.alive && n.ctl.Election().Valid() {
			return n
		}
	}
	return nil
}

func (w *World) sortedWorkers() []*worker {
	out := make([]*worker, 0, len(w.workers))
	for _, k := range w.workers {
		out = append(out, k)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].host < out[k].host })
	return out
}

func (w *World) anyWorker() *worker {
	all := w.sortedWorkers()
	if len(all) == 0 {
		return nil
	}
	return all[w.rng.IntN(len(all))]
}

// Tail returns the end of the log.
func (w *World) Tail(n int) string {
	return strings.Join(w.Log[max(0, len(w.Log)-n):], "\n")
}
