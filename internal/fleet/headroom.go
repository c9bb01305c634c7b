package fleet

import (
	"maps"
	"math"
	"slices"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
)

const (
	// arrivalMargin is by how much more than the expected arrivals of a boot time is kept free.
	arrivalMargin = 1.3
	// maxHeadroomBins bounds the machines opened for headroom at a time.
	maxHeadroomBins = 8
)

// headroom is the capacity to be kept free, in CPUs.
type headroom struct {
	services map[string]float64 // by zone, that batch jobs must leave to services and gangs
	onDemand map[string]float64 // by zone, of on-demand machines, which batch jobs may use meanwhile
	batch    float64            // of all machines, for batch jobs
}

// servicesTotal returns what is kept free for services in all zones.
func (h *headroom) servicesTotal() float64 {
	sum := 0.0
	for _, cpus := range h.services {
		sum += cpus
	}
	return roundAmount(sum)
}

// targetHeadroom returns the capacity to be kept free: for the jobs expected while a machine boots,
// and for the replicas of a rack that fails, which need at once what takes a boot to provision.
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

// addExpectedArrivals adds the capacity for the jobs expected while a machine boots.
func (r *scalingRun) addExpectedArrivals(h *headroom) {
	factor := r.cfg.Tuning.Headroom
	if len(r.arrivals.services.times) > 0 {
		rate, _, largest := r.arrivals.services.rate(r.now, r.arrivals.since)
		boot := r.longestBoot().Seconds()
		for zone := range h.services {
			h.services[zone] = factor * (rate*boot*arrivalMargin + largest) / float64(len(h.services))
		}
	}
	if len(r.arrivals.batch.times) > 0 {
		_, mean, _ := r.arrivals.batch.rate(r.now, r.arrivals.since)
		h.batch = factor * mean
	}
}

// floorToMachines rounds CPUs down to whole machines of a zone: in a small fleet the part that may be
// lost is less than one, and a further machine would be kept for it.
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

// openOnDemandHeadroom opens on-demand machines until the headroom of each zone is there.
//
// What batch jobs use of on-demand machines counts as free: they leave the headroom of services
// alone, so that it is regained as they end. Replacing it by further machines, which batch jobs
// would use in turn, would grow the on-demand fleet without services.
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

// openBatchHeadroom opens spot machines until the headroom of batch jobs is there. No on-demand
// machine is provisioned for jobs that are only expected.
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
