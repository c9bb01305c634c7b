package fleet

import (
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

const (
	// In a fleet of more than largeFleet machines, free resources are rounded down to multiples of
	// coarseQuantum, so that more machines share a bin. In a smaller fleet, rounding would only
	// make the free capacity appear smaller than it is.
	largeFleet    = 200
	coarseQuantum = 0.25
	// lateBootFactor is the age, as a multiple of its boot time, from which a booting machine no longer
	// counts as capacity.
	lateBootFactor = 2
)

// measureCapacity returns the capacity of all machines that can run new tasks now or soon.
func (r *scalingRun) measureCapacity() *capacityModel {
	capacity := newCapacityModel()
	for j := range r.jobs.Waiting {
		capacity.minNeed.LowerTo(j.Spec)
	}
	builder := &binBuilder{bins: map[binKey]*bin{}, quantum: exactQuantum}
	if len(r.machines.Sorted()) > largeFleet {
		builder.quantum = coarseQuantum
	}
	borrowed := r.borrowedByMachine()
	for _, w := range r.machines.Sorted() {
		r.addMachine(capacity, builder, w, borrowed[w.ID])
	}
	r.addPending(capacity, builder)
	r.addEndingTasks(builder)
	for _, b := range builder.order {
		capacity.addBin(b)
	}
	return capacity
}

// addMachine adds the capacity of a machine, if it can run new tasks now or soon.
func (r *scalingRun) addMachine(capacity *capacityModel, builder *binBuilder, w *workers.Worker, borrowed jobs.Resources) {
	if !r.isUsable(w) {
		return
	}
	p := poolOf(w)
	free := workers.CapacityOf(w.Type)
	switch w.State {
	case workers.Booting:
		if r.now.Sub(w.CreatedAt) > lateBootFactor*bootTime(w) {
			return
		}
		capacity.bootingVCPUs[p] += free.VCPUs
	case workers.Up, workers.Unreachable:
		free = free.Sub(jobs.Resources{VCPUs: w.VCPUs, GPUs: w.GPUs, MemoryGB: w.MemoryGB})
	default:
		return
	}
	capacity.machines[p]++
	capacity.replicaVCPUs[p.zone] += w.ServiceVCPUs
	group := machineGroup{machineType: w.Type, pool: p, tier: cordonedTier, free: free, machines: 1}
	if w.Cordoned {
		b := builder.add(group)
		b.cordoned = append(b.cordoned, w)
		return
	}
	capacity.freeVCPUs[p] += free.VCPUs
	capacity.batchVCPUs[p] += w.BatchVCPUs
	group.tier, group.free, group.reservation = p.tier(), free.Add(borrowed), r.cfg.ReservationOn(w)
	builder.add(group)
}

// isUsable reports whether a machine counts as capacity for new tasks. Machines that are slow, quarantined, in
// a partitioned zone or about to be reclaimed don't count. Neither do machines that may be faulty, since the
// jobs that failed there avoid them.
func (r *scalingRun) isUsable(w *workers.Worker) bool {
	if w.Type == nil || w.ReclaimAt > 0 || w.Slow || r.zones.partitioned[w.Zone] {
		return false
	}
	return w.QuarantinedUntil <= r.now && !w.PossiblyFaulty()
}

// addPending adds the capacity of machines that were requested but are not yet in the machine table.
func (r *scalingRun) addPending(capacity *capacityModel, builder *binBuilder) {
	eachPool(r.catalog, func(machineType *cloud.MachineType, p pool) {
		state := r.provisioner.pools[p]
		if state == nil || state.pending <= 0 {
			return
		}
		builder.add(machineGroup{
			machineType: machineType,
			pool:        p,
			tier:        p.tier(),
			free:        workers.CapacityOf(machineType),
			machines:    state.pending,
		})
		cpus := float64(state.pending) * machineType.VCPUs
		capacity.machines[p] += state.pending
		capacity.freeVCPUs[p] += cpus
		capacity.bootingVCPUs[p] += cpus
	})
}

// addEndingTasks adds the resources of running batch tasks that are expected to end before a machine
// provisioned now would be up.
func (r *scalingRun) addEndingTasks(builder *binBuilder) {
	r.eachRunningBatchTask(func(t *jobs.Task, w *workers.Worker) {
		left := settings.Seconds(t.Job.Spec.RuntimeS) - r.now.Sub(t.RunningSince)
		if !w.Cordoned && w.Type != nil && left < bootTime(w) {
			builder.add(machineGroup{
				machineType: w.Type,
				pool:        poolOf(w),
				tier:        endingTier,
				free:        jobs.ResourcesOf(t.Job.Spec),
				reservation: r.cfg.ReservationOn(w),
				machines:    1,
			})
		}
	})
}

// borrowedByMachine returns the resources that tasks of borrowers use on each machine. These count as
// free, since borrowers are preempted for other jobs.
func (r *scalingRun) borrowedByMachine() map[ident.MachineID]jobs.Resources {
	borrowed := map[ident.MachineID]jobs.Resources{}
	r.eachOpenBatchJob(func(j *jobs.Job) {
		if j.AllocatedTasks == 0 || !r.teams.IsBorrower(j.Spec.Team) {
			return
		}
		for t := range j.Tasks.Created() {
			if t.State.Allocated() {
				borrowed[t.MachineID] = borrowed[t.MachineID].Add(jobs.ResourcesOf(j.Spec))
			}
		}
	})
	return borrowed
}

// eachRunningBatchTask calls visit for each running batch task and its machine.
func (r *scalingRun) eachRunningBatchTask(visit func(*jobs.Task, *workers.Worker)) {
	r.eachOpenBatchJob(func(j *jobs.Job) {
		if j.RunningTasks == 0 {
			return
		}
		for t := range j.Tasks.Created() {
			if t.State != jobs.Assigned || t.RunningSince == 0 {
				continue
			}
			if w := r.machines.Workers[t.MachineID]; w != nil {
				visit(t, w)
			}
		}
	})
}
