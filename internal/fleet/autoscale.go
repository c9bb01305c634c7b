package fleet

import (
	"math"
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

// amountSteps is the number of steps per CPU that roundAmount distinguishes.
const amountSteps = 1e6

// roundAmount rounds an amount of CPUs, so that decisions don't depend on the order of summation.
func roundAmount(x float64) float64 { return math.Round(x*amountSteps) / amountSteps }
