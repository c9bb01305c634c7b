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

// binConstraint narrows down which machine is opened.
type binConstraint struct {
	zone      string   // only this zone, if given
	fullZones []string // none of these zones
	spotOnly  bool     // only spot machines
}

// maxProvisionBatch bounds the machines asked for in one request.
const maxProvisionBatch = 50

func sortedPools(counts map[pool]int) []pool {
	out := make([]pool, 0, len(counts))
	for p := range counts {
		out = append(out, p)
	}
	sort.Slice(out, func(i, k int) bool {
		a, b := out[i], out[k]
		if a.model != b.model {
			return a.model < b.model
		}
		if a.zone != b.zone {
			return a.zone < b.zone
		}
		return !a.spot && b.spot
	})
	return out
}

// autoscale lays the waiting work out over what is there and what is coming, rents
// what is missing, and returns what stays idle.
func (m *Manager) autoscale() {
	catalog := m.cfg.Catalog()
	if len(catalog) == 0 {
		return
	}
	now := m.port.Now()
	capacity := m.measureCapacity(catalog, now)
	missing := map[pool]int{}
	openBin := func(spec *api.Spec, constraint binConstraint) *bin {
		b := m.cheapestBin(catalog, capacity, spec, constraint, now)
		if b != nil {
			missing[b.pool]++
			capacity.machines[b.pool]++
			capacity.freeVCPUs[b.pool] += b.freeVCPUs
			capacity.bootingVCPUs[b.pool] += b.freeVCPUs
			capacity.bins[b.tier] = append(capacity.bins[b.tier], b)
		}
		return b
	}
	onDemandBudget := m.batchShortfall(capacity, now)
	for _, services := range []bool{true, false} {
		for _, j := range m.waitingJobs(services) {
			n := min(j.PlaceableCount(), m.teams.RemainingTasks(j.Spec))
			if n > 0 && (!j.IsGang() || n == j.WaitingCount()) {
				m.packJob(&jobPacking{capacity: capacity, job: j, remaining: n, onDemandBudget: &onDemandBudget, openBin: openBin, now: now})
			}
		}
	}
	services, batch := m.targetHeadroom(now)
	// Beyond what arrays keep off, ordinary room that they may have meanwhile: when a
	// rack goes, its replicas need at once what takes a boot to bring.
	spare := map[string]float64{}
	for z, v := range services {
		m.cfg.SetServiceHeadroom(z, v)
		spare[z] = round(v + wholeMachines(catalog, z, m.cfg.Tuning.ServiceSpareFraction*capacity.replicaVCPUs[z]))
	}
	m.ensureHeadroom(capacity, openBin, services, spare, batch)
	m.provisionAll(missing)
	m.scaleIn(capacity, services, spare, batch, now)
}

// wholeMachines rounds CPUs down to whole machines of a zone: in a small fleet the part that
// may be lost is less than one, and a machine more would stand there for it.
func wholeMachines(catalog []cloud.MachineType, zone string, cpus float64) float64 {
	largest := 0.0
	for i := range catalog {
		if slices.Contains(catalog[i].Zones, zone) {
			largest = max(largest, catalog[i].VCPUs)
		}
	}
	if largest == 0 {
		return 0
	}
	return math.Floor(cpus/largest) * largest
}

// provisionAll asks for what is missing, of each pool in turn, as far as the cloud's
// rate allows.
func (m *Manager) provisionAll(missing map[pool]int) {
	pools := sortedPools(missing)
	for again := true; again; {
		again = false
		for _, p := range pools {
			if n := m.provisionLimit(p, min(missing[p], maxProvisionBatch)); n > 0 && m.provision(p, n) {
				missing[p] -= n
				again = true
			}
		}
	}
}

// waitingJobs lists the jobs with tasks to be placed, by arrival, those of guests last: they
// have the room that others leave.
func (m *Manager) waitingJobs(services bool) []*jobs.Job {
	var out []*jobs.Job
	for j := range m.jobs.Waiting {
		if (j.Spec.Shape != api.Batch) == services && !(j.Suspect && m.port.Now() < j.RetryAt) {
			out = append(out, j)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		if a, b := m.teams.IsBorrower(out[i].Spec.Team), m.teams.IsBorrower(out[k].Spec.Team); a != b {
			return b
		}
		return out[i].Seq < out[k].Seq
	})
	return out
}

// eachOpenBatchJob calls f for every open array, in a fixed order.
func (m *Manager) eachOpenBatchJob(visit func(*jobs.Job)) {
	for _, name := range slices.Sorted(maps.Keys(m.jobs.Teams)) {
		for _, j := range m.jobs.Teams[name].OpenJobs {
			if j.Spec.Shape == api.Batch {
				visit(j)
			}
		}
	}
}

// batchShortfall returns how many CPUs are missing for the arrays that wait to be started
// in time for the first of their aims, 0 if the machines that are there or coming
// can still do it. A backlog is seen by its work, not by waiting until it is late.
func (m *Manager) batchShortfall(capacity *capacityModel, now ident.MonotonicTime) float64 {
	supply, work, slack, weight := 0.0, 0.0, 0.0, 0.0
	for p, n := range capacity.machines {
		if model := m.catalogModel(p.model); p.spot && model != nil {
			supply += float64(n) * model.VCPUs
		} else {
			supply += capacity.freeVCPUs[p] + capacity.batchVCPUs[p]
		}
	}
	m.eachOpenBatchJob(func(j *jobs.Job) {
		spec := j.Spec
		if !spec.Spot || j.PlaceableCount() == 0 || m.teams.IsBorrower(spec.Team) {
			return
		}
		waitingWork := float64(min(j.PlaceableCount(), m.teams.RemainingTasks(spec))) * spec.VCPUs * spec.RuntimeS
		// What can't be done in time by any machine goes last, and doesn't count.
		if timeLeft := (m.cfg.Objective(spec.Class) - now.Sub(j.SubmittedAt)).Seconds() - spec.RuntimeS; timeLeft > 0 && waitingWork > 0 {
			work += waitingWork
			slack += waitingWork * timeLeft
			weight += waitingWork
		}
	})
	if weight == 0 {
		return 0
	}
	// A part of the slack, since arrivals go on and estimates are often short.
	horizon := max(0.85*slack/weight, m.longestBoot().Seconds())
	m.eachOpenBatchJob(func(j *jobs.Job) {
		if j.AllocatedTasks == 0 || !j.Spec.Spot || m.teams.IsBorrower(j.Spec.Team) {
			return // guests' work makes room
		}
		for i := range j.Tasks {
			if t := &j.Tasks[i]; t.State.Allocated() {
				timeLeft := j.Spec.RuntimeS
				if t.RunningSince > 0 {
					timeLeft -= now.Sub(t.RunningSince).Seconds()
				}
				work += j.Spec.VCPUs * min(max(timeLeft, 5), horizon)
			}
		}
	})
	return max(0, work/horizon-supply)
}

// catalogModel returns a machine type of the catalog, nil for an unknown one.
func (m *Manager) catalogModel(model string) *cloud.MachineType {
	catalog := m.cfg.Catalog()
	for i := range catalog {
		if catalog[i].SKU == model {
			return &catalog[i]
		}
	}
	return nil
}

// spotPatience, in boot times, is how long work that may use spot machines waits for
// one before an ordinary one is rented for it.
const spotPatience = 2

// longestBoot returns the longest boot time in the catalog.
func (m *Manager) longestBoot() time.Duration {
	boot := 0.0
	for _, model := range m.cfg.Catalog() {
		boot = max(boot, model.StartupS)
	}
	return settings.Seconds(boot)
}

// cheapestBin opens a machine of the cheapest pool that allows the job, in the zone
// that has the fewest of its kind.
func (m *Manager) cheapestBin(catalog []cloud.MachineType, capacity *capacityModel, spec *api.Spec, constraint binConstraint, now ident.MonotonicTime) *bin {
	var best *bin
	cheapest, fewest := math.Inf(1), 0
	m.eachAvailablePool(catalog, constraint, now, func(model *cloud.MachineType, p pool) {
		b := &bin{model: model, pool: p, machines: 1, freeVCPUs: model.VCPUs, freeGPUs: model.GPUs, freeMemoryGB: model.MemoryGB, tier: p.tier()}
		if !b.allows(spec) {
			return
		}
		price := model.HourlyPrice
		if p.spot {
			price = model.SpotPrice
		}
		price /= float64(max(b.tasksPerMachine(spec), 1))
		n := capacity.machines[p]
		if best == nil || price < cheapest-1e-9 || price < cheapest+1e-9 && n < fewest {
			best, cheapest, fewest = b, price, n
		}
	})
	return best
}

// eachAvailablePool calls f for each pool that is asked for and has machines to be had, as far as is
// known.
func (m *Manager) eachAvailablePool(catalog []cloud.MachineType, constraint binConstraint, now ident.MonotonicTime, visit func(*cloud.MachineType, pool)) {
	for i := range catalog {
		model := &catalog[i]
		for _, zone := range model.Zones {
			if m.partitionedZones[zone] || m.canariesExhausted(zone) || constraint.zone != "" && constraint.zone != zone || slices.Contains(constraint.fullZones, zone) {
				continue
			}
			for _, spot := range []bool{true, false} {
				if p := (pool{model.SKU, zone, spot}); (spot || !constraint.spotOnly) && m.poolState(p).unavailableUntil <= now {
					visit(model, p)
				}
			}
		}
	}
}

func (m *Manager) poolState(p pool) *poolState {
	state := m.pools[p]
	if state == nil {
		state = &poolState{}
		m.pools[p] = state
	}
	return state
}

// targetHeadroom returns the room in CPUs to keep free: for services by zone, and for
// arrays.
func (m *Manager) targetHeadroom(now ident.MonotonicTime) (services map[string]float64, batch float64) {
	boot := m.longestBoot().Seconds()
	services = map[string]float64{}
	for _, model := range m.cfg.Catalog() {
		for _, z := range model.Zones {
			services[z] = 0
		}
	}
	if now.Sub(max(m.serviceArrivals.latest(), m.batchArrivals.latest())) > arrivalsCeasedAfter {
		// Machines stood there with nothing to do for a minute and a half after the last
		// job of all.
		return services, 0
	}
	factor := m.cfg.Tuning.Headroom
	if len(m.serviceArrivals.times) > 0 {
		rate, _, largest := m.serviceArrivals.rate(now, m.arrivalsSince)
		for z := range services {
			services[z] = factor * (rate*boot*1.3 + largest) / float64(len(services))
		}
	}
	if len(m.batchArrivals.times) > 0 {
		_, mean, _ := m.batchArrivals.rate(now, m.arrivalsSince)
		batch = factor * mean
	}
	return services, batch
}

// ensureHeadroom keeps room for the jobs to be expected while a machine boots.
func (m *Manager) ensureHeadroom(capacity *capacityModel, openBin func(*api.Spec, binConstraint) *bin, services, onDemand map[string]float64, batch float64) {
	// Room that arrays have on ordinary machines comes back by itself, since they
	// keep off the reserve: renting for it too, and letting arrays have that as
	// well, made the ordinary fleet grow without services.
	onDemandFree := capacity.onDemandByZone()
	for _, z := range slices.Sorted(maps.Keys(onDemand)) {
		for n := 0; n < maxHeadroomBins && onDemandFree[z] < onDemand[z]; n++ {
			b := openBin(&api.Spec{Shape: api.Service, Tasks: 1, Zone: &z}, binConstraint{zone: z})
			if b == nil {
				break
			}
			onDemandFree[z] += b.freeVCPUs
		}
	}
	spare := round(capacity.totalFree() - total(services))
	for n := 0; n < maxHeadroomBins && spare < batch; n++ {
		// Ordinary machines are not rented just in case.
		b := openBin(&api.Spec{Shape: api.Batch, Tasks: 1, Spot: true}, binConstraint{spotOnly: true})
		if b == nil {
			return
		}
		spare += b.freeVCPUs
	}
}

// maxHeadroomBins bounds the machines opened for headroom at a time.
const maxHeadroomBins = 8

// total adds up. Rounded, so that the order of the sum can't change what is
// decided by it.
func total(byZone map[string]float64) float64 {
	sum := 0.0
	for _, v := range byZone {
		sum += v
	}
	return round(sum)
}

func round(x float64) float64 { return math.Round(x*1e6) / 1e6 }
