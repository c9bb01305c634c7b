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
)

// ask narrows down which machine is opened.
type ask struct {
	zone string   // only this zone, if given
	full []string // none of these zones
	spot bool     // only spot machines
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
	l := m.layout(catalog, now)
	rent := map[pool]int{}
	open := func(s *api.Spec, a ask) *bin {
		b := m.newBin(catalog, l, s, a, now)
		if b != nil {
			rent[b.pool]++
			l.count[b.pool]++
			l.free[b.pool] += b.v
			l.later[b.pool] += b.v
			l.bins[b.class] = append(l.bins[b.class], b)
		}
		return b
	}
	late := m.late(l, now)
	for _, services := range []bool{true, false} {
		for _, j := range m.waiting(services) {
			n := min(j.PlaceableCount(), m.teams.Room(j.Spec))
			if n > 0 && (!j.IsGang() || n == j.WaitingCount()) {
				m.lay(&laying{layout: l, job: j, left: n, late: &late, open: open, now: now})
			}
		}
	}
	services, arrays := m.wanted(now)
	// Beyond what arrays keep off, ordinary room that they may have meanwhile: when a
	// rack goes, its replicas need at once what takes a boot to bring.
	spare := map[string]float64{}
	for z, v := range services {
		m.cfg.Reserve(z, v)
		spare[z] = round(v + whole(catalog, z, m.cfg.Tuning.ServiceSpareFraction*l.held[z]))
	}
	m.headroom(l, open, services, spare, arrays)
	m.rentAll(rent)
	m.shrink(l, services, spare, arrays, now)
}

// whole rounds CPUs down to whole machines of a zone: in a small fleet the part that
// may be lost is less than one, and a machine more would stand there for it.
func whole(catalog []cloud.MachineType, site string, cpus float64) float64 {
	most := 0.0
	for i := range catalog {
		if slices.Contains(catalog[i].Zones, site) {
			most = max(most, catalog[i].VCPUs)
		}
	}
	if most == 0 {
		return 0
	}
	return math.Floor(cpus/most) * most
}

// rentAll asks for what is missing, of each pool in turn, as far as the cloud's
// rate allows.
func (m *Manager) rentAll(rent map[pool]int) {
	pools := sortedPools(rent)
	for again := true; again; {
		again = false
		for _, p := range pools {
			if n := m.mayRent(p, min(rent[p], maxRent)); n > 0 && m.rent(p, n) {
				rent[p] -= n
				again = true
			}
		}
	}
}

// waiting lists the jobs with tasks to be placed, by arrival, those of guests last: they
// have the room that others leave.
func (m *Manager) waiting(services bool) []*jobs.Job {
	var out []*jobs.Job
	for j := range m.jobs.Waiting {
		if (j.Spec.Shape != api.Batch) == services && !(j.Suspect && m.port.Now() < j.RetryAt) {
			out = append(out, j)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		if a, b := m.teams.Guest(out[i].Spec.Team), m.teams.Guest(out[k].Spec.Team); a != b {
			return b
		}
		return out[i].Seq < out[k].Seq
	})
	return out
}

// arraysOpen calls f for every open array, in a fixed order.
func (m *Manager) arraysOpen(f func(*jobs.Job)) {
	for _, name := range slices.Sorted(maps.Keys(m.jobs.Teams)) {
		for _, j := range m.jobs.Teams[name].OpenJobs {
			if j.Spec.Shape == api.Batch {
				f(j)
			}
		}
	}
}

// late returns how many CPUs are missing for the arrays that wait to be started
// in time for the first of their aims, 0 if the machines that are there or coming
// can still do it. A backlog is seen by its work, not by waiting until it is late.
func (m *Manager) late(l *layout, now ident.MonotonicTime) float64 {
	room, work, slack, weight := 0.0, 0.0, 0.0, 0.0
	for p, n := range l.count {
		if k := m.kind(p.model); p.standby && k != nil {
			room += float64(n) * k.VCPUs
		} else {
			room += l.free[p] + l.lent[p]
		}
	}
	m.arraysOpen(func(j *jobs.Job) {
		s := j.Spec
		if !s.Spot || j.PlaceableCount() == 0 || m.teams.Guest(s.Team) {
			return
		}
		waits := float64(min(j.PlaceableCount(), m.teams.Room(s))) * s.VCPUs * s.RuntimeS
		// What can't be done in time by any machine goes last, and doesn't count.
		if left := (m.cfg.Aim(s.Class) - now.Sub(j.SubmittedAt)).Seconds() - s.RuntimeS; left > 0 && waits > 0 {
			work += waits
			slack += waits * left
			weight += waits
		}
	})
	if weight == 0 {
		return 0
	}
	// A part of the slack, since arrivals go on and estimates are often short.
	within := max(0.85*slack/weight, m.slowest().Seconds())
	m.arraysOpen(func(j *jobs.Job) {
		if j.AllocatedTasks == 0 || !j.Spec.Spot || m.teams.Guest(j.Spec.Team) {
			return // guests' work makes room
		}
		for i := range j.Tasks {
			if t := &j.Tasks[i]; t.State.Allocated() {
				left := j.Spec.RuntimeS
				if t.RunningSince > 0 {
					left -= now.Sub(t.RunningSince).Seconds()
				}
				work += j.Spec.VCPUs * min(max(left, 5), within)
			}
		}
	})
	return max(0, work/within-room)
}

// kind returns a machine type of the catalog, nil for an unknown one.
func (m *Manager) kind(model string) *cloud.MachineType {
	catalog := m.cfg.Catalog()
	for i := range catalog {
		if catalog[i].SKU == model {
			return &catalog[i]
		}
	}
	return nil
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
func (m *Manager) newBin(catalog []cloud.MachineType, l *layout, s *api.Spec, a ask, now ident.MonotonicTime) *bin {
	var best *bin
	cheapest, fewest := math.Inf(1), 0
	m.openPools(catalog, a, now, func(k *cloud.MachineType, p pool) {
		b := &bin{kind: k, pool: p, n: 1, v: k.VCPUs, c: k.GPUs, g: k.MemoryGB, class: p.class()}
		if !b.allows(s) {
			return
		}
		price := k.HourlyPrice
		if p.standby {
			price = k.SpotPrice
		}
		price /= float64(max(b.fit(s), 1))
		n := l.count[p]
		if best == nil || price < cheapest-1e-9 || price < cheapest+1e-9 && n < fewest {
			best, cheapest, fewest = b, price, n
		}
	})
	return best
}

// openPools calls f for each pool that is asked for and has machines to be had, as far as is
// known.
func (m *Manager) openPools(catalog []cloud.MachineType, a ask, now ident.MonotonicTime, f func(*cloud.MachineType, pool)) {
	for i := range catalog {
		k := &catalog[i]
		for _, z := range k.Zones {
			if m.cut[z] || m.scouted(z) || a.zone != "" && a.zone != z || slices.Contains(a.full, z) {
				continue
			}
			for _, standby := range []bool{true, false} {
				if p := (pool{k.SKU, z, standby}); (standby || !a.spot) && m.market(p).closed <= now {
					f(k, p)
				}
			}
		}
	}
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
func (m *Manager) wanted(now ident.MonotonicTime) (services map[string]float64, arrays float64) {
	boot := m.slowest().Seconds()
	services = map[string]float64{}
	for _, k := range m.cfg.Catalog() {
		for _, z := range k.Zones {
			services[z] = 0
		}
	}
	if now.Sub(max(m.services.newest(), m.arrays.newest())) > ceased {
		// Machines stood there with nothing to do for a minute and a half after the last
		// job of all.
		return services, 0
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
func (m *Manager) headroom(l *layout, open func(*api.Spec, ask) *bin, services, ordinary map[string]float64, arrays float64) {
	// Room that arrays have on ordinary machines comes back by itself, since they
	// keep off the reserve: renting for it too, and letting arrays have that as
	// well, made the ordinary fleet grow without services.
	free := l.zones()
	for _, z := range slices.Sorted(maps.Keys(ordinary)) {
		for n := 0; n < maxOpened && free[z] < ordinary[z]; n++ {
			b := open(&api.Spec{Shape: api.Service, Tasks: 1, Zone: &z}, ask{zone: z})
			if b == nil {
				break
			}
			free[z] += b.v
		}
	}
	spare := round(l.spare() - total(services))
	for n := 0; n < maxOpened && spare < arrays; n++ {
		// Ordinary machines are not rented just in case.
		b := open(&api.Spec{Shape: api.Batch, Tasks: 1, Spot: true}, ask{spot: true})
		if b == nil {
			return
		}
		spare += b.v
	}
}

// maxOpened bounds the machines opened for headroom at a time.
const maxOpened = 8

// total adds up. Rounded, so that the order of the sum can't change what is
// decided by it.
func total(m map[string]float64) float64 {
	sum := 0.0
	for _, v := range m {
		sum += v
	}
	return round(sum)
}

func round(x float64) float64 { return math.Round(x*1e6) / 1e6 }
