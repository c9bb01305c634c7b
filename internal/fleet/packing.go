package fleet

import (
	"maps"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// jobPacking is the search of room for the tasks of one job that wait.
type jobPacking struct {
	capacity       *capacityModel
	job            *jobs.Job
	remaining      int      // tasks without room
	onDemandBudget *float64 // CPUs for which ordinary machines may be rented in place of spot ones
	openBin        func(*api.Spec, binConstraint) *bin
	now            ident.MonotonicTime

	constraint  binConstraint
	tasksByZone map[string]int // tasks in each
	maxPerZone  int            // of them in one zone
}

// packJob finds room for a job's tasks, and opens machines for what finds none.
func (m *Manager) packJob(packing *jobPacking) {
	spec := packing.job.Spec
	packing.maxPerZone = spec.Tasks
	if spec.Spread {
		packing.maxPerZone = (spec.Tasks + 1) / 2
	}
	packing.tasksByZone = maps.Clone(packing.job.AllocatedByZone)
	if packing.tasksByZone == nil {
		packing.tasksByZone = map[string]int{}
	}
	packing.constraint = binConstraint{zone: packing.capacity.chooseZone(spec, packing.tasksByZone)}
	m.packExisting(packing)
	for packing.remaining > 0 {
		b := m.openBinFor(packing)
		if b == nil {
			return
		}
		before := packing.remaining
		if m.packBin(packing, b); packing.remaining == before {
			return
		}
	}
}

// packBin takes room in a bin for as many tasks as may be there.
func (m *Manager) packBin(packing *jobPacking, b *bin) {
	spec := packing.job.Spec
	if !b.allows(spec) || packing.constraint.zone != "" && packing.constraint.zone != b.pool.zone {
		return
	}
	count := packing.remaining
	if spec.Spread {
		count = min(count, packing.maxPerZone-packing.tasksByZone[b.pool.zone])
	}
	if count <= 0 {
		return
	}
	count, uncordoned := packing.capacity.allocate(b, spec, count)
	for _, w := range uncordoned {
		m.machines.Uncordon(w)
	}
	packing.tasksByZone[b.pool.zone] += count
	packing.remaining -= count
}

// packExisting takes room in what there is and is coming.
func (m *Manager) packExisting(packing *jobPacking) {
	bins := &packing.capacity.bins
	for tier := range bins {
		kept := bins[tier][:0]
		for i := 0; i < len(bins[tier]); i++ { // what is left of a bin is added behind it
			b := bins[tier][i]
			if packing.remaining > 0 {
				m.packBin(packing, b)
			}
			if b.machines > 0 {
				kept = append(kept, b)
			}
		}
		bins[tier] = kept
	}
}

// openBinFor opens one machine more for a job, nil if none is to be had.
func (m *Manager) openBinFor(packing *jobPacking) *bin {
	spec := packing.job.Spec
	if spec.Spread {
		packing.constraint.fullZones = packing.fullZones()
	}
	preferSpot := spec.Spot && packing.now.Sub(packing.job.SubmittedAt) < spotPatience*m.longestBoot()
	// An ordinary machine costs several times as much, and spot ones that are
	// refused now are mostly to be had a little later.
	// For work of guests no ordinary machine is rented at all: it is for what is to spare.
	// (They doubled the ordinary fleet, and the price.)
	packing.constraint.spotOnly = preferSpot && *packing.onDemandBudget <= 0 || spec.Spot && m.teams.IsBorrower(spec.Team)
	b := packing.openBin(spec, packing.constraint)
	if b == nil && packing.job.IsGang() && spec.OneZone && packing.job.AllocatedTasks == 0 && packing.constraint.zone != "" {
		// Nothing is to be had there: perhaps it is elsewhere, for all of them.
		packing.constraint.zone, packing.remaining = "", spec.Tasks
		b = packing.openBin(spec, packing.constraint)
	}
	if b == nil {
		return nil
	}
	if spec.OneZone {
		// Where the first machine is, the others have to be. (Without room anywhere
		// they were opened in both zones in turn.)
		packing.constraint.zone = b.pool.zone
	}
	if preferSpot && !b.pool.spot {
		*packing.onDemandBudget -= b.freeVCPUs
	}
	return b
}

// fullZones lists the zones that have as many of a job's tasks as they may.
func (x *jobPacking) fullZones() []string {
	var full []string
	for z, count := range x.tasksByZone {
		if count >= x.maxPerZone {
			full = append(full, z)
		}
	}
	return full
}
