package fleet

import (
	"maps"
	"math"
	"slices"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
)

const (
	// arrivalMargin multiplies the CPUs of the jobs expected to arrive while a machine boots.
	arrivalMargin = 1.3
	// maxHeadroomBins bounds the machines that a run adds for on-demand headroom in each zone, and for
	// batch headroom.
	maxHeadroomBins = 8
)

// headroom is the free capacity that the fleet should have, in CPUs.
type headroom struct {
	services map[string]float64 // by zone, for services and gangs; not available to batch jobs
	onDemand map[string]float64 // by zone, on on-demand machines; batch jobs may use it until services need it
	batch    float64            // on all machines, for batch jobs
}

// servicesTotal returns the headroom for services in all zones.
func (h *headroom) servicesTotal() float64 {
	sum := 0.0
	for _, cpus := range h.services {
		sum += cpus
	}
	return roundAmount(sum)
}

// targetHeadroom returns the headroom that the fleet should have: for the jobs that are expected to arrive
// while a machine boots, and for the replicas of a rack that fails, which must restart without waiting
// for a machine to boot.
func (r *scalingRun) targetHeadroom() *headroom {
	h := &headroom{services: map[string]float64{}, onDemand: map[string]float64{}}
	for i := range r.catalog {
		for _, zone := range r.catalog[i].Zones {
			h.services[zone] = 0
		}
	}
	if !r.arrivals.ceased(r.now) {
		r.addExpectedArrivals(h)
	}
	for zone, cpus := range h.services {
		replicas := r.cfg.Tuning.ServiceSpareFraction * r.capacity.replicaVCPUs[zone]
		h.onDemand[zone] = roundAmount(cpus + floorToMachines(r.catalog, zone, replicas))
	}
	return h
}

// addExpectedArrivals sets the headroom for expected jobs. For services and gangs it is the CPUs expected to
// arrive while a machine boots plus those of the largest recent job, for batch jobs the CPUs of a mean job.
func (r *scalingRun) addExpectedArrivals(h *headroom) {
	factor := r.cfg.Tuning.Headroom
	if len(r.arrivals.services.times) > 0 {
		rate, _, largest := r.arrivals.services.rate(r.now, r.arrivals.historyStart)
		boot := r.longestBoot().Seconds()
		for zone := range h.services {
			h.services[zone] = factor * (rate*boot*arrivalMargin + largest) / float64(len(h.services))
		}
	}
	if len(r.arrivals.batch.times) > 0 {
		_, mean, _ := r.arrivals.batch.rate(r.now, r.arrivals.historyStart)
		h.batch = factor * mean
	}
}

// floorToMachines rounds CPUs down to a multiple of the largest machine type of a zone, so that a small
// fleet does not keep a whole spare machine when a fraction of one is required.
func floorToMachines(catalog []cloud.MachineType, zone string, cpus float64) float64 {
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

// openOnDemandHeadroom adds on-demand machines until each zone has its headroom.
//
// CPUs of on-demand machines that batch jobs use count as free: no further batch tasks are placed in the
// headroom for services, so it becomes free again as tasks end. If further machines replaced it, batch
// jobs would use those as well, and the on-demand fleet would grow without any demand from services.
func (r *scalingRun) openOnDemandHeadroom(h *headroom) {
	free := r.capacity.onDemandByZone()
	for _, zone := range slices.Sorted(maps.Keys(h.onDemand)) {
		for n := 0; n < maxHeadroomBins && free[zone] < h.onDemand[zone]; n++ {
			b := r.open(&api.Spec{Shape: api.Service, Tasks: 1, Zone: &zone}, binConstraint{zone: zone})
			if b == nil {
				break
			}
			free[zone] += b.free.VCPUs
		}
	}
}

// openBatchHeadroom adds spot machines until there is enough headroom for batch jobs. On-demand machines
// are never provisioned for batch jobs that have not arrived yet.
func (r *scalingRun) openBatchHeadroom(h *headroom) {
	free := roundAmount(r.capacity.totalFree() - h.servicesTotal())
	for n := 0; n < maxHeadroomBins && free < h.batch; n++ {
		b := r.open(&api.Spec{Shape: api.Batch, Tasks: 1, Spot: true}, binConstraint{spotOnly: true})
		if b == nil {
			return
		}
		free += b.free.VCPUs
	}
}
