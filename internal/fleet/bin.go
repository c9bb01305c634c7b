package fleet

import (
	"math"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/jobs"
	"opaldale/internal/placement"
	"opaldale/internal/workers"
)

// exactQuantum is an upper bound on the rounding error of a sum of resource amounts.
const exactQuantum = 1e-6

// bin is a group of existing or requested machines with the same free resources, onto which tasks are
// packed. Grouping limits the cost of a run: a fleet of thousands of machines has some hundred bins.
type bin struct {
	machineType *cloud.MachineType
	pool        pool
	tier        binTier
	machines    int
	free        jobs.Resources // of each machine
	reservation placement.Reservation
	cordoned    []*workers.Worker // the machines; only set in cordonedTier
}

// binTier is the rank of a bin: tasks are packed into bins of lower tiers first.
type binTier uint8

const (
	spotTier binTier = iota // spot before on-demand, as the planner places tasks
	onDemandTier
	cordonedTier // cordoned machines, which are uncordoned before another machine is provisioned
	endingTier   // resources of batch tasks that are expected to end before a new machine would be up
	tierCount
)

// tier returns the tier of machines of the pool that are not cordoned.
func (p pool) tier() binTier {
	if p.spot {
		return spotTier
	}
	return onDemandTier
}

// newBin returns a bin with one empty machine.
func newBin(machineType *cloud.MachineType, p pool) *bin {
	return &bin{machineType: machineType, pool: p, tier: p.tier(), machines: 1, free: workers.CapacityOf(machineType)}
}

// tasksPerMachine returns how many tasks of a job fit onto each machine of the bin.
func (b *bin) tasksPerMachine(spec *api.Spec) int { return b.free.TaskCapacity(spec) }

// allows reports whether tasks of a job may run on the machines of the bin, regardless of their free
// resources.
func (b *bin) allows(spec *api.Spec) bool {
	if spec.Zone != nil && *spec.Zone != b.pool.zone || b.pool.spot && !spec.Spot {
		return false
	}
	if b.tier == endingTier && spec.Shape != api.Batch {
		return false
	}
	return workers.AllowsModel(spec, b.pool.model) && workers.FitsEmpty(b.machineType, spec)
}

// admits reports whether tasks of a job may be placed on the machines of the bin now, regardless of their free resources.
func (b *bin) admits(j *jobs.Job) bool { return b.allows(j.Spec) && b.reservation.Admits(j) }

// split returns a new bin of some of the machines, with a number of tasks packed onto each of them. The
// bin that it is called on is unchanged.
func (b *bin) split(machines, tasks int, spec *api.Spec) *bin {
	part := &bin{
		machineType: b.machineType,
		pool:        b.pool,
		tier:        b.tier,
		machines:    machines,
		reservation: b.reservation,
		free:        b.free.Sub(jobs.ResourcesOf(spec).Times(tasks)),
	}
	if part.tier == cordonedTier {
		part.tier = part.pool.tier()
	}
	return part
}

// floorResources rounds each amount down to a multiple of a quantum.
func floorResources(r jobs.Resources, quantum float64) jobs.Resources {
	return jobs.Resources{
		VCPUs:    floorTo(r.VCPUs, quantum),
		GPUs:     floorTo(r.GPUs, quantum),
		MemoryGB: floorTo(r.MemoryGB, quantum),
	}
}

// floorTo rounds down to a multiple of a quantum. It tolerates floating-point errors in sums of amounts.
func floorTo(x, quantum float64) float64 { return math.Floor(x/quantum+exactQuantum) * quantum }

// binKey holds the properties that all machines of a bin share.
type binKey struct {
	pool        pool
	tier        binTier
	free        jobs.Resources
	reservedFor *jobs.Job
}

// binBuilder groups machines into bins.
type binBuilder struct {
	bins    map[binKey]*bin
	order   []*bin  // the bins in the order of their creation
	quantum float64 // free resources are rounded down to multiples of it
}

// machineGroup is a number of machines with the same properties.
type machineGroup struct {
	machineType *cloud.MachineType
	pool        pool
	tier        binTier
	free        jobs.Resources // of each machine
	reservation placement.Reservation
	machines    int
}

// add adds machines to the bin with the same properties, which it creates if necessary, and returns it.
func (builder *binBuilder) add(group machineGroup) *bin {
	key := binKey{group.pool, group.tier, floorResources(group.free, builder.quantum), group.reservation.Job}
	if group.tier == endingTier {
		// The resources that an ending task releases are exactly as large as the task. If they were
		// rounded down to the coarse quantum, a task of the same size would no longer fit.
		key.free = floorResources(group.free, exactQuantum)
	}
	b := builder.bins[key]
	if b == nil {
		b = &bin{
			machineType: group.machineType,
			pool:        group.pool,
			tier:        group.tier,
			free:        key.free,
			reservation: group.reservation,
		}
		builder.bins[key] = b
		builder.order = append(builder.order, b)
	}
	b.machines += group.machines
	return b
}
