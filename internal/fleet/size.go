package fleet

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

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

// ask narrows down which machine is opened.
type ask struct {
	zone string   // only this zone, if given
	full []string // none of these zones
	spot bool     // only spot machines
}

// oneZone returns the zone that all tasks of a job must be in: where it has some,
// else where most of them would find room. "" for jobs that don't care.
func oneZone(s *api.Spec, sites map[string]int, bins []*bin) string {
	if !s.OneZone {
		return ""
	}
	best, most := "", 0
	room := map[string]int{}
	for _, b := range bins {
		if b.allows(s) {
			room[b.pool.site] += b.fit(s)
		}
	}
	for z, n := range room {
		if n > most || n == most && z < best {
			best, most = z, n
		}
	}
	for z, n := range sites {
		if n > 0 {
			best = z
		}
	}
	return best
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
	open := func(s *api.Spec, a ask) *bin {
		b := m.newBin(catalog, bins, s, a, now)
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
		a := ask{zone: oneZone(s, sites, bins)}
		put := func(b *bin) {
			if n <= 0 || !b.allows(s) || a.zone != "" && a.zone != b.pool.site {
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
			if s.Apart {
				a.full = nil
				for z, k := range sites {
					if k >= limit {
						a.full = append(a.full, z)
					}
				}
			}
			dear := s.Standby && now.Sub(j.Arrived) < patience*m.slowest()
			// An ordinary machine costs several times as much, and spot ones that
			// are refused now are mostly to be had a little later.
			a.spot = dear && late <= 0
			b := open(s, a)
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
	services, arrays := m.wanted(now)
	m.headroom(bins, open, services, arrays)
	for _, p := range sortedPools(rent) {
		m.rent(p, rent[p])
	}
	m.shrink(bins, services, arrays, now)
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

// newBin opens a machine of the cheapest pool that allows the job, in the zone
// that has the fewest of its kind.
func (m *Manager) newBin(catalog []cloud.Model, bins []*bin, s *api.Spec, a ask, now ident.Mono) *bin {
	count := map[pool]int{}
	for _, b := range bins {
		count[b.pool]++
	}
	var best *bin
	cheapest, fewest := math.Inf(1), 0
	for i := range catalog {
		k := &catalog[i]
		for _, z := range k.Sites {
			if a.zone != "" && a.zone != z || slices.Contains(a.full, z) {
				continue
			}
			for _, standby := range []bool{true, false} {
				if a.spot && !standby {
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
func (m *Manager) headroom(bins []*bin, open func(*api.Spec, ask) *bin, services map[string]float64, arrays float64) {
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
			if b := open(&api.Spec{Shape: api.Service, Pieces: 1, Site: &z}, ask{zone: z}); b != nil {
				spare += b.v
			}
		}
	}
	for n := 0; n < 4 && spare < arrays; n++ {
		// Ordinary machines are not rented just in case.
		b := open(&api.Spec{Shape: api.Batch, Pieces: 1, Standby: true}, ask{spot: true})
		if b == nil {
			return
		}
		spare += b.v
	}
}
