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

// autoscaler provisions and terminates machines according to the resources that jobs need.
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
	excessSince ident.MonotonicTime // since when there has been excess capacity; 0 if there is none
}

// run packs the tasks of waiting jobs onto the existing and requested machines, provisions machines for
// the tasks that do not fit, and scales in machines that are not needed.
func (a *autoscaler) run() {
	catalog := a.cfg.Catalog()
	if len(catalog) == 0 {
		return
	}
	run := a.newRun(catalog)
	run.packWaiting()
	headroom := run.targetHeadroom()
	for zone, cpus := range headroom.services {
		a.cfg.SetServiceHeadroom(zone, cpus)
	}
	run.openOnDemandHeadroom(headroom)
	run.openBatchHeadroom(headroom)
	run.requestMachines()
	run.scaleIn(headroom)
}

// scalingRun is one run of the autoscaler.
type scalingRun struct {
	*autoscaler
	now            ident.MonotonicTime
	catalog        []cloud.MachineType
	capacity       *capacityModel
	toProvision    map[pool]int // number of machines to be provisioned
	onDemandBudget float64      // CPUs of batch work for which on-demand machines may replace spot machines
	movesLeft      int          // number of replicas for which this run may still search a destination
}

// newRun returns a run that starts from the present capacity of the fleet.
func (a *autoscaler) newRun(catalog []cloud.MachineType) *scalingRun {
	run := &scalingRun{
		autoscaler:  a,
		now:         a.port.Now(),
		catalog:     catalog,
		toProvision: map[pool]int{},
		movesLeft:   maxMovesPerTick,
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
			continue // all tasks of a gang are placed together
		}
		newJobPacking(r, j, count).pack()
	}
}

// waitingJobs lists the jobs with tasks to be placed: first services and gangs, then batch jobs. In both
// groups jobs of borrowers come last; otherwise jobs are in the order of their arrival.
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

// machineType returns the machine type of the catalog with a SKU, or nil if there is none.
func (r *scalingRun) machineType(model string) *cloud.MachineType {
	for i := range r.catalog {
		if r.catalog[i].SKU == model {
			return &r.catalog[i]
		}
	}
	return nil
}

// longestBoot returns the longest boot time of all machine types in the catalog.
func (r *scalingRun) longestBoot() time.Duration {
	boot := 0.0
	for i := range r.catalog {
		boot = max(boot, r.catalog[i].StartupS)
	}
	return settings.Seconds(boot)
}

// amountSteps is the number of steps per CPU that roundAmount distinguishes.
const amountSteps = 1e6

// roundAmount rounds a sum of CPUs, so that decisions do not depend on the order in which floating-point
// numbers are added.
func roundAmount(x float64) float64 { return math.Round(x*amountSteps) / amountSteps }
