package controller

import (
	"encoding/json"
	"errors"
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
	"opaldale/internal/gang"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/placement"
	"opaldale/internal/settings"
	"opaldale/internal/statesvc"
	"opaldale/internal/upgrade"
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

	gangs  *gang.Table
	raiser *upgrade.Raiser

	models  []cloud.Model
	kinds   map[string]*cloud.Model
	catalog *commit.Doc   // of the first format
	types   []*commit.Doc // from it on: one for each machine type

	level      ident.Level // the format that is written
	valueBytes int         // of a value, at any time
	converted  ident.Mono  // no look for jobs in the old form before

	groups    map[kindOf]*workers.Group // that new machines go into
	older     []*workers.Group          // loaded, in the form of before
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
	typesPrefix = "types/"
	// convertBatch bounds the lines and headers that a tick begins to write anew in the
	// newest form.
	convertBatch = 50
	convertAgain = 5 * time.Second
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
	// maxMute bounds the machines that a leader asks at a time whether it is alone.
	maxMute = 4
	// directAfter is how long a leader may go without reaching a machine, or one
	// reaching it, before it suspects itself.
	directAfter = 2 * time.Second
	// unreached is how many machines that siblings hear must be out of its reach.
	unreached = 3
	// probeEvery paces the questions that find them.
	probeEvery = 100 * time.Millisecond
)

func newLead(c *Controller, t ident.Term, level ident.Level, key statesvc.Cond) *lead {
	l := &lead{c: c, term: t, level: level, began: c.env.Now(), kinds: map[string]*cloud.Model{}, groups: map[kindOf]*workers.Group{}, pending: map[uint64]func(Reply){},
		ledger: vouch.NewLedger(c.grace), direct: c.env.Now(), missing: map[*workers.Worker]bool{}}
	st := c.set.Cluster.State
	limits := func(s settings.State) commit.Limits {
		return commit.Limits{Ops: s.TxnOps, PerSecond: writeShare * s.WriteRPS, ValueBytes: int(s.ValueKB * 1024)}
	}
	tight := limits(st.Tight())
	l.valueBytes = tight.ValueBytes
	l.commits = commit.New(c.env, limits(st), key, func(why string) { c.elect.Deposed(why) })
	l.commits.Expect(tight)
	l.commits.OnDown = l.refusePending
	l.jobs = jobs.NewTable(l.commits, limits(st).ValueBytes, c.env.Now, c.env.WallMS)
	l.jobs.Expect(l.valueBytes)
	if level >= ident.Packed {
		l.commits.Pack()
		l.jobs.Pack()
	}
	nodes := []ident.NodeID{c.set.Node}
	for _, s := range c.set.Siblings {
		nodes = append(nodes, s.Node)
	}
	l.raiser = upgrade.New(c.env, t, key, nodes, l.commits.Mark, l.pack)
	l.teams = placement.NewTeams(c.set.Cluster.Teams)
	w := c.set.Cluster.Workers
	port := leaderPort{Env: c.env, until: c.elect.Until}
	l.workers = workers.NewTable(port, l.jobs, workers.Config{
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
	l.planner.MaxWait, l.planner.GangWait = c.set.Tuning.MaxWait, c.set.Tuning.GangWait
	l.fleet = fleet.New(port, l.workers, l.jobs, l.teams, c.rng, fleet.Config{
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
	l.gangs = gang.NewTable(l.jobs, l.workers, c.env.Now, func() bool { return !l.dead && c.elect.Valid() },
		gang.Config{Wait: settings.Seconds(w.GangWaitS), Peer: settings.Seconds(w.GangPeerS), Report: settings.Seconds(w.ReportS)})
	l.jobs.OnMove = l.move
	l.jobs.OnWaiting = func(*jobs.Task) { l.dirty = true }
	return l
}

func (l *lead) close() {
	l.dead = true
	l.commits.Stop()
	l.workers.Close()
	l.fleet.Close()
	l.raiser.Close()
	l.refusePending()
}

// pack goes over to the format of ident.Packed, now that it is in force. It goes with
// the first format.
func (l *lead) pack() {
	if l.dead {
		return
	}
	l.level = ident.Packed
	l.c.level = max(l.c.level, l.level)
	l.commits.Pack()
	l.jobs.Pack()
	l.fitGroups()
	l.storeCatalog()
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
		var faults []error
		for _, p := range machines {
			faults = append(faults, l.restoreGroup(p))
		}
		for _, p := range live {
			faults = append(faults, l.jobs.Load(p.Path, p.Value, p.Stamp))
		}
		faults = append(faults, l.jobs.LoadLog(log))
		if err := errors.Join(faults...); err != nil {
			// On half a state a leader would forget jobs, or start tasks that run.
			slog.Error("unreadable record", "err", err)
			l.c.elect.Resign(restAfter, "unreadable record")
			return
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
	l.read(statesvc.Request{Op: statesvc.List, Starts: prefix, Since: since, Timeout: loadTime}, func(r statesvc.Reply) {
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
	l.catalog.Render = func() json.RawMessage {
		if l.level >= ident.Packed {
			return nil
		}
		return api.JSON(l.models)
	}
	known := func(models []cloud.Model) {
		if len(models) == 0 {
			l.askCatalog(done)
			return
		}
		l.setModels(models)
		done()
		l.askCatalog(nil)
	}
	whole := func() {
		l.read(statesvc.Request{Op: statesvc.Get, Path: catalogKey, Timeout: commitTime}, func(r statesvc.Reply) {
			var models []cloud.Model
			if r.Outcome == statesvc.OK {
				l.catalog.Stamp = r.Stamp
				if err := json.Unmarshal(r.Value, &models); err != nil {
					slog.Error("unreadable catalog", "err", err)
				}
			}
			known(models)
		})
	}
	if l.level < ident.Packed {
		whole()
		return
	}
	var pairs []statesvc.Pair
	l.readAll(typesPrefix, "", &pairs, func() {
		var models []cloud.Model
		for i, p := range pairs {
			var m cloud.Model
			if p.Path != typeKey(i) || json.Unmarshal(p.Value, &m) != nil {
				slog.Error("unreadable machine type", "path", p.Path)
				continue
			}
			l.typeDoc(i).Stamp = p.Stamp
			models = append(models, m)
		}
		if len(models) == 0 {
			whole()
			return
		}
		known(models)
	})
}

// read asks the state service until it answers.
func (l *lead) read(r statesvc.Request, f func(statesvc.Reply)) {
	l.c.env.State(r, func(a statesvc.Reply) {
		switch {
		case l.dead:
		case a.Outcome == statesvc.OK || a.Outcome == statesvc.NotFound:
			f(a)
		default:
			l.c.env.After(200*time.Millisecond, func() {
				if !l.dead {
					l.read(r, f)
				}
			})
		}
	})
}

func typeKey(i int) string { return fmt.Sprintf("%s%05d", typesPrefix, i) }

// typeDoc is the record of the i-th machine type.
func (l *lead) typeDoc(i int) *commit.Doc {
	for k := len(l.types); k <= i; k++ {
		d := &commit.Doc{Path: typeKey(k)}
		d.Render = func() json.RawMessage {
			if k >= len(l.models) {
				return nil
			}
			b := api.JSON(l.models[k])
			if len(b) > l.valueBytes {
				slog.Error("a machine type is too large to be stored; the cloud tells it again", "model", l.models[k].SKU)
				return nil
			}
			return b
		}
		l.types = append(l.types, d)
	}
	return l.types[i]
}

// storeCatalog writes the machine types.
func (l *lead) storeCatalog() {
	if l.level >= ident.Packed {
		for i := range max(len(l.models), len(l.types)) {
			l.commits.Mark(l.typeDoc(i), nil)
		}
		if l.catalog.Stamp == 0 {
			return
		}
	}
	l.commits.Mark(l.catalog, nil)
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
				l.storeCatalog()
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
		l.gangs.Adopt(j)
	}
	l.ready, l.dirty = true, true
	if l.level < ident.NewestLevel {
		l.raiser.Look()
	} else {
		l.fitLoaded()
	}
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
		l.jobs.Acquit()
		l.fleet.Tick()
		l.gangs.Tick()
		if l.level >= ident.Packed && began > l.converted && l.commits.Spare() && !l.jobs.Convert(convertBatch) {
			l.converted = began.Add(convertAgain)
		}
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
				waits, limited, free := l.idleness()
				slog.Debug("room", "waiting", waits, "at_limit", limited, "free_vcpus", free)
				slog.Debug("figures", "planned", s.Planned, "local", s.Local, "new", s.New, "stolen", s.Stolen, "services", s.Services,
					"rounds", s.Rounds, "extra", s.Extra, "fetched_gb", s.FetchedGB, "plan_ms", s.Took.Seconds()*1000, "preempted", s.Preempted)
			}
		}
		l.roundLater()
	})
}

// idleness says how many tasks wait, how many of them for their team's limit, and how
// much room there is.
func (l *lead) idleness() (waits, limited int, free float64) {
	for j := range l.jobs.Waiting {
		n := j.Waits()
		waits += n
		limited += n - min(n, l.teams.Room(j.Spec))
	}
	for _, w := range l.workers.Sorted() {
		if w.Open(l.c.env.Now()) && w.Kind != nil {
			free += w.Kind.VCPUs - w.VCPUs
		}
	}
	return waits, limited, free
}

func (l *lead) settle() {
	if l.dead {
		return
	}
	if l.ready {
		l.gangs.Settle()
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
	l.gangs.Touch(t.Job)
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

// PlaceGang carries out the decision for all tasks of a gang that wait.
func (l *lead) PlaceGang(j *jobs.Job, picks []gang.Pick) {
	slog.Debug("place gang", "id", string(j.Spec.ID), "tasks", len(picks), "of", len(j.Tasks), "within", l.planner.Within(j),
		"age_s", l.c.env.Now().Sub(j.Arrived).Seconds())
	l.gangs.Place(j, picks)
}

// GangUsed says whether the gang's present attempt was on a machine before.
func (l *lead) GangUsed(j *jobs.Job, w *workers.Worker) bool { return l.gangs.Used(j, w.Host) }

// Stoppable says whether a gang can be stopped in order.
func (l *lead) Stoppable(j *jobs.Job) bool { return l.gangs.Stoppable(j) }

// StopGang stops a whole gang so that others find room.
func (l *lead) StopGang(j *jobs.Job) bool { return l.gangs.Stop(j, "makes room") }

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
		case s.Shape == api.Gang:
			// The whole gang, or none of it: what can't be told in time is lost anyway.
			save += settings.Seconds(l.c.set.Cluster.Workers.GangPeerS)
			if need > left && left < save+2*settings.Seconds(l.c.set.Cluster.Workers.ReportS) {
				l.gangs.Stop(t.Job, "a machine will be taken")
			}
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
	if l.c.hears(aloneAfter / 2) {
		return false
	}
	mute, asked, newest := 0, 0, ident.Mono(0)
	for _, w := range l.workers.Sorted() {
		if w.State != workers.Up && w.State != workers.Silent {
			continue
		}
		newest = max(newest, w.Heard())
		switch {
		case now.Sub(w.Heard()) < aloneAfter/2:
		case w.Misses() > 0:
			mute++
		case asked < maxMute && l.workers.Probe(w):
			// Where few machines are, reports leave longer gaps than this. (A leader of
			// two resigned between the reports of one of them, and nobody else was left.)
			asked++
		}
	}
	return !l.c.hears(peerSilent) && now.Sub(newest) >= aloneAfter && mute >= 2
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
	if l.c.hears(peerSilent) || len(l.c.set.Siblings) == 0 {
		return true
	}
	l.c.elect.Resign(restAfter, "neither machines nor siblings are heard")
	return false
}

// maxBackoff is the longest pause between two tries of a job whose tasks fail: shorter
// than any job may be left waiting.
const maxBackoff = time.Minute

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
			j.Suspect = !j.Gang()
			l.workers.Absolve(j)
		}
		if (j.Suspect || len(j.Shunned) == 0) && now >= j.RetryAt { // once for all that fail together
			j.Backoff = min(max(2*j.Backoff, 4*time.Second), maxBackoff)
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
		l.told(j, reply, ack)
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
	// A gang, or a header that the first format has no room for, waits for the level.
	size, most := l.jobs.Size(s)
	if size > most {
		why := fmt.Sprintf("the description takes %d bytes, and %d can be kept", size, most)
		l.ended(s.ID, reply, known, func() { reply(problem(http.StatusUnprocessableEntity, why)) })
		return
	}
	if l.level < ident.Packed && (s.Shape == api.Gang || size > jobs.HeaderBytes) {
		l.c.Refused++
		reply(unavailable("some nodes still run an earlier version"))
		return
	}
	if l.commits.Down() || l.commits.Backlog() > maxBacklog {
		l.c.Refused++
		reply(unavailable("state service unavailable"))
		return
	}
	reply = l.wait(reply)
	var j *jobs.Job
	j = l.jobs.Add(s, func() {
		l.fleet.Arrived(s, l.c.env.Now())
		if j.Phase != jobs.Open {
			// Its user cancelled it meanwhile.
			l.told(j, reply, ack)
			return
		}
		reply(l.fresh(answer(http.StatusCreated, api.Ack{ID: s.ID, Status: "queued"})))
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

// told answers with a job's view, once that is what every node would say.
func (l *lead) told(j *jobs.Job, reply func(Reply), as func(api.View) Reply) {
	say := func() {
		r := as(j.View())
		if j.Durable == jobs.Open {
			r = l.fresh(r)
		}
		reply(r)
	}
	if !j.Clear() {
		reply = l.wait(reply)
	}
	j.WhenClear(say)
}

// fresh bounds an answer from memory by the time for which leadership is sure: it is
// judged once more right before the answer goes out, as the process may stand still
// meanwhile.
func (l *lead) fresh(r Reply) Reply {
	if l.dead || !l.c.elect.Valid() {
		return unavailable("no leader at present")
	}
	return r.within(l.c.elect.Until())
}

// poll answers from memory.
func (l *lead) poll(id ident.JobID, reply func(Reply)) {
	if j := l.jobs.Jobs[id]; j != nil {
		l.told(j, reply, func(v api.View) Reply { return answer(http.StatusOK, v) })
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
		if j.Durable != jobs.Open {
			reply(ack(j.View()))
			return
		}
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
