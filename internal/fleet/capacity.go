package fleet

import (
	"opaldale/internal/api"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// capacityModel is the free capacity of the existing and requested machines. It decreases as tasks are
// packed.
type capacityModel struct {
	bins         [tierCount][]*bin
	freeVCPUs    map[pool]float64   // free CPUs on machines that are not cordoned
	batchVCPUs   map[pool]float64   // CPUs used by batch jobs on machines that are not cordoned
	replicaVCPUs map[string]float64 // CPUs used by services and gangs, by zone
	bootingVCPUs map[pool]float64   // CPUs of machines that are not up yet; included in freeVCPUs
	machines     map[pool]int       // number of machines
	minNeed      jobs.Resources     // the minimum over all waiting tasks, separately for each resource
}

func newCapacityModel() *capacityModel {
	return &capacityModel{
		freeVCPUs:    map[pool]float64{},
		batchVCPUs:   map[pool]float64{},
		replicaVCPUs: map[string]float64{},
		bootingVCPUs: map[pool]float64{},
		machines:     map[pool]int{},
		minNeed:      jobs.UnboundedResources(),
	}
}

// addBin adds a bin, unless its free resources are too small for every waiting task.
func (c *capacityModel) addBin(b *bin) {
	if b.machines > 0 && b.free.Covers(c.minNeed) {
		c.bins[b.tier] = append(c.bins[b.tier], b)
	}
}

// addBooting adds a machine that is to be provisioned.
func (c *capacityModel) addBooting(b *bin) {
	c.machines[b.pool]++
	c.freeVCPUs[b.pool] += b.free.VCPUs
	c.bootingVCPUs[b.pool] += b.free.VCPUs
	c.bins[b.tier] = append(c.bins[b.tier], b)
}

// allocate packs up to count tasks into a bin. It returns the number of tasks packed, and the cordoned
// machines that must be uncordoned for them.
func (c *capacityModel) allocate(b *bin, spec *api.Spec, count int) (int, []*workers.Worker) {
	perMachine := b.tasksPerMachine(spec)
	if perMachine == 0 || b.machines == 0 {
		return 0, nil
	}
	allocated := min(count, perMachine*b.machines)
	full, remainder := allocated/perMachine, allocated%perMachine
	used := full
	if remainder > 0 {
		used++
		c.addBin(b.split(1, remainder, spec))
	}
	if full > 0 {
		c.addBin(b.split(full, perMachine, spec))
	}
	b.machines -= used
	return allocated, c.consume(b, spec, allocated, used)
}

// consume updates the free CPUs after tasks were packed onto some machines of a bin. It removes the
// cordoned machines among these from the bin, and returns them.
func (c *capacityModel) consume(b *bin, spec *api.Spec, tasks, machines int) (uncordoned []*workers.Worker) {
	switch b.tier {
	case cordonedTier:
		uncordoned, b.cordoned = b.cordoned[:machines], b.cordoned[machines:]
		c.freeVCPUs[b.pool] += float64(machines)*b.free.VCPUs - float64(tasks)*spec.VCPUs
	case spotTier, onDemandTier:
		c.freeVCPUs[b.pool] -= float64(tasks) * spec.VCPUs
	}
	return uncordoned
}

// chooseZone returns the zone for all tasks of a one-zone job: a zone that already has tasks of the job,
// or else the zone in which most of them fit. It returns "" for other jobs, and if no task fits in any
// zone.
func (c *capacityModel) chooseZone(j *jobs.Job, tasksByZone map[string]int) string {
	if !j.Spec.OneZone {
		return ""
	}
	for zone, count := range tasksByZone {
		if count > 0 {
			return zone
		}
	}
	best, most := "", 0
	for zone, count := range c.fittingTasksByZone(j) {
		if count > most || count == most && zone < best {
			best, most = zone, count
		}
	}
	return best
}

// fittingTasksByZone returns the number of tasks of a job that fit in each zone.
func (c *capacityModel) fittingTasksByZone(j *jobs.Job) map[string]int {
	fitting := map[string]int{}
	for _, bins := range c.bins {
		for _, b := range bins {
			if b.admits(j) {
				fitting[b.pool.zone] += b.tasksPerMachine(j.Spec) * b.machines
			}
		}
	}
	return fitting
}

// onDemandByZone returns the CPUs that services could use in each zone: those of on-demand machines that
// are free or used by batch jobs.
func (c *capacityModel) onDemandByZone() map[string]float64 {
	byZone := map[string]float64{}
	for p, cpus := range c.freeVCPUs {
		if !p.spot {
			byZone[p.zone] += cpus + c.batchVCPUs[p]
		}
	}
	for zone, cpus := range byZone {
		byZone[zone] = roundAmount(cpus)
	}
	return byZone
}

// totalFree returns the free CPUs of all machines that are not cordoned.
func (c *capacityModel) totalFree() float64 {
	sum := 0.0
	for _, cpus := range c.freeVCPUs {
		sum += cpus
	}
	return roundAmount(sum)
}
