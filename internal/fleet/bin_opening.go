package fleet

import (
	"slices"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/workers"
)

const (
	// priceTolerance is the largest difference between two prices that count as equal.
	priceTolerance = 1e-9
	// maxCanaries bounds the number of machines provisioned in an unreachable zone. Whether these can
	// be reached shows whether the zone is usable again.
	maxCanaries = 2
)

// binConstraint restricts the pools in which open may add a machine.
type binConstraint struct {
	zone      string   // if set, only this zone is allowed
	fullZones []string // these zones are not allowed
	spotOnly  bool     // only spot machines are allowed
}

// open schedules one more machine for provisioning, from the cheapest pool that a job and a constraint
// allow, and returns the bin of that machine. It returns nil if no pool is allowed and available.
func (r *scalingRun) open(spec *api.Spec, constraint binConstraint) *bin {
	b := r.cheapestBin(spec, constraint)
	if b != nil {
		r.toProvision[b.pool]++
		r.capacity.addBooting(b)
	}
	return b
}

// cheapestBin returns a bin with one machine of the pool that has the lowest price per task. Among pools
// of equal price it prefers the one with the fewest machines.
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

// hourlyPrice returns the spot or the on-demand price of a machine type for one hour.
func hourlyPrice(machineType *cloud.MachineType, spot bool) float64 {
	if spot {
		return machineType.SpotPrice
	}
	return machineType.HourlyPrice
}

// eachAvailablePool calls visit for the pools that a constraint allows and that may have capacity, in a
// fixed order.
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

// requestMachines requests the machines to be provisioned from the provider, in batches from each pool in turn,
// until all are requested or the rate limit is reached.
func (r *scalingRun) requestMachines() {
	pools := sortedPools(r.toProvision)
	for again := true; again; {
		again = false
		for _, p := range pools {
			count := r.provisionLimit(p, min(r.toProvision[p], maxProvisionBatch))
			if count > 0 && r.provisioner.provision(p, count) {
				r.toProvision[p] -= count
				again = true
			}
		}
	}
}

// provisionLimit returns how many of count machines may be requested from a pool now. In an unreachable
// zone, only canaries may be requested.
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

// canariesLeft returns how many more machines may be provisioned in an unreachable zone.
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
