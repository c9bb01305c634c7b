package fleet

import (
	"math"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// bin is a number of machines that are alike, there or to come, while demand is
// laid out. A fleet of thousands has some hundred different ones.
type bin struct {
	kind    *cloud.MachineType
	pool    pool
	n       int
	v, c, g float64 // free CPUs, cards, memory of each
	class   class
	workers []*workers.Worker // of cordoned ones
}

// class orders the bins: which room is used first.
type class uint8

const (
	spotRoom     class = iota // as the planner has it
	ordinaryRoom              //
	cordonedRoom              // taken back into use before another machine is rented
	endingRoom                // of array tasks that will probably end before a machine rented now is up
	classes
)

// class is that of the pool's machines while they are not cordoned.
func (p pool) class() class {
	if p.standby {
		return spotRoom
	}
	return ordinaryRoom
}

// quantum is what free amounts of a large fleet's machines are rounded down to, so
// that some are alike. In a small one it would only hide room.
const (
	quantum = 0.25
	large   = 200
)

func floor(x, to float64) float64 { return math.Floor(x/to+1e-6) * to }

func (b *bin) fit(s *api.Spec) int {
	return jobs.Resources{VCPUs: b.v, GPUs: b.c, MemoryGB: b.g}.TaskCapacity(s)
}

func (b *bin) allows(s *api.Spec) bool {
	return (s.Zone == nil || *s.Zone == b.pool.site) && (!b.pool.standby || s.Spot) &&
		(b.class != endingRoom || s.Shape == api.Batch) &&
		workers.AllowsModel(s, b.pool.model) && workers.FitsEmpty(b.kind, s)
}

// layout is what there is, and is coming, while demand is laid out over it.
type layout struct {
	bins  [classes][]*bin
	free  map[pool]float64   // CPUs free on machines that are not cordoned
	lent  map[pool]float64   // CPUs that arrays have there
	held  map[string]float64 // CPUs of replicas, by zone
	later map[pool]float64   // CPUs of machines that are not up yet, part of free
	count map[pool]int       // machines
	least jobs.Resources     // that anything waiting takes of a machine
}

func newLayout() *layout {
	return &layout{free: map[pool]float64{}, lent: map[pool]float64{}, held: map[string]float64{}, later: map[pool]float64{}, count: map[pool]int{},
		least: jobs.UnboundedResources()}
}

// useful says whether anything that waits could find room in a bin.
func (l *layout) useful(b *bin) bool {
	return b.n > 0 && b.v+1e-6 >= l.least.VCPUs && b.c+1e-6 >= l.least.GPUs && b.g+1e-6 >= l.least.MemoryGB
}

// put takes room for up to n tasks in a bin and returns how many found it, and
// the machines that were cordoned and are needed after all.
func (l *layout) put(b *bin, s *api.Spec, n int) (int, []*workers.Worker) {
	per := b.fit(s)
	if per == 0 || b.n == 0 {
		return 0, nil
	}
	k := min(n, per*b.n)
	full, rest := k/per, k%per
	left := func(machines, tasks int) {
		f := float64(tasks)
		r := &bin{kind: b.kind, pool: b.pool, n: machines, v: b.v - f*s.VCPUs, c: b.c - f*s.GPUs, g: b.g - f*s.MemoryGB, class: b.class}
		if r.class == cordonedRoom {
			r.class = r.pool.class()
		}
		if l.useful(r) {
			l.bins[r.class] = append(l.bins[r.class], r)
		}
	}
	used := full
	if rest > 0 {
		used++
		left(1, rest)
	}
	if full > 0 {
		left(full, per)
	}
	b.n -= used
	var back []*workers.Worker
	switch b.class {
	case cordonedRoom:
		back, b.workers = b.workers[:used], b.workers[used:]
		l.free[b.pool] += float64(used)*b.v - float64(k)*s.VCPUs
	case spotRoom, ordinaryRoom:
		l.free[b.pool] -= float64(k) * s.VCPUs
	}
	return k, back
}

// oneZone returns the zone that all tasks of a job must be in: where it has some,
// else where most of them would find room. "" for jobs that don't care.
func (l *layout) oneZone(s *api.Spec, sites map[string]int) string {
	if !s.OneZone {
		return ""
	}
	best, most := "", 0
	room := map[string]int{}
	for _, bins := range l.bins {
		for _, b := range bins {
			if b.allows(s) {
				room[b.pool.site] += b.fit(s) * b.n
			}
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

// alike says what machines of one bin have in common.
type alike struct {
	pool    pool
	class   class
	v, c, g float64 // free CPUs, cards, memory
}

// gathering puts machines that are alike into one bin.
type gathering struct {
	bins  map[alike]*bin
	order []*bin
	to    float64 // what free amounts of machines are rounded down to
}

// add counts a machine, or the place of a task that ends, and returns its bin.
func (g *gathering) add(k *cloud.MachineType, p pool, cl class, free jobs.Resources) *bin {
	to := g.to
	if cl == endingRoom {
		// The place of a task that ends is as large as the task: rounded down, the next
		// one like it would not fit.
		to = exact
	}
	key := alike{p, cl, floor(free.VCPUs, to), floor(free.GPUs, to), floor(free.MemoryGB, to)}
	b := g.bins[key]
	if b == nil {
		b = &bin{kind: k, pool: p, class: cl, v: key.v, c: key.c, g: key.g}
		g.bins[key] = b
		g.order = append(g.order, b)
	}
	b.n++
	return b
}

// exact rounds to what differs by no more than sums of amounts may.
const exact = 1e-6

// layout counts the machines that can take work now or soon.
func (m *Manager) layout(catalog []cloud.MachineType, now ident.MonotonicTime) *layout {
	l := newLayout()
	for j := range m.jobs.Waiting {
		l.least.LowerTo(j.Spec)
	}
	g := &gathering{bins: map[alike]*bin{}, to: exact}
	if len(m.machine.Sorted()) > large {
		g.to = quantum
	}
	guests := m.guests()
	for _, w := range m.machine.Sorted() {
		m.layMachine(l, g, w, guests[w.ID], now)
	}
	m.layPending(l, g, catalog)
	m.running(now, func(t *jobs.Task, w *workers.Worker, left time.Duration) {
		if !w.Cordoned && w.Type != nil && left < m.startup(w) {
			g.add(w.Type, pool{w.Model, w.Zone, w.Spot}, endingRoom, jobs.ResourcesOf(t.Job.Spec))
		}
	})
	for _, b := range g.order {
		if l.useful(b) {
			l.bins[b.class] = append(l.bins[b.class], b)
		}
	}
	return l
}

// layMachine counts a machine, if it can take work now or soon.
func (m *Manager) layMachine(l *layout, g *gathering, w *workers.Worker, guests jobs.Resources, now ident.MonotonicTime) {
	// A machine where a task failed is no room to count on: the job keeps off it.
	// (A job waited for ever while the only idle machine was one that it shunned.)
	// Nor is one in a zone that is cut off.
	if w.Type == nil || w.ReclaimAt > 0 || w.QuarantinedUntil > now || w.Slow || w.PossiblyFaulty() || m.cut[w.Zone] {
		return
	}
	p := pool{w.Model, w.Zone, w.Spot}
	free := jobs.Resources{VCPUs: w.Type.VCPUs, GPUs: w.Type.GPUs, MemoryGB: w.Type.MemoryGB}
	switch w.State {
	case workers.Booting:
		if now.Sub(w.CreatedAt) > 2*m.startup(w) {
			return // late: don't count on it
		}
		l.later[p] += free.VCPUs
	case workers.Up, workers.Unreachable:
		free = free.Sub(jobs.Resources{VCPUs: w.VCPUs, GPUs: w.GPUs, MemoryGB: w.MemoryGB})
	default:
		return
	}
	l.count[p]++
	l.held[p.site] += w.ServiceVCPUs
	if w.Cordoned {
		b := g.add(w.Type, p, cordonedRoom, free)
		b.workers = append(b.workers, w)
		return
	}
	l.free[p] += free.VCPUs
	l.lent[p] += w.BatchVCPUs
	g.add(w.Type, p, p.class(), free.Add(guests))
}

// layPending counts the machines that were asked for and are not on record yet.
func (m *Manager) layPending(l *layout, g *gathering, catalog []cloud.MachineType) {
	for i := range catalog {
		k := &catalog[i]
		for _, site := range k.Zones {
			for _, standby := range []bool{true, false} {
				p := pool{k.SKU, site, standby}
				mk := m.markets[p]
				if mk == nil || mk.pending <= 0 {
					continue
				}
				g.add(k, p, p.class(), jobs.Resources{VCPUs: k.VCPUs, GPUs: k.GPUs, MemoryGB: k.MemoryGB}).n += mk.pending - 1
				l.count[p] += mk.pending
				l.free[p] += float64(mk.pending) * k.VCPUs
				l.later[p] += float64(mk.pending) * k.VCPUs
			}
		}
	}
}

// guests returns what tasks of teams without a guarantee have on each machine. It is room
// for whatever waits, as they give way. (Machines were rented for the house beside some
// that were full of them.)
func (m *Manager) guests() map[ident.MachineID]jobs.Resources {
	out := map[ident.MachineID]jobs.Resources{}
	m.arraysOpen(func(j *jobs.Job) {
		if j.AllocatedTasks == 0 || !m.teams.Guest(j.Spec.Team) {
			return
		}
		for i := range j.Tasks {
			if t := &j.Tasks[i]; t.State.Allocated() {
				out[t.MachineID] = out[t.MachineID].Add(jobs.ResourcesOf(j.Spec))
			}
		}
	})
	return out
}

// running calls f for every array task seen running, with how long it will
// probably go on.
func (m *Manager) running(now ident.MonotonicTime, f func(t *jobs.Task, w *workers.Worker, left time.Duration)) {
	m.arraysOpen(func(j *jobs.Job) {
		if j.RunningTasks == 0 {
			return
		}
		for i := range j.Tasks {
			if t := &j.Tasks[i]; t.State == jobs.Assigned && t.RunningSince > 0 {
				if w := m.machine.Workers[t.MachineID]; w != nil {
					f(t, w, settings.Seconds(j.Spec.RuntimeS)-now.Sub(t.RunningSince))
				}
			}
		}
	})
}

// zones returns the CPUs of ordinary machines that services could have, by zone.
func (l *layout) zones() map[string]float64 {
	out := map[string]float64{}
	for p, v := range l.free {
		if !p.standby {
			out[p.site] += v + l.lent[p]
		}
	}
	for z, v := range out {
		out[z] = round(v)
	}
	return out
}

// spare returns all CPUs free.
func (l *layout) spare() float64 {
	sum := 0.0
	for _, v := range l.free {
		sum += v
	}
	return round(sum)
}
