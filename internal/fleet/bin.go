package fleet

import (
	"math"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// exactQuantum is by how much sums of equal amounts may differ.
const exactQuantum = 1e-6

// bin is a number of equal machines, there or to come, while tasks are packed. A fleet of thousands
// has some hundred different ones.
type bin struct {
	machineType *cloud.MachineType
	pool        pool
	tier        binTier
	machines    int
	free        jobs.Resources    // of each machine
	cordoned    []*workers.Worker // the machines, in the cordoned tier
}

// binTier orders the bins by which of them is used first.
type binTier uint8

const (
	spotTier     binTier = iota // as the planner orders them
	onDemandTier                //
	cordonedTier                // uncordoned before another machine is provisioned
	endingTier                  // of batch tasks expected to end before a new machine would be up
	tierCount
)

// tier is that of the pool's machines while they are not cordoned.
func (p pool) tier() binTier {
	if p.spot {
		return spotTier
	}
	return onDemandTier
}

// newBin returns the bin of one empty machine.
func newBin(machineType *cloud.MachineType, p pool) *bin {
	return &bin{machineType: machineType, pool: p, tier: p.tier(), machines: 1, free: machineTypeResources(machineType)}
}

// tasksPerMachine returns how many tasks of a job each machine has room for.
func (b *bin) tasksPerMachine(spec *api.Spec) int { return b.free.TaskCapacity(spec) }

// allows says whether tasks of a job may be on the machines.
func (b *bin) allows(spec *api.Spec) bool {
	if spec.Zone != nil && *spec.Zone != b.pool.zone || b.pool.spot && !spec.Spot {
		return false
	}
	if b.tier == endingTier && spec.Shape != api.Batch {
		return false
	}
	return workers.AllowsModel(spec, b.pool.model) && workers.FitsEmpty(b.machineType, spec)
}

// split returns a bin of some of the machines, each less the resources of a number of tasks.
func (b *bin) split(machines, tasks int, spec *api.Spec) *bin {
	part := &bin{
		machineType: b.machineType,
		pool:        b.pool,
		tier:        b.tier,
		machines:    machines,
		free:        b.free.Sub(multiply(jobs.ResourcesOf(spec), tasks)),
	}
	if part.tier == cordonedTier {
		part.tier = part.pool.tier()
	}
	return part
}

// machineTypeResources returns what an empty machine of a type has.
func machineTypeResources(machineType *cloud.MachineType) jobs.Resources {
	return jobs.Resources{VCPUs: machineType.VCPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
}

// multiply returns the resources of a number of equal tasks.
func multiply(r jobs.Resources, count int) jobs.Resources {
	n := float64(count)
	return jobs.Resources{VCPUs: n * r.VCPUs, GPUs: n * r.GPUs, MemoryGB: n * r.MemoryGB}
}

// floorResources rounds each amount down to a multiple of a quantum.
func floorResources(r jobs.Resources, quantum float64) jobs.Resources {
	return jobs.Resources{
		VCPUs:    floorTo(r.VCPUs, quantum),
		GPUs:     floorTo(r.GPUs, quantum),
		MemoryGB: floorTo(r.MemoryGB, quantum),
	}
}

// floorTo rounds down to a multiple of a quantum, forgiving rounding in sums.
func floorTo(x, quantum float64) float64 { return math.Floor(x/quantum+exactQuantum) * quantum }

// binKey is what machines of one bin have in common.
type binKey struct {
	pool pool
	tier binTier
	free jobs.Resources
}

// binBuilder puts equal machines into one bin.
type binBuilder struct {
	bins    map[binKey]*bin
	order   []*bin
	quantum float64 // what free amounts of machines are rounded down to
}

// add adds machines to the bin of their kind, and returns it.
func (g *binBuilder) add(machineType *cloud.MachineType, p pool, tier binTier, free jobs.Resources, machines int) *bin {
	key := binKey{p, tier, floorResources(free, g.quantum)}
	if tier == endingTier {
		// The place of a task is as large as the task: rounded down, an equal task would not fit.
		key.free = floorResources(free, exactQuantum)
	}
	b := g.bins[key]
	if b == nil {
		b = &bin{machineType: machineType, pool: p, tier: tier, free: key.free}
		g.bins[key] = b
		g.order = append(g.order, b)
	}
	b.machines += machines
	return b
}
