// Package fleet rents and returns machines: for the work that waits, for the
// services to come, and to fence off machines that went silent.
package fleet

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/placement"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// Port is what the fleet needs of the world.
type Port interface {
	Now() ident.Mono
	After(time.Duration, func())
	Cloud(cloud.Request, func(cloud.Reply))
}

// pool is what can be rented in one request.
type pool struct {
	model, site string
	standby     bool
}

// market is what is known of a pool.
type market struct {
	pending int        // asked for, not yet answered
	closed  ident.Mono // no capacity until then
	backoff time.Duration
}

// Config is what a term's manager is made of.
type Config struct {
	Term    ident.Term
	Tuning  settings.Tuning
	Cloud   settings.Cloud
	Workers settings.Workers
	Catalog func() []cloud.Model
	// Reached is asked when most of the fleet is silent: whether workers could
	// reach us through a sibling. If not, the fault is more likely ours.
	Reached func() bool
	// Aim is the shortest time within which jobs of a lane should be done, 0 if
	// nothing is said.
	Aim func(lane string) time.Duration
	// Movable is asked whether a replica would find room, and its image, elsewhere.
	Movable func(t *jobs.Task, from *workers.Worker) bool
	// Drain is called for machines that will be taken.
	Drain func(w *workers.Worker)
	// Room is called when it changed how much arrays must leave free.
	Reserve func(site string, cpus float64)
}

// Manager holds one term's dealings with the cloud.
type Manager struct {
	cfg     Config
	port    Port
	machine *workers.Table
	jobs    *jobs.Table
	teams   *placement.Teams
	rng     *rand.Rand
	dead    bool

	hires   uint64
	markets map[pool]*market
	tokens  float64
	filled  ident.Mono
	leaving []*workers.Worker // to be returned with the next request
	listing bool
	listed  ident.Mono
	fences  []ident.Mono // of late
	ticked  ident.Mono
	stalled ident.Mono // when we were last found to have stalled
	excess  ident.Mono // since when there is more room than needed, 0: there isn't
	began   ident.Mono
	started ident.Mono    // of the term
	silent  time.Duration // a worker not heard of for so long is fenced

	services arrivals
	arrays   arrivals

	Rented, Returned, Fenced, NoCapacity uint64
}

// New makes the manager of a term.
func New(port Port, m *workers.Table, j *jobs.Table, t *placement.Teams, rng *rand.Rand, cfg Config) *Manager {
	now := port.Now()
	silent := cfg.Tuning.Silent
	if silent == 0 {
		// Two reports at their latest (a quarter late) are missing, and a probe.
		silent = settings.Seconds(2.2 * cfg.Workers.ReportS)
	}
	return &Manager{silent: silent, cfg: cfg, port: port, machine: m, jobs: j, teams: t, rng: rng, markets: map[pool]*market{},
		tokens: cfg.Cloud.RPS, filled: now, listed: now.Add(-time.Hour), began: now, started: now, ticked: now, stalled: now.Add(-time.Hour)}
}

// Close ends the manager with its term.
func (m *Manager) Close() { m.dead = true }

// arrivals remembers the jobs of the last while, to expect the next ones.
type arrivals struct {
	at   []ident.Mono
	cpus []float64
}

const (
	window = 90 * time.Second
	burst  = 25 * time.Second
	// settling is how long after the first job arrivals count as a backlog and
	// not as a rate.
	settling = 15 * time.Second
	maxSeen  = 2000
)

func (a *arrivals) add(now ident.Mono, cpus float64) {
	a.at = append(a.at, now)
	a.cpus = append(a.cpus, cpus)
	a.trim(now)
}

func (a *arrivals) trim(now ident.Mono) {
	n := 0
	for n < len(a.at) && (now.Sub(a.at[n]) > window || len(a.at)-n > maxSeen) {
		n++
	}
	a.at, a.cpus = a.at[n:], a.cpus[n:]
}

// rate returns CPUs a second, and the mean and the largest job.
func (a *arrivals) rate(now, began ident.Mono) (perSecond, mean, most float64) {
	a.trim(now)
	sum, last, all := 0.0, 0.0, 0.0
	for i, c := range a.cpus {
		all += c
		most = max(most, c)
		if a.at[i].Sub(began) > settling {
			sum += c
			if now.Sub(a.at[i]) < burst {
				last += c
			}
		}
	}
	if len(a.cpus) > 0 {
		mean = all / float64(len(a.cpus))
	}
	if span := min(now.Sub(began)-settling, window); span > 10*time.Second {
		// A burst is over before a slow mean has noticed it.
		perSecond = max(sum/span.Seconds(), last/burst.Seconds())
	}
	return
}

// Arrived notes a new job, or at the start of a term one of the term before.
func (m *Manager) Arrived(s *api.Spec, at ident.Mono) {
	cpus := s.VCPUs * float64(s.Pieces)
	if s.Shape == api.Service {
		m.services.add(at, cpus)
	} else {
		m.arrays.add(at, min(cpus, max(m.teams.Largest(), s.VCPUs)))
	}
}

// Continue tells that the cluster was running before this term: its arrivals are
// a rate from the beginning, not a backlog.
func (m *Manager) Continue() { m.began = m.began.Add(-time.Hour) }

// Tick looks after the fleet.
func (m *Manager) Tick() {
	m.watch()
	if m.dead {
		return // watch may end the term
	}
	m.list()
	m.size()
	m.flush()
}

// take spends a request of the cloud's rate.
func (m *Manager) take() bool {
	now := m.port.Now()
	m.tokens = min(m.cfg.Cloud.RPS, m.tokens+0.8*m.cfg.Cloud.RPS*now.Sub(m.filled).Seconds())
	m.filled = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// stall is a gap between two ticks by which a node is known to have been slow.
const stall = 2 * time.Second

// watch finds machines that are silent, doomed, faulty or never came up.
func (m *Manager) watch() {
	now := m.port.Now()
	// After a stall of our own, reports wait to be read: nobody is silent yet.
	if now.Sub(m.ticked) > stall {
		m.stalled = now
	}
	m.ticked = now
	t := m.cfg.Tuning
	var silent []*workers.Worker
	up := 0
	for _, w := range m.machine.Sorted() {
		quiet := min(m.machine.Silence(w), now.Sub(m.stalled))
		switch w.State {
		case workers.Booting:
			startup := m.startup(w)
			if now.Sub(w.Born) > time.Duration(t.BootFactor*float64(startup)) && now.Sub(w.Since) > startup {
				m.Return(w, "never came up")
			}
		case workers.Up, workers.Silent:
			up++
			limit := m.silent
			if replicas(w) > 0 {
				// Users miss replicas at once: don't wait for reports to fail.
				limit = m.silent / 2
				if quiet > limit/2 {
					m.machine.Probe(w)
				}
			}
			if quiet > m.silent*2/3 {
				m.machine.Quiet(w)
				m.machine.Probe(w)
			}
			switch {
			case w.Doomed > 0 && now > w.Doomed && quiet > m.silent/2:
				m.Return(w, "taken")
			case quiet > limit && w.Misses() > 1 || quiet > m.silent && w.Misses() > 0:
				silent = append(silent, w)
			case w.Errors >= 2:
				m.Return(w, "faulty")
			case w.Doomed > 0:
				m.cfg.Drain(w)
			}
			if m.machine.Expired(w) {
				m.machine.Expire(w)
				m.Return(w, "lease over")
			}
		case workers.Gone:
			if now.Sub(w.Since) > time.Minute+2*settings.Seconds(m.cfg.Cloud.ListLagS) && w.Doc.Idle() {
				m.machine.Forget(w)
			}
		}
	}
	// Most machines silent at once: rather we are cut off than they. But if a
	// sibling is heard, they could reach us through it, and have not in twice the
	// time: then they are gone. (Two leaders that each resigned over machines
	// long taken kept a cluster without one for good.)
	// Those fenced a moment ago count as well: machines that fall silent together
	// are noticed one by one.
	m.fences = slices.DeleteFunc(m.fences, func(at ident.Mono) bool { return now.Sub(at) > 2*m.silent })
	n := len(silent) + len(m.fences)
	mass := n > 1 && 2*n > up+len(m.fences)
	if mass && !m.cfg.Reached() {
		return
	}
	for _, w := range silent {
		if mass && min(m.machine.Silence(w), now.Sub(m.stalled)) < 2*m.silent {
			continue
		}
		m.Fenced++
		m.fences = append(m.fences, now)
		m.Return(w, "silent")
	}
}

func (m *Manager) startup(w *workers.Worker) time.Duration {
	if w.Kind == nil || w.Kind.StartupS <= 0 {
		return 30 * time.Second
	}
	return settings.Seconds(w.Kind.StartupS)
}

// Return gives a machine back. Its tasks count on it until the cloud has
// answered.
func (m *Manager) Return(w *workers.Worker, why string) {
	if w.State == workers.Returning || w.State == workers.Gone {
		return
	}
	slog.Info("returning machine", "host", string(w.Host), "why", why, "tasks", len(w.Tasks))
	m.machine.Away(w, why)
	m.leaving = append(m.leaving, w)
}

const maxReturn = 100

// flush sends the returns that are due.
func (m *Manager) flush() {
	for len(m.leaving) > 0 && m.take() {
		n := min(len(m.leaving), maxReturn)
		batch := m.leaving[:n:n]
		m.leaving = m.leaving[n:]
		m.giveBack(batch, 300*time.Millisecond)
	}
}

func (m *Manager) giveBack(batch []*workers.Worker, wait time.Duration) {
	r := cloud.Request{Op: cloud.Return}
	for _, w := range batch {
		r.Hosts = append(r.Hosts, w.Host)
	}
	m.port.Cloud(r, func(a cloud.Reply) {
		if m.dead {
			return
		}
		if a.Outcome != cloud.OK {
			slog.Info("return failed", "machines", len(batch), "err", a.Error)
			m.port.After(m.jitter(wait), func() {
				if !m.dead {
					m.giveBack(batch, min(2*wait, 5*time.Second))
				}
			})
			return
		}
		for _, w := range batch {
			m.Returned++
			m.machine.Drop(w, "returned")
		}
	})
}

func (m *Manager) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d)))
}

// listTime is how long an answer with a list may take.
const listTime = 5 * time.Second

// list reads the cloud's list now and then, and adopts what nobody expected.
func (m *Manager) list() {
	now := m.port.Now()
	every := max(5*time.Second, settings.Seconds(m.cfg.Cloud.ListLagS))
	if m.listing || now.Sub(m.listed) < every || !m.take() {
		return
	}
	m.listing = true
	m.page("")
}

func (m *Manager) page(since ident.HostID) {
	m.port.Cloud(cloud.Request{Op: cloud.List, Since: since}, func(a cloud.Reply) {
		if m.dead {
			return
		}
		if a.Outcome != cloud.OK {
			m.listing, m.listed = false, m.port.Now()
			return
		}
		last := since
		for _, l := range a.Listed {
			last = l.ID
			m.adopt(l)
		}
		if a.Truncated && last > since {
			m.page(last)
			return
		}
		m.listing, m.listed = false, m.port.Now()
	})
}

func (m *Manager) adopt(l cloud.Listed) {
	w := m.machine.Workers[l.ID]
	if w == nil {
		// A list may be older than this term, and show what the leader before has
		// returned: such a machine would count as room to come. What is real is
		// listed again, or reports.
		if m.port.Now().Sub(m.started) < 2*settings.Seconds(m.cfg.Cloud.ListLagS)+listTime {
			return
		}
		slog.Info("adopting machine", "host", string(l.ID), "status", l.Status, "age_s", l.AgeS)
		w = m.machine.Add(l.ID, l.Model, l.Site, l.Standby, m.port.Now().Add(-settings.Seconds(l.AgeS)))
		if w.Addr == "" {
			w.Addr = l.Addr
		}
	}
	// A failed machine has stopped, and nothing runs on it; but what proves it
	// is the answer to its return.
	if l.Status == "failed" {
		m.Return(w, "failed")
	}
}

// bin is a machine, there or to come, while demand is laid out.
type bin struct {
	w       *workers.Worker
	kind    *cloud.Model
	pool    pool
	v, c, g float64 // free CPUs, cards, memory
	rent    bool
	soon    []*jobs.Task // arrays' tasks that will probably end before a machine rented now is up
}

// use takes the place of one task that will end soon, if there is one as large.
func (b *bin) use(s *api.Spec) bool {
	for i, t := range b.soon {
		o := t.Job.Spec
		if o.VCPUs >= s.VCPUs && o.Cards >= s.Cards && o.MemoryGB >= s.MemoryGB {
			b.soon = slices.Delete(b.soon, i, i+1)
			return true
		}
	}
	return false
}

func (b *bin) fit(s *api.Spec) int {
	n := math.MaxInt32
	for _, x := range [][2]float64{{b.v, s.VCPUs}, {b.c, s.Cards}, {b.g, s.MemoryGB}} {
		if x[1] > 0 {
			n = min(n, int((x[0]+1e-6)/x[1]))
		}
	}
	return n
}

func (b *bin) take(s *api.Spec, n int) {
	f := float64(n)
	b.v -= f * s.VCPUs
	b.c -= f * s.Cards
	b.g -= f * s.MemoryGB
}

func (b *bin) allows(s *api.Spec) bool {
	return (s.Site == nil || *s.Site == b.pool.site) && (!b.pool.standby || s.Standby) &&
		workers.AllowsModel(s, b.pool.model) && workers.Could(b.kind, s)
}

// maxRent bounds the machines asked for in one request.
const maxRent = 50

func sortedPools(rent map[pool]int) []pool {
	out := make([]pool, 0, len(rent))
	for p := range rent {
		out = append(out, p)
	}
	sort.Slice(out, func(i, k int) bool {
		a, b := out[i], out[k]
		if a.model != b.model {
			return a.model < b.model
		}
		if a.site != b.site {
			return a.site < b.site
		}
		return !a.standby && b.standby
	})
	return out
}

// size lays the waiting work out over what is there and what is coming, rents
// what is missing, and returns what stays idle.
func (m *Manager) size() {
	catalog := m.cfg.Catalog()
	if len(catalog) == 0 {
		return
	}
	now := m.port.Now()
	bins := m.bins(catalog, now)
	rent := map[pool]int{}
	var late float64
	open := func(s *api.Spec, site string) *bin {
		b := m.newBin(catalog, bins, s, site, now)
		if b != nil {
			rent[b.pool]++
			bins = append(bins, b)
		}
		return b
	}
	lay := func(j *jobs.Job, n int, sites map[string]int) {
		s := j.Spec
		limit := s.Pieces
		if s.Apart {
			limit = (s.Pieces + 1) / 2
		}
		put := func(b *bin) {
			if n <= 0 || !b.allows(s) {
				return
			}
			k := min(n, b.fit(s))
			if s.Apart {
				k = min(k, limit-sites[b.pool.site])
			}
			if k > 0 {
				if b.w != nil && b.w.Cordoned {
					b.w.Cordoned = false
					m.machine.Uncordoned()
				}
				b.take(s, k)
				sites[b.pool.site] += k
				n -= k
			}
		}
		for _, b := range bins {
			put(b)
		}
		if s.Shape == api.Batch {
			for _, b := range bins {
				for n > 0 && b.allows(s) && b.use(s) {
					n--
				}
			}
		}
		for n > 0 {
			site := ""
			if s.Apart {
				for z, k := range sites {
					if k >= limit && "!"+z > site {
						site = "!" + z // not this one
					}
				}
			}
			dear := site == "" && s.Standby && now.Sub(j.Arrived) < patience*m.slowest()
			if dear && late <= 0 {
				// An ordinary machine costs several times as much, and spot ones
				// that are refused now are mostly to be had a little later.
				site = spotOnly
			}
			b := open(s, site)
			if b == nil {
				return
			}
			if dear && !b.pool.standby {
				late -= b.v
			}
			before := n
			if put(b); n == before {
				return
			}
		}
	}
	late = m.late(bins, now)
	for _, services := range []bool{true, false} {
		for _, j := range m.waiting(services) {
			n := min(j.Waits(), m.teams.Room(j.Spec))
			if n <= 0 {
				continue
			}
			sites := map[string]int{}
			for z, k := range j.Zones {
				sites[z] = k
			}
			lay(j, n, sites)
		}
	}
	m.headroom(bins, open, now)
	for _, p := range sortedPools(rent) {
		m.rent(p, rent[p])
	}
	m.shrink(bins, now)
}

func (m *Manager) waiting(services bool) []*jobs.Job {
	var out []*jobs.Job
	for _, j := range m.jobs.Jobs {
		if j.Known && j.Waits() > 0 && (j.Spec.Shape == api.Service) == services && j.Backoff < time.Minute {
			out = append(out, j)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Seq < out[k].Seq })
	return out
}

// bins lists the machines that can take work now or soon, standby ones first
// as the planner has them.
func (m *Manager) bins(catalog []cloud.Model, now ident.Mono) []*bin {
	var out []*bin
	for _, w := range m.machine.Sorted() {
		if w.Kind == nil || w.Doomed > 0 || w.Shun > now {
			continue
		}
		b := &bin{w: w, kind: w.Kind, pool: pool{w.Model, w.Site, w.Standby},
			v: w.Kind.VCPUs, c: w.Kind.Cards, g: w.Kind.MemoryGB}
		switch w.State {
		case workers.Booting:
			if now.Sub(w.Born) > 2*m.startup(w) {
				continue // late: don't count on it
			}
		case workers.Up, workers.Silent:
			b.v -= w.VCPUs
			b.c -= w.Cards
			b.g -= w.MemoryGB
			if !w.Cordoned {
				b.soon = m.ending(w, now)
			}
		default:
			continue
		}
		out = append(out, b)
	}
	for i := range catalog {
		for _, site := range catalog[i].Sites {
			for _, standby := range []bool{true, false} {
				p := pool{catalog[i].SKU, site, standby}
				if mk := m.markets[p]; mk != nil {
					for range mk.pending {
						out = append(out, &bin{kind: &catalog[i], pool: p, v: catalog[i].VCPUs,
							c: catalog[i].Cards, g: catalog[i].MemoryGB})
					}
				}
			}
		}
	}
	// Cordoned machines come last, and are taken back into use before another
	// one is rented.
	order := func(b *bin) int {
		switch {
		case b.w != nil && b.w.Cordoned:
			return 2
		case b.pool.standby:
			return 0
		}
		return 1
	}
	sort.SliceStable(out, func(i, k int) bool { return order(out[i]) < order(out[k]) })
	return out
}

// late returns how many CPUs are missing for the arrays that wait to be started
// in time for the first of their aims, 0 if the machines that are there or coming
// can still do it. A backlog is seen by its work, not by waiting until it is late.
func (m *Manager) late(bins []*bin, now ident.Mono) float64 {
	room, work, slack, weight := 0.0, 0.0, 0.0, 0.0
	for _, b := range bins {
		if b.pool.standby {
			room += b.kind.VCPUs
		} else {
			room += b.v + borrowed(b.w)
		}
	}
	var open []*jobs.Job
	for _, j := range m.jobs.Sorted() {
		s := j.Spec
		if !j.Known || j.Phase != jobs.Open || s.Shape != api.Batch || !s.Standby {
			continue
		}
		open = append(open, j)
		waits := float64(min(j.Waits(), m.teams.Room(s))) * s.VCPUs * s.RuntimeS
		// What can't be done in time by any machine goes last, and doesn't count.
		if left := (m.cfg.Aim(s.Lane) - now.Sub(j.Arrived)).Seconds() - s.RuntimeS; left > 0 && waits > 0 {
			work += waits
			slack += waits * left
			weight += waits
		}
	}
	if weight == 0 {
		return 0
	}
	// A part of the slack, since arrivals go on and estimates are often short.
	within := max(0.85*slack/weight, m.slowest().Seconds())
	for _, j := range open {
		if j.Held == 0 {
			continue
		}
		for i := range j.Tasks {
			if t := &j.Tasks[i]; t.State.Held() {
				left := j.Spec.RuntimeS
				if t.RunsAt > 0 {
					left -= now.Sub(t.RunsAt).Seconds()
				}
				work += j.Spec.VCPUs * min(max(left, 5), within)
			}
		}
	}
	return max(0, work/within-room)
}

// ending lists a machine's array tasks that will probably end before a machine
// rented now would be up: what waits gets their places as soon, and cheaper.
func (m *Manager) ending(w *workers.Worker, now ident.Mono) []*jobs.Task {
	var out []*jobs.Task
	for _, t := range m.machine.TasksOf(w) {
		s := t.Job.Spec
		if s.Shape == api.Batch && t.RunsAt > 0 && t.State == jobs.Assigned &&
			settings.Seconds(s.RuntimeS)-now.Sub(t.RunsAt) < m.startup(w) {
			out = append(out, t)
		}
	}
	return out
}

// patience, in boot times, is how long work that may use spot machines waits for
// one before an ordinary one is rented for it.
const patience = 2

// slowest returns the longest boot time in the catalog.
func (m *Manager) slowest() time.Duration {
	boot := 0.0
	for _, k := range m.cfg.Catalog() {
		boot = max(boot, k.StartupS)
	}
	return settings.Seconds(boot)
}

// spotOnly, as a site, asks newBin for a spot machine of any zone.
const spotOnly = "*spot"

// newBin opens a machine of the cheapest pool that allows the job, in the zone
// that has the fewest of its kind. A site "!z" rules z out.
func (m *Manager) newBin(catalog []cloud.Model, bins []*bin, s *api.Spec, site string, now ident.Mono) *bin {
	count := map[pool]int{}
	for _, b := range bins {
		count[b.pool]++
	}
	var best *bin
	cheapest, fewest := math.Inf(1), 0
	for i := range catalog {
		k := &catalog[i]
		for _, z := range k.Sites {
			if site != "" && site != spotOnly && site != z && (site[0] != '!' || site == "!"+z) {
				continue
			}
			for _, standby := range []bool{true, false} {
				if !standby && site == spotOnly {
					continue
				}
				p := pool{k.SKU, z, standby}
				b := &bin{kind: k, pool: p, v: k.VCPUs, c: k.Cards, g: k.MemoryGB, rent: true}
				if !b.allows(s) || m.market(p).closed > now {
					continue
				}
				price := k.Hourly
				if standby {
					price = k.MarketPrice
				}
				price /= float64(max(b.fit(s), 1))
				n := count[p]
				if best == nil || price < cheapest-1e-9 || price < cheapest+1e-9 && n < fewest {
					best, cheapest, fewest = b, price, n
				}
			}
		}
	}
	return best
}

func (m *Manager) market(p pool) *market {
	mk := m.markets[p]
	if mk == nil {
		mk = &market{}
		m.markets[p] = mk
	}
	return mk
}

// wanted returns the room in CPUs to keep free: for services by zone, and for
// arrays.
func (m *Manager) wanted(now ident.Mono) (services map[string]float64, arrays float64) {
	boot := m.slowest().Seconds()
	services = map[string]float64{}
	for _, k := range m.cfg.Catalog() {
		for _, z := range k.Sites {
			services[z] = 0
		}
	}
	f := m.cfg.Tuning.Headroom
	if len(m.services.at) > 0 {
		rate, _, most := m.services.rate(now, m.began)
		for z := range services {
			services[z] = f * (rate*boot*1.3 + most) / float64(len(services))
		}
	}
	if len(m.arrays.at) > 0 {
		_, mean, _ := m.arrays.rate(now, m.began)
		arrays = f * mean
	}
	return services, arrays
}

// headroom keeps room for the jobs to be expected while a machine boots.
func (m *Manager) headroom(bins []*bin, open func(*api.Spec, string) *bin, now ident.Mono) {
	services, arrays := m.wanted(now)
	free := map[string]float64{}
	spare := 0.0
	for _, b := range bins {
		if b.w != nil && b.w.Cordoned {
			continue
		}
		spare += b.v
		if !b.pool.standby {
			// Room that arrays have there comes back by itself, since they keep off
			// the reserve: renting for it too, and letting arrays have that as
			// well, made the ordinary fleet grow without services.
			free[b.pool.site] += b.v + borrowed(b.w)
		}
	}
	for _, z := range slices.Sorted(maps.Keys(services)) {
		m.cfg.Reserve(z, services[z])
		spare -= services[z]
		if free[z] < services[z] && services[z] > 0 {
			if b := open(&api.Spec{Shape: api.Service, Pieces: 1, Site: &z}, z); b != nil {
				spare += b.v
			}
		}
	}
	for n := 0; n < 4 && spare < arrays; n++ {
		// Ordinary machines are not rented just in case.
		b := open(&api.Spec{Shape: api.Batch, Pieces: 1, Standby: true}, spotOnly)
		if b == nil {
			return
		}
		spare += b.v
	}
}

// rent asks for n machines of a pool.
func (m *Manager) rent(p pool, n int) {
	n = min(n, maxRent)
	if n <= 0 || !m.take() {
		return
	}
	// The term makes the name ours alone; names are never used again.
	m.hires++
	r := cloud.Request{Op: cloud.Rent, Hire: fmt.Sprintf("opaldale-%d-%d", m.cfg.Term, m.hires),
		Model: p.model, Site: p.site, Standby: p.standby, Number: n}
	slog.Info("renting", "model", p.model, "site", p.site, "standby", p.standby, "number", n)
	m.market(p).pending += n
	m.hire(p, r, 500*time.Millisecond, 0)
}

func (m *Manager) hire(p pool, r cloud.Request, wait time.Duration, tries int) {
	began := m.port.Now()
	m.port.Cloud(r, func(a cloud.Reply) {
		if m.dead {
			return
		}
		mk := m.market(p)
		switch a.Outcome {
		case cloud.OK:
			mk.pending -= r.Number
			for _, h := range a.Rented {
				m.Rented++
				m.machine.Add(h, p.model, p.site, p.standby, began)
			}
			mk.backoff = 0
			if len(a.Rented) < r.Number {
				m.close(mk)
			}
		case cloud.NoCapacity:
			mk.pending -= r.Number
			m.NoCapacity++
			m.close(mk)
		case cloud.Bad:
			slog.Error("rental refused", "err", a.Error)
			mk.pending -= r.Number
			m.close(mk)
		default:
			// The same name again: what a lost request rented is answered then.
			if tries > 20 {
				mk.pending -= r.Number
				m.close(mk)
				return
			}
			m.port.After(m.jitter(wait), func() {
				if !m.dead {
					m.hire(p, r, min(2*wait, 4*time.Second), tries+1)
				}
			})
		}
	})
}

// close stops renting from a pool for a while.
func (m *Manager) close(mk *market) {
	mk.backoff = min(max(2*mk.backoff, 4*time.Second), 16*time.Second)
	mk.closed = m.port.Now().Add(m.jitter(mk.backoff))
}

// shrink empties and returns machines that neither the waiting work nor the
// headroom needs. A machine is seldom idle by itself: tasks come and go on it,
// and replicas stay. So the one that is easiest to empty is cordoned: its tasks
// end, its replicas move, and nothing new is placed there.
func (m *Manager) shrink(bins []*bin, now ident.Mono) {
	services, arrays := m.wanted(now)
	total := 0.0
	free, sites := map[string]float64{}, map[string]bool{}
	var cand []*bin
	for _, b := range bins {
		if b.rent || b.w == nil || b.w.State == workers.Booting {
			continue
		}
		if b.w.Cordoned {
			total -= b.w.VCPUs
			m.empty(b.w, now)
			continue
		}
		total += b.v
		if !b.pool.standby {
			free[b.pool.site] += b.v + borrowed(b.w)
			sites[b.pool.site] = true
		}
		if b.w.State == workers.Up {
			cand = append(cand, b)
		}
	}
	for z := range sites {
		services[z] = max(services[z], 0)
	}
	sort.SliceStable(cand, func(i, k int) bool {
		a, b := cand[i], cand[k]
		if x, y := m.price(a), m.price(b); x != y {
			return x > y
		}
		if x, y := replicas(a.w), replicas(b.w); x != y {
			return x < y
		}
		return a.v > b.v
	})
	all := 0.0
	for _, v := range services {
		all += v
	}
	excess := false
	for _, b := range cand {
		// Its replicas move, and its arrays end where they are; but while work goes
		// on as it does, others come in their place. (Counting only what was free
		// on it cordoned most of a fleet within a second of the end of a peak, and
		// rented it again.)
		moving := replicas(b.w)
		if total-b.v-b.w.VCPUs < all+arrays {
			continue
		}
		if !b.pool.standby && free[b.pool.site]-b.v-borrowed(b.w)-moving < services[b.pool.site] {
			continue
		}
		excess = true
		if m.excess == 0 {
			m.excess = now
		}
		if now.Sub(m.excess) < m.cfg.Tuning.IdleKeep {
			return
		}
		total -= b.v + b.w.VCPUs
		if !b.pool.standby {
			free[b.pool.site] -= b.v + borrowed(b.w) + moving
		}
		slog.Info("cordoning machine", "host", string(b.w.Host), "tasks", len(b.w.Tasks), "replicas_cpus", moving)
		b.w.Cordoned = true
		m.empty(b.w, now)
	}
	if !excess {
		m.excess = 0
	}
}

// price is what a bin's machine costs at present.
func (m *Manager) price(b *bin) float64 {
	if b.pool.standby {
		return b.kind.MarketPrice
	}
	return b.kind.Hourly
}

// replicas returns the CPUs of the services on a machine.
func replicas(w *workers.Worker) float64 {
	sum := 0.0
	for _, t := range w.Tasks {
		if t.Job.Spec.Shape == api.Service {
			sum += t.Job.Spec.VCPUs
		}
	}
	return sum
}

// borrowed returns the CPUs of the arrays on a machine, nil for one to come.
func borrowed(w *workers.Worker) float64 {
	sum := 0.0
	if w != nil {
		for _, t := range w.Tasks {
			if t.Job.Spec.Shape == api.Batch {
				sum += t.Job.Spec.VCPUs
			}
		}
	}
	return sum
}

// settled is how long a start must last to count for the aims.
const settled = 35 * time.Second

// empty moves the replicas off a cordoned machine, once its arrays have ended,
// and returns it when nothing is left.
func (m *Manager) empty(w *workers.Worker, now ident.Mono) {
	if w.State != workers.Up {
		return
	}
	if len(w.Tasks) == 0 {
		m.Return(w, "not needed")
		return
	}
	for _, t := range m.machine.TasksOf(w) {
		if t.Job.Spec.Shape != api.Service {
			return
		}
		if t.State != jobs.Assigned || t.RunsAt == 0 || now.Sub(t.RunsAt) < settled {
			return
		}
	}
	// One replica each time, and only while there is room for it where its image
	// is: it is gone for no longer than a command and a transaction take.
	for _, t := range m.machine.TasksOf(w) {
		if m.cfg.Movable(t, w) {
			slog.Info("moving replica", "piece", t.Piece().String(), "host", string(w.Host))
			m.machine.StopTask(w, t, 0)
			return
		}
	}
}
