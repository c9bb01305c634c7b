package fleet

import (
	"math"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// exactQuantum is the largest rounding error of sums of amounts.
const exactQuantum = 1e-6

// bin is a group of existing or requested machines with the same free resources, into which tasks
// are packed. A fleet of thousands of machines has some hundred bins.
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
	spotTier binTier = iota // spot and on-demand are in the order in which the planner fills them
	onDemandTier
	cordonedTier // uncordoned before another machine is provisioned
	endingTier   // of batch tasks expected to end before a new machine would be up
	tierCount
)

// tier returns the tier of the pool's machines that are not cordoned.
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

// allows reports whether tasks of a job may be on the machines.
func (b *bin) allows(spec *api.Spec) bool {
	if spec.Zone != nil && *spec.Zone != b.pool.zone || b.pool.spot && !spec.Spot {
		return false
	}
	if b.tier == endingTier && spec.Shape != api.Batch {
		return false
	}
	return workers.AllowsModel(spec, b.pool.model) && workers.FitsEmpty(b.machineType, spec)
}

// split returns a bin of some of the machines, after a number of tasks is packed onto each.
func (b *bin) split(machines, tasks int, spec *api.Spec) *bin {
	part := &bin{
		machineType: b.machineType,
		pool:        b.pool,
		tier:        b.tier,
		machines:    machines,
		free:        b.free.Sub(jobs.ResourcesOf(spec).Times(tasks)),
	}
	if part.tier == cordonedTier {
		part.tier = part.pool.tier()
	}
	return part
}

// machineTypeResources returns the resources of an empty machine of a type.
func machineTypeResources(machineType *cloud.MachineType) jobs.Resources {
	return jobs.Resources{VCPUs: machineType.VCPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
}

// floorResources rounds each amount down to a multiple of a quantum.
func floorResources(r jobs.Resources, quantum float64) jobs.Resources {
	return jobs.Resources{
		VCPUs:    floorTo(r.VCPUs, quantum),
		GPUs:     floorTo(r.GPUs, quantum),
		MemoryGB: floorTo(r.MemoryGB, quantum),
	}
}

// floorTo rounds down to a multiple of a quantum, with a tolerance for rounding errors of sums.
func floorTo(x, quantum float64) float64 { return math.Floor(x/quantum+exactQuantum) * quantum }

// binKey holds the properties that machines of one bin have in common.
type binKey struct {
	pool pool
	tier binTier
	free jobs.Resources
}

// binBuilder groups machines into bins.
type binBuilder struct {
	bins    map[binKey]*bin
	order   []*bin  // in the order of creation
	quantum float64 // free amounts are rounded down to multiples of it
}

// add adds machines to the bin with their properties, and returns it.
func (builder *binBuilder) add(machineType *cloud.MachineType, p pool, tier binTier, free jobs.Resources, machines int) *bin {
	key := binKey{p, tier, floorResources(free, builder.quantum)}
	if tier == endingTier {
		// The room of an ending task is as large as the task: rounded down, an equal one would not fit.
		key.free = floorResources(free, exactQuantum)
	}
	b := builder.bins[key]
	if b == nil {
		b = &bin{machineType: machineType, pool: p, tier: tier, free: key.free}
		builder.bins[key] = b
		builder.order = append(builder.order, b)
	}
	b.machines += machines
	return b
}
