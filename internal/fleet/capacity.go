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
	model                             *cloud.MachineType
	pool                              pool
	machines                          int
	freeVCPUs, freeGPUs, freeMemoryGB float64 // free CPUs, cards, memory of each
	tier                              binTier
	cordoned                          []*workers.Worker // of cordoned ones
}

// binTier orders the bins: which room is used first.
type binTier uint8

const (
	spotTier     binTier = iota // as the planner has it
	onDemandTier                //
	cordonedTier                // taken back into use before another machine is rented
	endingTier                  // of array tasks that will probably end before a machine rented now is up
	tierCount
)

// tier is that of the pool's machines while they are not cordoned.
func (p pool) tier() binTier {
	if p.spot {
		return spotTier
	}
	return onDemandTier
}

// freeQuantum is what free amounts of a large fleet's machines are rounded down to, so
// that some are alike. In a small one it would only hide room.
const (
	freeQuantum = 0.25
	largeFleet  = 200
)

func floorTo(x, quantum float64) float64 { return math.Floor(x/quantum+1e-6) * quantum }

func (b *bin) tasksPerMachine(spec *api.Spec) int {
	return jobs.Resources{VCPUs: b.freeVCPUs, GPUs: b.freeGPUs, MemoryGB: b.freeMemoryGB}.TaskCapacity(spec)
}

func (b *bin) allows(spec *api.Spec) bool {
	return (spec.Zone == nil || *spec.Zone == b.pool.zone) && (!b.pool.spot || spec.Spot) &&
		(b.tier != endingTier || spec.Shape == api.Batch) &&
		workers.AllowsModel(spec, b.pool.model) && workers.FitsEmpty(b.model, spec)
}

// capacityModel is what there is, and is coming, while demand is laid out over it.
type capacityModel struct {
	bins         [tierCount][]*bin
	freeVCPUs    map[pool]float64   // CPUs free on machines that are not cordoned
	batchVCPUs   map[pool]float64   // CPUs that arrays have there
	replicaVCPUs map[string]float64 // CPUs of replicas, by zone
	bootingVCPUs map[pool]float64   // CPUs of machines that are not up yet, part of free
	machines     map[pool]int       // machines
	minNeed      jobs.Resources     // that anything waiting takes of a machine
}

func newCapacityModel() *capacityModel {
	return &capacityModel{freeVCPUs: map[pool]float64{}, batchVCPUs: map[pool]float64{}, replicaVCPUs: map[string]float64{}, bootingVCPUs: map[pool]float64{}, machines: map[pool]int{},
		minNeed: jobs.UnboundedResources()}
}

// usable says whether anything that waits could find room in a bin.
func (c *capacityModel) usable(b *bin) bool {
	return b.machines > 0 && b.freeVCPUs+1e-6 >= c.minNeed.VCPUs && b.freeGPUs+1e-6 >= c.minNeed.GPUs && b.freeMemoryGB+1e-6 >= c.minNeed.MemoryGB
}

// allocate takes room for up to n tasks in a bin and returns how many found it, and
// the machines that were cordoned and are needed after all.
func (c *capacityModel) allocate(b *bin, spec *api.Spec, n int) (int, []*workers.Worker) {
	perMachine := b.tasksPerMachine(spec)
	if perMachine == 0 || b.machines == 0 {
		return 0, nil
	}
	allocated := min(n, perMachine*b.machines)
	fullMachines, remainder := allocated/perMachine, allocated%perMachine
	addRemainder := func(machines, tasks int) {
		taken := float64(tasks)
		partial := &bin{model: b.model, pool: b.pool, machines: machines, freeVCPUs: b.freeVCPUs - taken*spec.VCPUs, freeGPUs: b.freeGPUs - taken*spec.GPUs, freeMemoryGB: b.freeMemoryGB - taken*spec.MemoryGB, tier: b.tier}
		if partial.tier == cordonedTier {
			partial.tier = partial.pool.tier()
		}
		if c.usable(partial) {
			c.bins[partial.tier] = append(c.bins[partial.tier], partial)
		}
	}
	used := fullMachines
	if remainder > 0 {
		used++
		addRemainder(1, remainder)
	}
	if fullMachines > 0 {
		addRemainder(fullMachines, perMachine)
	}
	b.machines -= used
	var uncordoned []*workers.Worker
	switch b.tier {
	case cordonedTier:
		uncordoned, b.cordoned = b.cordoned[:used], b.cordoned[used:]
		c.freeVCPUs[b.pool] += float64(used)*b.freeVCPUs - float64(allocated)*spec.VCPUs
	case spotTier, onDemandTier:
		c.freeVCPUs[b.pool] -= float64(allocated) * spec.VCPUs
	}
	return allocated, uncordoned
}

// chooseZone returns the zone that all tasks of a job must be in: where it has some,
// else where most of them would find room. "" for jobs that don't care.
func (c *capacityModel) chooseZone(spec *api.Spec, tasksByZone map[string]int) string {
	if !spec.OneZone {
		return ""
	}
	best, most := "", 0
	room := map[string]int{}
	for _, bins := range c.bins {
		for _, b := range bins {
			if b.allows(spec) {
				room[b.pool.zone] += b.tasksPerMachine(spec) * b.machines
			}
		}
	}
	for z, n := range room {
		if n > most || n == most && z < best {
			best, most = z, n
		}
	}
	for z, n := range tasksByZone {
		if n > 0 {
			best = z
		}
	}
	return best
}

// binKey says what machines of one bin have in common.
type binKey struct {
	pool                              pool
	tier                              binTier
	freeVCPUs, freeGPUs, freeMemoryGB float64 // free CPUs, cards, memory
}

// binBuilder puts machines that are alike into one bin.
type binBuilder struct {
	bins    map[binKey]*bin
	order   []*bin
	quantum float64 // what free amounts of machines are rounded down to
}

// add counts a machine, or the place of a task that ends, and returns its bin.
func (g *binBuilder) add(model *cloud.MachineType, p pool, tier binTier, free jobs.Resources) *bin {
	quantum := g.quantum
	if tier == endingTier {
		// The place of a task that ends is as large as the task: rounded down, the next
		// one like it would not fit.
		quantum = exactQuantum
	}
	key := binKey{p, tier, floorTo(free.VCPUs, quantum), floorTo(free.GPUs, quantum), floorTo(free.MemoryGB, quantum)}
	b := g.bins[key]
	if b == nil {
		b = &bin{model: model, pool: p, tier: tier, freeVCPUs: key.freeVCPUs, freeGPUs: key.freeGPUs, freeMemoryGB: key.freeMemoryGB}
		g.bins[key] = b
		g.order = append(g.order, b)
	}
	b.machines++
	return b
}

// exactQuantum rounds to what differs by no more than sums of amounts may.
const exactQuantum = 1e-6

// measureCapacity counts the machines that can take work now or soon.
func (m *Manager) measureCapacity(catalog []cloud.MachineType, now ident.MonotonicTime) *capacityModel {
	capacity := newCapacityModel()
	for j := range m.jobs.Waiting {
		capacity.minNeed.LowerTo(j.Spec)
	}
	builder := &binBuilder{bins: map[binKey]*bin{}, quantum: exactQuantum}
	if len(m.machines.Sorted()) > largeFleet {
		builder.quantum = freeQuantum
	}
	borrowed := m.borrowedByMachine()
	for _, w := range m.machines.Sorted() {
		m.addMachine(capacity, builder, w, borrowed[w.ID], now)
	}
	m.addPending(capacity, builder, catalog)
	m.eachRunningBatchTask(now, func(t *jobs.Task, w *workers.Worker, left time.Duration) {
		if !w.Cordoned && w.Type != nil && left < m.bootTime(w) {
			builder.add(w.Type, pool{w.Model, w.Zone, w.Spot}, endingTier, jobs.ResourcesOf(t.Job.Spec))
		}
	})
	for _, b := range builder.order {
		if capacity.usable(b) {
			capacity.bins[b.tier] = append(capacity.bins[b.tier], b)
		}
	}
	return capacity
}

// addMachine counts a machine, if it can take work now or soon.
func (m *Manager) addMachine(capacity *capacityModel, builder *binBuilder, w *workers.Worker, borrowed jobs.Resources, now ident.MonotonicTime) {
	// A machine where a task failed is no room to count on: the job keeps off it.
	// (A job waited for ever while the only idle machine was one that it shunned.)
	// Nor is one in a zone that is cut off.
	if w.Type == nil || w.ReclaimAt > 0 || w.QuarantinedUntil > now || w.Slow || w.PossiblyFaulty() || m.partitionedZones[w.Zone] {
		return
	}
	p := pool{w.Model, w.Zone, w.Spot}
	free := jobs.Resources{VCPUs: w.Type.VCPUs, GPUs: w.Type.GPUs, MemoryGB: w.Type.MemoryGB}
	switch w.State {
	case workers.Booting:
		if now.Sub(w.CreatedAt) > 2*m.bootTime(w) {
			return // late: don't count on it
		}
		capacity.bootingVCPUs[p] += free.VCPUs
	case workers.Up, workers.Unreachable:
		free = free.Sub(jobs.Resources{VCPUs: w.VCPUs, GPUs: w.GPUs, MemoryGB: w.MemoryGB})
	default:
		return
	}
	capacity.machines[p]++
	capacity.replicaVCPUs[p.zone] += w.ServiceVCPUs
	if w.Cordoned {
		b := builder.add(w.Type, p, cordonedTier, free)
		b.cordoned = append(b.cordoned, w)
		return
	}
	capacity.freeVCPUs[p] += free.VCPUs
	capacity.batchVCPUs[p] += w.BatchVCPUs
	builder.add(w.Type, p, p.tier(), free.Add(borrowed))
}

// addPending counts the machines that were asked for and are not on record yet.
func (m *Manager) addPending(capacity *capacityModel, builder *binBuilder, catalog []cloud.MachineType) {
	for i := range catalog {
		model := &catalog[i]
		for _, zone := range model.Zones {
			for _, spot := range []bool{true, false} {
				p := pool{model.SKU, zone, spot}
				state := m.pools[p]
				if state == nil || state.pending <= 0 {
					continue
				}
				builder.add(model, p, p.tier(), jobs.Resources{VCPUs: model.VCPUs, GPUs: model.GPUs, MemoryGB: model.MemoryGB}).machines += state.pending - 1
				capacity.machines[p] += state.pending
				capacity.freeVCPUs[p] += float64(state.pending) * model.VCPUs
				capacity.bootingVCPUs[p] += float64(state.pending) * model.VCPUs
			}
		}
	}
}

// borrowedByMachine returns what tasks of teams without a guarantee have on each machine. It is room
// for whatever waits, as they give way. (Machines were rented for the house beside some
// that were full of them.)
func (m *Manager) borrowedByMachine() map[ident.MachineID]jobs.Resources {
	out := map[ident.MachineID]jobs.Resources{}
	m.eachOpenBatchJob(func(j *jobs.Job) {
		if j.AllocatedTasks == 0 || !m.teams.IsBorrower(j.Spec.Team) {
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

// eachRunningBatchTask calls f for every array task seen running, with how long it will
// probably go on.
func (m *Manager) eachRunningBatchTask(now ident.MonotonicTime, visit func(t *jobs.Task, w *workers.Worker, left time.Duration)) {
	m.eachOpenBatchJob(func(j *jobs.Job) {
		if j.RunningTasks == 0 {
			return
		}
		for i := range j.Tasks {
			if t := &j.Tasks[i]; t.State == jobs.Assigned && t.RunningSince > 0 {
				if w := m.machines.Workers[t.MachineID]; w != nil {
					visit(t, w, settings.Seconds(j.Spec.RuntimeS)-now.Sub(t.RunningSince))
				}
			}
		}
	})
}

// onDemandByZone returns the CPUs of ordinary machines that services could have, by zone.
func (c *capacityModel) onDemandByZone() map[string]float64 {
	out := map[string]float64{}
	for p, v := range c.freeVCPUs {
		if !p.spot {
			out[p.zone] += v + c.batchVCPUs[p]
		}
	}
	for z, v := range out {
		out[z] = round(v)
	}
	return out
}

// totalFree returns all CPUs free.
func (c *capacityModel) totalFree() float64 {
	sum := 0.0
	for _, v := range c.freeVCPUs {
		sum += v
	}
	return round(sum)
}
