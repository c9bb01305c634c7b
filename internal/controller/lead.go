package controller

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/commit"
	"opaldale/internal/fleet"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/placement"
	"opaldale/internal/settings"
	"opaldale/internal/statesvc"
	"opaldale/internal/vouch"
	"opaldale/internal/workers"
)

// lead is all that a leader remembers, for one term only.
type lead struct {
	c       *Controller
	term    ident.Term
	commits *commit.Committer
	jobs    *jobs.Table
	workers *workers.Table
	teams   *placement.Teams
	planner *placement.Planner
	fleet   *fleet.Manager

	models  []cloud.Model
	kinds   map[string]*cloud.Model
	catalog *commit.Doc

	groups    map[kindOf]*workers.Group // that new machines go into
	lastGroup int

	ready  bool
	dead   bool
	began  ident.Mono
	rested ident.Mono // no dispatch before
	waking bool       // a timer will bring the next
	dirty  bool       // something may be placed
	// pending holds the users whose answers wait for the state service.
	pending map[uint64]func(Reply)
	lastReq uint64

	ledger  *vouch.Ledger
	direct  ident.Mono               // when a machine last reached this node, or it one
	missing map[*workers.Worker]bool // alive as a sibling hears, but not reached from here since
	probed  ident.Mono               // when one of them was last asked
}

const (
	fleetPrefix = "fleet/"
	catalogKey  = "catalog"
	// writeShare and opsShare leave room for lease renewals and elections.
	writeShare   = 0.85
	maxBacklog   = 400
	tickEvery    = 500 * time.Millisecond
	catalogEvery = 30 * time.Second
	loadTime     = 3 * time.Second
	restAfter    = 12 * time.Second
	restFactor   = 4
	// dispatchEvery lets what comes in short order be placed together.
	dispatchEvery = 30 * time.Millisecond
	aloneAfter    = 2500 * time.Millisecond
	// directAfter is how long a leader may go without reaching a machine, or one
	// reaching it, before it suspects itself.
	directAfter = 2 * time.Second
	// unreached is how many machines that siblings hear must be out of its reach.
	unreached = 3
	// probeEvery paces the questions that find them.
	probeEvery = 100 * time.Millisecond
)

func newLead(c *Controller, t ident.Term, key statesvc.Cond) *lead {
	l := &lead{c: c, term: t, began: c.env.Now(), kinds: map[string]*cloud.Model{}, groups: map[kindOf]*workers.Group{}, pending: map[uint64]func(Reply){},
		ledger: vouch.NewLedger(c.grace), direct: c.env.Now(), missing: map[*workers.Worker]bool{}}
	st := c.set.Cluster.State
	valueBytes := int(st.ValueKB * 1024)
	l.commits = commit.New(c.env, commit.Limits{Ops: st.TxnOps, PerSecond: writeShare * st.WriteRPS, ValueBytes: valueBytes},
		key, func(why string) { c.elect.Deposed(why) })
	l.commits.OnDown = l.refusePending
	l.jobs = jobs.NewTable(l.commits, valueBytes, c.env.Now, c.env.WallMS)
	l.teams = placement.NewTeams(c.set.Cluster.Teams)
	w := c.set.Cluster.Workers
	l.workers = workers.NewTable(c.env, l.jobs, workers.Config{
		Term: t, LeaseS: settings.Seconds(w.LeaseS), Grace: c.grace,
		Catalog: func(m string) *cloud.Model { return l.kinds[m] },
		Deposed: func() { c.elect.Deposed("a worker has seen a later term") },
		Changed: func() { l.dirty = true },
		Failed:  l.failed,
		Commit:  l.commitWorker,
		Asked:   l.asked,
		Renewed: func() ident.Mono { return l.ledger.Renewed(c.env.Now()) },
	})
	l.planner = placement.NewPlanner(l.teams, l.jobs, l.workers, l, c.env.Now, c.set.Tuning.Plan == "asm1", c.set.Cluster.Objectives)
	l.planner.MaxWait = c.set.Tuning.MaxWait
	l.fleet = fleet.New(c.env, l.workers, l.jobs, l.teams, c.rng, fleet.Config{
		Term: t, Tuning: c.set.Tuning, Cloud: c.set.Cluster.Cloud, Workers: w,
		Catalog: func() []cloud.Model { return l.models },
		Reached: l.reached, Stranded: l.stranded,
		Direct: func() bool { return l.c.env.Now().Sub(l.direct) < directAfter },
		Aim:    l.planner.Aim,
		Movable: func(t *jobs.Task, from *workers.Worker) bool {
			return !l.commits.Down() && l.planner.Movable(t, from)
		},
		Drain:   l.drain,
		Reserve: func(site string, cpus float64) { l.planner.Reserve[site] = cpus },
	})
	l.jobs.OnMove = l.move
	l.jobs.OnWaiting = func(*jobs.Task) { l.dirty = true }
	return l
}

func (l *lead) close() {
	l.dead = true
	l.commits.Stop()
	l.workers.Close()
	l.fleet.Close()
	l.refusePending()
}

// refusePending answers those who wait for a state service that doesn't answer:
// they are not kept waiting for it.
func (l *lead) refusePending() {
	for _, id := range slices.Sorted(maps.Keys(l.pending)) {
		reply := l.pending[id]
		delete(l.pending, id)
		l.c.Refused++
		reply(unavailable("state service unavailable"))
	}
}

// wait makes a reply that is refused when the state service doesn't answer in
// time; the returned function answers unless that has happened.
func (l *lead) wait(reply func(Reply)) func(Reply) {
	l.lastReq++
	id := l.lastReq
	l.pending[id] = reply
	l.c.env.After(commitTime, func() {
		if l.pending[id] != nil {
			delete(l.pending, id)
			l.c.Refused++
			reply(unavailable("state service is slow"))
		}
	})
	return func(r Reply) {
		if l.pending[id] != nil {
			delete(l.pending, id)
			reply(r)
		}
	}
}

// load reads what earlier terms left; only then does the leader act.
func (l *lead) load() {
	began := l.c.env.Now()
	left := 4
	var live, log, machines []statesvc.Pair
	done := func() {
		if left--; left > 0 {
			return
		}
		for _, p := range machines {
			l.restoreGroup(p)
		}
		for _, p := range live {
			if err := l.jobs.Load(p.Path, p.Value, p.Stamp); err != nil {
				slog.Error("unreadable record", "err", err)
			}
		}
		if err := l.jobs.LoadLog(log); err != nil {
			slog.Error("unreadable record", "err", err)
		}
		slog.Info("loaded", "term", uint64(l.term), "jobs", len(l.jobs.Jobs), "machines", len(l.workers.Workers),
			"took_ms", l.c.env.Now().Sub(began).Milliseconds())
		l.begin()
	}
	l.readAll(jobs.LivePrefix, "", &live, done)
	l.readAll(commit.LogPrefix, "", &log, done)
	l.readAll(fleetPrefix, "", &machines, done)
	l.readCatalog(done)
}

func (l *lead) readAll(prefix, since string, into *[]statesvc.Pair, done func()) {
	l.c.env.State(statesvc.Request{Op: statesvc.List, Starts: prefix, Since: since, Timeout: loadTime}, func(r statesvc.Reply) {
		if l.dead {
			return
		}
		if r.Outcome != statesvc.OK {
			l.c.env.After(200*time.Millisecond, func() {
				if !l.dead {
					l.readAll(prefix, since, into, done)
				}
			})
			return
		}
		*into = append(*into, r.Pairs...)
		if r.Truncated && len(r.Pairs) > 0 {
			l.readAll(prefix, r.Pairs[len(r.Pairs)-1].Path, into, done)
			return
		}
		done()
	})
}

// readCatalog takes the machine types from the state service, and failing that
// from the cloud.
func (l *lead) readCatalog(done func()) {
	l.catalog = &commit.Doc{Path: catalogKey}
	l.catalog.Render = func() json.RawMessage { return api.JSON(l.models) }
	l.c.env.State(statesvc.Request{Op: statesvc.Get, Path: catalogKey, Timeout: commitTime}, func(r statesvc.Reply) {
		if l.dead {
			return
		}
		switch r.Outcome {
		case statesvc.OK:
			l.catalog.Stamp = r.Stamp
			var models []cloud.Model
			if err := json.Unmarshal(r.Value, &models); err == nil && len(models) > 0 {
				l.setModels(models)
				done()
				l.askCatalog(nil)
				return
			}
			l.askCatalog(done)
		case statesvc.NotFound:
			l.askCatalog(done)
		default:
			l.c.env.After(200*time.Millisecond, func() {
				if !l.dead {
					l.readCatalog(done)
				}
			})
		}
	})
}

func (l *lead) setModels(models []cloud.Model) {
	l.models = models
	for i := range models {
		k := models[i]
		if old := l.kinds[k.SKU]; old != nil {
			*old = k // machines point to it
		} else {
			l.kinds[k.SKU] = &k
		}
	}
}

// askCatalog reads the cloud's catalog; first is called once it is known, or
// nil: it is then read again in a while, since prices move.
func (l *lead) askCatalog(first func()) {
	l.c.env.Cloud(cloud.Request{Op: cloud.Catalog}, func(r cloud.Reply) {
		if l.dead {
			return
		}
		wait := catalogEvery
		if r.Outcome == cloud.OK && len(r.Models) > 0 {
			same := len(r.Models) == len(l.models)
			for i := 0; same && i < len(r.Models); i++ {
				a, b := r.Models[i], l.models[i]
				a.MarketPrice, b.MarketPrice = 0, 0
				same = string(api.JSON(a)) == string(api.JSON(b))
			}
			l.setModels(r.Models)
			if !same {
				l.commits.Mark(l.catalog, nil)
			}
			if first != nil {
				first()
				first = nil
			}
		} else {
			slog.Info("catalog unavailable", "err", r.Error)
			wait = time.Second
		}
		l.c.env.After(wait, func() {
			if !l.dead {
				l.askCatalog(first)
			}
		})
	})
}

// groupRecord is the value of a key of machines, all of one kind.
type groupRecord struct {
	Model   string          `json:"model"`
	Site    string          `json:"site"`
	Standby bool            `json:"standby,omitempty"`
	Hosts   []machineRecord `json:"hosts"`
}

type machineRecord struct {
	Host   ident.HostID `json:"h"`
	Addr   string       `json:"a,omitempty"`
	BornMS int64        `json:"b"`
}

// groupSize bounds the machines on record under one key: what one request rents.
const groupSize = 50

// kindOf names what the machines of a group have in common.
type kindOf struct {
	model, site string
	standby     bool
}

// commitWorker writes a machine's record, new or changed. A new machine is waited
// for, as a successor must know it before anything runs there; the rest has time.
func (l *lead) commitWorker(w *workers.Worker) {
	fresh := w.Group == nil
	if fresh {
		k := kindOf{w.Model, w.Site, w.Standby}
		g := l.groups[k]
		if g == nil || len(g.Members) >= groupSize || g.Dropped {
			l.lastGroup++
			g = l.newGroup(fmt.Sprintf("%s%d-%d", fleetPrefix, l.term, l.lastGroup), k)
			l.groups[k] = g
		}
		w.Group = g
		g.Members = append(g.Members, w)
	}
	if w.State == workers.Gone {
		g := w.Group
		g.Members = slices.DeleteFunc(slices.Clone(g.Members), func(o *workers.Worker) bool { return o == w })
		l.commits.MarkLazy(g.Doc, func() { w.Recorded = false })
		return
	}
	if fresh {
		l.commits.Mark(w.Group.Doc, func() {
			if w.State != workers.Gone {
				w.Recorded = true
				l.dirty = true
			}
		})
		return
	}
	l.commits.MarkLazy(w.Group.Doc, nil)
}

func (l *lead) newGroup(path string, k kindOf) *workers.Group {
	g := &workers.Group{Doc: &commit.Doc{Path: path}}
	g.Doc.Render = func() json.RawMessage {
		if len(g.Members) == 0 {
			// Deleted, and not used again.
			g.Dropped = true
			return nil
		}
		r := groupRecord{Model: k.model, Site: k.site, Standby: k.standby}
		for _, w := range g.Members {
			r.Hosts = append(r.Hosts, machineRecord{w.Host, w.Addr, l.c.env.WallMS() - l.c.env.Now().Sub(w.Born).Milliseconds()})
		}
		return api.JSON(r)
	}
	return g
}

func (l *lead) restoreGroup(p statesvc.Pair) {
	var r groupRecord
	if err := json.Unmarshal(p.Value, &r); err != nil {
		slog.Error("unreadable record", "path", p.Path, "err", err)
		return
	}
	g := l.newGroup(p.Path, kindOf{r.Model, r.Site, r.Standby})
	g.Doc.Stamp = p.Stamp
	now := l.c.env.Now()
	for _, m := range r.Hosts {
		age := time.Duration(l.c.env.WallMS()-m.BornMS) * time.Millisecond
		w := l.workers.Restore(m.Host, r.Model, r.Site, r.Standby, now.Add(-max(0, age)), m.Addr, g)
		g.Members = append(g.Members, w)
	}
}

// begin takes over from the term before.
func (l *lead) begin() {
	for _, j := range l.jobs.Sorted() {
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if !t.State.Held() {
				continue
			}
			w := l.workers.Workers[t.Host]
			if w == nil {
				// Its machine's record was deleted: it is surely gone, which its
				// return proves.
				w = l.workers.Add(t.Host, "", "", false, l.c.env.Now())
				l.fleet.Return(w, "not on record")
			}
			l.count(t, w, 1)
		}
	}
	l.jobs.Loaded()
	if l.jobs.Seq > 0 {
		l.fleet.Continue()
	}
	for _, j := range l.jobs.Sorted() {
		if j.Phase == jobs.Open {
			l.fleet.Arrived(j.Spec, j.Arrived)
		}
		if j.Phase == jobs.Cancelled {
			l.stopAll(j)
		}
	}
	l.ready, l.dirty = true, true
	l.ask()
	l.tick()
	l.roundLater()
}

// ask probes machines of the term before that have not reported yet, a few at a
// time: nothing is placed on them until they are heard, and all at once would be a
// storm.
func (l *lead) ask() {
	if l.dead {
		return
	}
	n := maxAsked
	for _, replicas := range []bool{true, false} { // users miss those first
		for _, w := range l.workers.Sorted() {
			if w.State != workers.Up || w.Reported() || w.Misses() > 0 || (w.Replicas > 0) != replicas {
				continue
			}
			if n == 0 {
				l.c.env.After(askEvery, l.ask)
				return
			}
			// One that has not answered yet takes nobody's turn: with a rack silent,
			// sixteen of it kept all others from being asked.
			if l.workers.Probe(w) {
				n--
			}
		}
	}
}

const (
	maxAsked = 16
	askEvery = 200 * time.Millisecond
)

func (l *lead) tick() {
	if l.dead {
		return
	}
	next := tickEvery
	if l.c.elect.Valid() {
		if l.alone() {
			l.c.elect.Resign(restAfter, "nobody is heard")
			return
		}
		began := l.c.env.Now()
		l.fleet.Tick()
		l.dirty = true
		next = max(next, restFactor*l.c.env.Now().Sub(began))
	}
	l.c.env.After(next, l.tick)
}

func (l *lead) roundLater() {
	l.c.env.After(l.c.set.Tuning.Round, func() {
		if l.dead {
			return
		}
		if l.c.elect.Valid() {
			l.planner.Round()
			l.dirty = true
			if l.planner.Stats.Rounds%12 == 0 {
				s := l.planner.Stats
				slog.Debug("figures", "planned", s.Planned, "local", s.Local, "new", s.New, "stolen", s.Stolen, "services", s.Services,
					"rounds", s.Rounds, "extra", s.Extra, "fetched_gb", s.FetchedGB, "plan_ms", s.Took.Seconds()*1000, "preempted", s.Preempted)
			}
		}
		l.roundLater()
	})
}

func (l *lead) settle() {
	if l.dead {
		return
	}
	// While nothing gets durable nothing can be launched, and what would be stopped
	// for it would be stopped for nothing.
	if l.ready && l.dirty && l.c.elect.Valid() && !l.commits.Down() {
		now := l.c.env.Now()
		switch {
		case now >= l.rested:
			l.dirty = l.planner.Dispatch()
			// With thousands of jobs waiting a dispatch is long. It may take a
			// part of the time only, or the lease is not renewed for it.
			done := l.c.env.Now()
			l.rested = done.Add(max(dispatchEvery, restFactor*done.Sub(now)))
		case !l.waking:
			l.waking = true
			l.c.env.After(l.rested.Sub(now), func() { l.waking = false })
		}
	}
	l.commits.Flush()
}

// count keeps machines, teams and zones in step with a task that counts, or
// doesn't any more.
func (l *lead) count(t *jobs.Task, w *workers.Worker, sign int) {
	j := t.Job
	l.teams.Count(j.Spec, float64(sign))
	if w == nil {
		return
	}
	if j.Spec.OneZone || j.Spec.Apart {
		if j.Zones == nil {
			j.Zones = map[string]int{}
		}
		j.Zones[w.Site] += sign
	}
	if sign > 0 {
		l.workers.Hold(w, t)
	} else {
		l.workers.Release(w, t)
	}
}

func (l *lead) move(t *jobs.Task, from, to jobs.State) {
	w := l.workers.Workers[t.Host]
	if !from.Held() && to.Held() {
		l.count(t, w, 1)
	}
	if from.Held() && !to.Held() {
		l.count(t, w, -1)
	}
}

// Place carries out a decision: it is launched once it is durable.
func (l *lead) Place(t *jobs.Task, w *workers.Worker) {
	slog.Debug("place", "piece", t.Piece().String(), "host", string(w.Host), "held", w.Holds(t.Job.Spec.Bundle), "within", l.planner.Within(t.Job),
		"age_s", l.c.env.Now().Sub(t.Job.Arrived).Seconds())
	l.jobs.Place(t, w.Host, w.Tenure, func() {
		if l.dead || !l.c.elect.Valid() {
			return // the answer to its worker's next report launches it
		}
		if w.State == workers.Returning || w.State == workers.Gone {
			return
		}
		l.workers.Launch(w, t)
	})
}

// Preempt stops a task so that another finds room.
func (l *lead) Preempt(t *jobs.Task, w *workers.Worker, windDown time.Duration) {
	slog.Info("preempting", "piece", t.Piece().String(), "host", string(w.Host))
	l.workers.StopTask(w, t, windDown)
}

func (l *lead) stopAll(j *jobs.Job) {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State.Held() {
			l.workers.StopTask(l.workers.Workers[t.Host], t, 0)
		}
	}
}

// drain moves the tasks of a machine that will be taken, unless they will
// probably complete before.
func (l *lead) drain(w *workers.Worker) {
	now := l.c.env.Now()
	left := w.Doomed.Sub(now)
	for _, t := range l.workers.TasksOf(w) {
		s := t.Job.Spec
		if t.State != jobs.Assigned {
			continue
		}
		need := settings.Seconds(s.RuntimeS)
		if t.RunsAt > 0 {
			need -= now.Sub(t.RunsAt)
		}
		save := settings.Seconds(s.SnapshotS)
		switch {
		case s.Saves():
			// As late as it can still save, with a report's time to spare.
			if left < save+2*settings.Seconds(l.c.set.Cluster.Workers.ReportS) {
				l.workers.StopTask(w, t, save+time.Millisecond)
			}
		case s.Shape == api.Service || need > left:
			l.workers.StopTask(w, t, 0)
		}
	}
}

// alone says whether this node hears no sibling and, with several machines up,
// none of them either: a leader cut off from all but the state service would keep
// its lease, and the cluster, for as long as the cut lasts.
func (l *lead) alone() bool {
	now := l.c.env.Now()
	if len(l.c.set.Siblings) == 0 || now.Sub(l.began) < aloneAfter {
		return false
	}
	for _, s := range l.c.set.Siblings {
		if l.c.reachable(s.Node) {
			return false
		}
	}
	up := 0
	for _, w := range l.workers.Workers {
		if w.State == workers.Up || w.State == workers.Silent {
			if now.Sub(w.Heard()) < aloneAfter {
				return false
			}
			up++
		}
	}
	return up >= 2
}

// heard notes that a machine's report arrived here, or by a sibling. A leader that
// reaches no machine itself asks those that siblings hear.
func (l *lead) heard(w *workers.Worker, direct bool) {
	now := l.c.env.Now()
	switch {
	case direct:
		l.contact()
	case w != nil && now.Sub(l.direct) > directAfter && now.Sub(l.probed) > probeEvery:
		if l.workers.Probe(w) {
			l.probed = now
		}
	}
}

// contact notes that a machine reached this node, or it one.
func (l *lead) contact() {
	l.direct = l.c.env.Now()
	clear(l.missing)
}

// asked takes the outcome of a command. Machines that siblings hear and this node
// doesn't reach show that it is cut off from them, not they from the cluster. It
// leaves the lead to a sibling: fenced for their silence, the fleet would be gone
// with all its replicas. (A leader that had lost the workers alone fenced every
// machine with replicas within five seconds.)
func (l *lead) asked(w *workers.Worker, answered bool) {
	now := l.c.env.Now()
	if answered {
		l.contact()
		return
	}
	if now.Sub(l.direct) < directAfter || !w.Reported() || now.Sub(w.Heard()) > 2*directAfter {
		return
	}
	if l.missing[w] = true; len(l.missing) >= unreached && l.c.elect.Valid() {
		l.c.elect.Resign(restAfter, "machines are heard by siblings only")
	}
}

// allowance is how long siblings may vouch for this leader from now on. A lease given
// by them at the very end must be over before cancel_s is, for every job that was
// cancelled and is not surely gone.
func (l *lead) allowance(now ident.Mono) time.Duration {
	left := l.c.grace
	for _, j := range l.jobs.Jobs {
		if j.Phase == jobs.Cancelled && j.Held > 0 {
			left = min(left, l.c.grace-now.Sub(j.Ended))
		}
	}
	return max(0, left)
}

// stranded says whether all siblings in a zone are silent, and there are some.
func (l *lead) stranded(site string) bool {
	n := 0
	for _, s := range l.c.set.Siblings {
		if s.Zone != site {
			continue
		}
		if l.c.reachable(s.Node) {
			return false
		}
		n++
	}
	return n > 0
}

// reached says whether a sibling is heard, which would pass workers' reports on.
// A leader that hears neither workers nor siblings leaves the lead to one that
// may.
func (l *lead) reached() bool {
	for _, s := range l.c.set.Siblings {
		if l.c.reachable(s.Node) {
			return true
		}
	}
	if len(l.c.set.Siblings) == 0 {
		return true
	}
	l.c.elect.Resign(restAfter, "neither machines nor siblings are heard")
	return false
}

// failed decides when and where a task that ended early is tried again.
func (l *lead) failed(t *jobs.Task, w *workers.Worker, c api.Cause) {
	now := l.c.env.Now()
	j := t.Job
	switch c {
	case api.CauseError:
		slog.Info("task failed", "piece", t.Piece().String(), "host", string(w.Host))
		t.Fails++
		if j.Shunned == nil {
			j.Shunned = map[ident.HostID]bool{}
		}
		j.Shunned[w.Host] = true
		if len(j.Shunned) >= 3 {
			// Rather the job's fault than that of so many machines.
			clear(j.Shunned)
			j.Backoff = min(max(2*j.Backoff, 4*time.Second), 2*time.Minute)
			j.RetryAt = now.Add(j.Backoff)
		}
	case api.CauseFull:
		slog.Info("refused: full", "piece", t.Piece().String(), "host", string(w.Host))
		w.Shun = now.Add(time.Second)
	case api.CauseBusy, api.CauseUnknown:
		slog.Info("refused", "piece", t.Piece().String(), "host", string(w.Host), "cause", string(c))
		t.Fails++
		t.RetryAt = now.Add(min(time.Duration(t.Fails)*time.Second, 10*time.Second))
	}
}

// submit takes a job in.
func (l *lead) submit(s *api.Spec, reply func(Reply)) {
	known := func(v api.View) { reply(ack(v)) }
	if j := l.jobs.Jobs[s.ID]; j != nil {
		reply := l.wait(reply)
		j.WhenKnown(func() { reply(ack(j.View())) })
		return
	}
	if e, ok := l.jobs.Ended(s.ID); ok {
		known(e.View(s.ID))
		return
	}
	if why := l.refusal(s); why != "" {
		// Unless it was accepted, by other rules, and is over.
		l.ended(s.ID, reply, known, func() { reply(problem(http.StatusUnprocessableEntity, why)) })
		return
	}
	if l.commits.Down() || l.commits.Backlog() > maxBacklog {
		l.c.Refused++
		reply(unavailable("state service unavailable"))
		return
	}
	reply = l.wait(reply)
	l.jobs.Add(s, func() {
		l.fleet.Arrived(s, l.c.env.Now())
		reply(answer(http.StatusCreated, api.Ack{ID: s.ID, Status: "queued"}))
	}, func() {
		l.ended(s.ID, reply, known, func() { reply(unavailable("try again")) })
	})
}

// refusal says why a job can never run.
func (l *lead) refusal(s *api.Spec) string {
	if why := l.teams.Refusal(s); why != "" {
		return why
	}
	for i := range l.models {
		k := &l.models[i]
		if !workers.AllowsModel(s, k.SKU) || !workers.Could(k, s) {
			continue
		}
		for _, z := range k.Sites {
			if s.Site == nil || *s.Site == z {
				return ""
			}
		}
	}
	return "models: no machine type fits"
}

// ended looks for a job that went over in an earlier term.
func (l *lead) ended(id ident.JobID, reply func(Reply), found func(api.View), missing func()) {
	l.c.over(id, func(e jobs.Ended, ok bool, err error) {
		switch {
		case err != nil:
			reply(unavailable("state service unavailable"))
		case ok:
			l.jobs.Remember(id, e)
			found(e.View(id))
		default:
			missing()
		}
	})
}

// poll answers from memory.
func (l *lead) poll(id ident.JobID, reply func(Reply)) {
	if j := l.jobs.Jobs[id]; j != nil {
		if j.Known {
			reply(answer(http.StatusOK, j.View()))
			return
		}
		reply = l.wait(reply)
		j.WhenKnown(func() { reply(answer(http.StatusOK, j.View())) })
		return
	}
	if e, ok := l.jobs.Ended(id); ok {
		reply(answer(http.StatusOK, e.View(id)))
		return
	}
	if !l.c.reads.take(l.c.env.Now(), 1) {
		l.c.Refused++
		reply(unavailable("too many polls at present"))
		return
	}
	l.ended(id, reply, func(v api.View) { reply(answer(http.StatusOK, v)) },
		func() { reply(problem(http.StatusNotFound, "no such job")) })
}

// cancel ends a job. Its tasks are stopped at once; nobody has any use for them.
func (l *lead) cancel(id ident.JobID, reply func(Reply)) {
	if j := l.jobs.Jobs[id]; j != nil {
		reply = l.wait(reply)
		l.jobs.Cancel(j, func() { reply(ack(j.View())) })
		if j.Phase == jobs.Cancelled {
			l.stopAll(j)
		}
		return
	}
	say := func(v api.View) { reply(ack(v)) }
	if e, ok := l.jobs.Ended(id); ok {
		say(e.View(id))
		return
	}
	l.ended(id, reply, say, func() { reply(problem(http.StatusNotFound, "no such job")) })
}
