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
	"opaldale/internal/placement"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

const (
	// slackShare is the fraction of the time left to the objectives within which a backlog should be
	// completed: more jobs arrive meanwhile, and runtimes are often underestimated.
	slackShare = 0.85
	// minTaskTimeLeft is the shortest remaining time that a running task is expected to take, in
	// seconds.
	minTaskTimeLeft = 5
	// spotPatience, in boot times, is how long work that may use spot machines waits for one
	// before an on-demand machine is provisioned for it.
	spotPatience = 2
	// priceTolerance is the largest difference of prices that count as equal.
	priceTolerance = 1e-9
	// maxCanaries bounds the machines provisioned in an unreachable zone, which show whether new ones
	// are reachable.
	maxCanaries = 2
	// amountSteps is the number of steps per CPU that roundAmount distinguishes.
	amountSteps = 1e6
)

// autoscaler provisions and terminates machines as the work requires.
type autoscaler struct {
	cfg         *Config
	port        Port
	machines    *workers.Table
	jobs        *jobs.Table
	teams       *placement.Teams
	zones       *zoneMonitor
	provisioner *provisioner
	terminator  *terminator

	arrivals    arrivals
	excessSince ident.MonotonicTime // when excess capacity was first found; 0 without any
}

// run packs the waiting work onto the existing and requested machines, provisions those that are
// missing, and scales in those that are not needed.
func (s *autoscaler) run() {
	catalog := s.cfg.Catalog()
	if len(catalog) == 0 {
		return
	}
	run := s.newRun(catalog)
	run.packWaiting()
	headroom := run.targetHeadroom()
	for zone, cpus := range headroom.services {
		s.cfg.SetServiceHeadroom(zone, cpus)
	}
	run.openOnDemandHeadroom(headroom)
	run.openBatchHeadroom(headroom)
	run.provisionMissing()
	run.scaleIn(headroom)
}

// scalingRun is one run of the autoscaler.
type scalingRun struct {
	*autoscaler
	now            ident.MonotonicTime
	catalog        []cloud.MachineType
	capacity       *capacityModel
	missing        map[pool]int // machines to be provisioned
	onDemandBudget float64      // CPUs of batch work for which on-demand machines may replace spot machines
	movesLeft      int          // replicas for which a destination may still be searched
}

// newRun measures the capacity for one run.
func (s *autoscaler) newRun(catalog []cloud.MachineType) *scalingRun {
	run := &scalingRun{
		autoscaler: s,
		now:        s.port.Now(),
		catalog:    catalog,
		missing:    map[pool]int{},
		movesLeft:  maxMovesPerTick,
	}
	run.capacity = run.measureCapacity()
	run.onDemandBudget = run.batchShortfall()
	return run
}

// packWaiting packs the tasks of the waiting jobs.
func (r *scalingRun) packWaiting() {
	for _, j := range r.waitingJobs() {
		count := min(j.PlaceableCount(), r.teams.RemainingTasks(j.Spec))
		if count <= 0 || j.IsGang() && count != j.WaitingCount() {
			continue // a gang is placed as a whole
		}
		newJobPacking(r, j, count).pack()
	}
}

// waitingJobs lists the jobs with tasks to be placed: services and gangs, then batch jobs, in each
// group those of borrowers last, then by arrival.
func (r *scalingRun) waitingJobs() []*jobs.Job {
	var waiting []*jobs.Job
	for j := range r.jobs.Waiting {
		if !j.Suspect || r.now >= j.RetryAt {
			waiting = append(waiting, j)
		}
	}
	sort.Slice(waiting, func(i, k int) bool {
		a, b := waiting[i].Spec, waiting[k].Spec
		if isBatch := a.Shape == api.Batch; isBatch != (b.Shape == api.Batch) {
			return !isBatch
		}
		if isBorrower := r.teams.IsBorrower(a.Team); isBorrower != r.teams.IsBorrower(b.Team) {
			return !isBorrower
		}
		return waiting[i].Seq < waiting[k].Seq
	})
	return waiting
}

// eachOpenBatchJob visits the open batch jobs in a fixed order.
func (r *scalingRun) eachOpenBatchJob(visit func(*jobs.Job)) {
	for _, name := range slices.Sorted(maps.Keys(r.jobs.Teams)) {
		for _, j := range r.jobs.Teams[name].OpenJobs {
			if j.Spec.Shape == api.Batch {
				visit(j)
			}
		}
	}
}

// batchShortfall returns the CPUs that are missing for the waiting batch jobs to meet the first of
// their objectives, 0 if the existing and requested machines suffice. It estimates a backlog by its
// work, before any of its jobs is late.
func (r *scalingRun) batchShortfall() float64 {
	work, weightedTime := r.waitingBatchWork()
	if work == 0 {
		return 0
	}
	horizon := max(slackShare*weightedTime/work, r.longestBoot().Seconds())
	demand := r.addRunningBatchWork(work, horizon)
	return max(0, demand/horizon-r.batchSupply())
}

// batchSupply returns the CPUs that batch jobs use or could use, if they may use spot machines.
func (r *scalingRun) batchSupply() float64 {
	supply := 0.0
	for p, count := range r.capacity.machines {
		if model := r.machineType(p.model); p.spot && model != nil {
			supply += float64(count) * model.VCPUs
		} else {
			supply += r.capacity.freeVCPUs[p] + r.capacity.batchVCPUs[p]
		}
	}
	return supply
}

// waitingBatchWork returns the work of the batch jobs that wait, in CPU seconds, and the sum of the
// times left to their objectives, in seconds, each weighted by the work of its job. Jobs that can't
// meet their objective any more have the least urgency and don't count.
func (r *scalingRun) waitingBatchWork() (work, weightedTime float64) {
	r.eachOpenBatchJob(func(j *jobs.Job) {
		spec := j.Spec
		if !spec.Spot || j.PlaceableCount() == 0 || r.teams.IsBorrower(spec.Team) {
			return
		}
		jobWork := float64(min(j.PlaceableCount(), r.teams.RemainingTasks(spec))) * spec.VCPUs * spec.RuntimeS
		jobTimeLeft := (r.cfg.Objective(spec.Class) - r.now.Sub(j.SubmittedAt)).Seconds() - spec.RuntimeS
		if jobTimeLeft > 0 && jobWork > 0 {
			work += jobWork
			weightedTime += jobWork * jobTimeLeft
		}
	})
	return work, weightedTime
}

// addRunningBatchWork adds the remaining work of running batch tasks, up to a horizon in seconds, to
// an amount of work in CPU seconds. Tasks of borrowers don't count, since they are preempted.
func (r *scalingRun) addRunningBatchWork(work, horizon float64) float64 {
	r.eachOpenBatchJob(func(j *jobs.Job) {
		if j.AllocatedTasks == 0 || !j.Spec.Spot || r.teams.IsBorrower(j.Spec.Team) {
			return
		}
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if !t.State.Allocated() {
				continue
			}
			timeLeft := j.Spec.RuntimeS
			if t.RunningSince > 0 {
				timeLeft -= r.now.Sub(t.RunningSince).Seconds()
			}
			work += j.Spec.VCPUs * min(max(timeLeft, minTaskTimeLeft), horizon)
		}
	})
	return work
}

// machineType returns a machine type of the catalog, nil for an unknown one.
func (r *scalingRun) machineType(model string) *cloud.MachineType {
	for i := range r.catalog {
		if r.catalog[i].SKU == model {
			return &r.catalog[i]
		}
	}
	return nil
}

// longestBoot returns the longest boot time in the catalog.
func (r *scalingRun) longestBoot() time.Duration {
	boot := 0.0
	for i := range r.catalog {
		boot = max(boot, r.catalog[i].StartupS)
	}
	return settings.Seconds(boot)
}

// binConstraint restricts which machines are opened.
type binConstraint struct {
	zone      string   // only this zone, if set
	fullZones []string // none of these zones
	spotOnly  bool     // only spot machines
}

// open adds a machine to those to be provisioned, of the cheapest pool that a job and a constraint
// allow. It returns nil if there is none.
func (r *scalingRun) open(spec *api.Spec, constraint binConstraint) *bin {
	b := r.cheapestBin(spec, constraint)
	if b != nil {
		r.missing[b.pool]++
		r.capacity.addBooting(b)
	}
	return b
}

// cheapestBin returns a machine of the pool with the lowest price for a task. Between pools of
// equal prices it prefers the one with fewer machines.
func (r *scalingRun) cheapestBin(spec *api.Spec, constraint binConstraint) *bin {
	var best *bin
	cheapest, fewest := 0.0, 0
	r.eachAvailablePool(constraint, func(machineType *cloud.MachineType, p pool) {
		b := newBin(machineType, p)
		if !b.allows(spec) {
			return
		}
		price := hourlyPrice(machineType, p.spot) / float64(max(b.tasksPerMachine(spec), 1))
		count := r.capacity.machines[p]
		if best == nil || price < cheapest-priceTolerance || price < cheapest+priceTolerance && count < fewest {
			best, cheapest, fewest = b, price, count
		}
	})
	return best
}

// hourlyPrice returns the price of a machine for one hour.
func hourlyPrice(machineType *cloud.MachineType, spot bool) float64 {
	if spot {
		return machineType.SpotPrice
	}
	return machineType.HourlyPrice
}

// eachAvailablePool visits the pools that a constraint allows and that may have capacity, in a fixed
// order.
func (r *scalingRun) eachAvailablePool(constraint binConstraint, visit func(*cloud.MachineType, pool)) {
	eachPool(r.catalog, func(machineType *cloud.MachineType, p pool) {
		if constraint.zone != "" && constraint.zone != p.zone || slices.Contains(constraint.fullZones, p.zone) {
			return
		}
		if r.zones.partitioned[p.zone] || r.canariesExhausted(p.zone) {
			return
		}
		if (p.spot || !constraint.spotOnly) && r.provisioner.available(p, r.now) {
			visit(machineType, p)
		}
	})
}

// provisionMissing requests the missing machines, from each pool in turn, within the rate limit.
func (r *scalingRun) provisionMissing() {
	pools := sortedPools(r.missing)
	for again := true; again; {
		again = false
		for _, p := range pools {
			count := r.provisionLimit(p, min(r.missing[p], maxProvisionBatch))
			if count > 0 && r.provisioner.provision(p, count) {
				r.missing[p] -= count
				again = true
			}
		}
	}
}

// provisionLimit returns how many of a number of machines may be requested from a pool: in an
// unreachable zone, only canaries.
func (r *scalingRun) provisionLimit(p pool, count int) int {
	if r.zones.unreachable[p.zone] == nil {
		return count
	}
	return min(count, r.canariesLeft(p.zone))
}

// canariesExhausted reports whether a zone is unreachable and no more canaries are allowed in it.
func (r *scalingRun) canariesExhausted(zone string) bool {
	return r.zones.unreachable[zone] != nil && r.canariesLeft(zone) == 0
}

// canariesLeft returns how many more machines may be provisioned in a zone that is unreachable.
func (r *scalingRun) canariesLeft(zone string) int {
	count := r.provisioner.pendingIn(zone)
	since := r.zones.unreachable[zone].since
	for _, w := range r.machines.Sorted() {
		active := w.State == workers.Booting || w.State == workers.Up || w.State == workers.Unreachable
		if w.Zone == zone && active && w.CreatedAt > since {
			count++
		}
	}
	return max(0, maxCanaries-count)
}

// roundAmount rounds an amount of CPUs, so that decisions don't depend on the order of summation.
func roundAmount(x float64) float64 { return math.Round(x*amountSteps) / amountSteps }
