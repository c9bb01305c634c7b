package fleet

import (
	"maps"

	"opaldale/internal/jobs"
	"opaldale/internal/placement"
)

// spotPatience, in boot times, is how long work that may use spot machines waits for one before an
// on-demand machine is provisioned for it.
const spotPatience = 2

// jobPacking packs the waiting tasks of one job.
type jobPacking struct {
	*scalingRun
	job         *jobs.Job
	remaining   int // tasks that are not packed yet
	constraint  binConstraint
	tasksByZone map[string]int // tasks allocated or packed
	maxPerZone  int            // bound on tasksByZone
}

// newJobPacking prepares the packing of a number of a job's waiting tasks.
func newJobPacking(run *scalingRun, job *jobs.Job, remaining int) *jobPacking {
	p := &jobPacking{
		scalingRun:  run,
		job:         job,
		remaining:   remaining,
		tasksByZone: maps.Clone(job.AllocatedByZone),
		maxPerZone:  job.Spec.Tasks,
	}
	if job.Spec.Spread {
		p.maxPerZone = placement.MaxTasksPerZone(job.Spec)
	}
	if p.tasksByZone == nil {
		p.tasksByZone = map[string]int{}
	}
	p.constraint.zone = run.capacity.chooseZone(job.Spec, p.tasksByZone)
	return p
}

// pack packs the tasks onto existing and requested machines, and opens machines for the rest.
func (p *jobPacking) pack() {
	p.packExisting()
	for p.remaining > 0 {
		b := p.openBin()
		if b == nil {
			return
		}
		before := p.remaining
		p.packBin(b)
		if p.remaining == before {
			return
		}
	}
}

// packExisting packs tasks onto the existing and requested machines, tier by tier.
func (p *jobPacking) packExisting() {
	bins := &p.capacity.bins
	for tier := range bins {
		kept := bins[tier][:0]
		for i := 0; i < len(bins[tier]); i++ { // packBin may append the rest of a bin
			b := bins[tier][i]
			if p.remaining > 0 {
				p.packBin(b)
			}
			if b.machines > 0 {
				kept = append(kept, b)
			}
		}
		bins[tier] = kept
	}
}

// packBin packs as many tasks into a bin as are allowed there.
func (p *jobPacking) packBin(b *bin) {
	spec := p.job.Spec
	if !b.allows(spec) || p.constraint.zone != "" && p.constraint.zone != b.pool.zone {
		return
	}
	count := p.remaining
	if spec.Spread {
		count = min(count, p.maxPerZone-p.tasksByZone[b.pool.zone])
	}
	if count <= 0 {
		return
	}
	count, uncordoned := p.capacity.allocate(b, spec, count)
	for _, w := range uncordoned {
		p.machines.Uncordon(w)
	}
	p.tasksByZone[b.pool.zone] += count
	p.remaining -= count
}

// openBin opens one more machine. It returns nil if no pool has one.
func (p *jobPacking) openBin() *bin {
	spec := p.job.Spec
	if spec.Spread {
		p.constraint.fullZones = p.fullZones()
	}
	preferSpot := spec.Spot && p.now.Sub(p.job.SubmittedAt) < spotPatience*p.longestBoot()
	p.constraint.spotOnly = p.spotOnly(preferSpot)
	b := p.open(spec, p.constraint)
	if b == nil && p.mayChangeZone() {
		p.constraint.zone, p.remaining = "", spec.Tasks
		b = p.open(spec, p.constraint)
	}
	if b == nil {
		return nil
	}
	if spec.OneZone {
		p.constraint.zone = b.pool.zone // the other tasks must be where the first is
	}
	if preferSpot && !b.pool.spot {
		p.onDemandBudget -= b.free.VCPUs
	}
	return b
}

// spotOnly reports whether no on-demand machine may be opened. On-demand machines cost several times as
// much as spot machines, and a spot pool without capacity mostly has some again soon. For borrowers
// no on-demand machine is provisioned, since they use idle capacity only.
func (p *jobPacking) spotOnly(preferSpot bool) bool {
	return preferSpot && p.onDemandBudget <= 0 || p.job.Spec.Spot && p.teams.IsBorrower(p.job.Spec.Team)
}

// mayChangeZone reports whether a one-zone gang may be packed anew in another zone than the one chosen.
func (p *jobPacking) mayChangeZone() bool {
	return p.job.IsGang() && p.job.Spec.OneZone && p.job.AllocatedTasks == 0 && p.constraint.zone != ""
}

// fullZones lists the zones that have reached maxPerZone.
func (p *jobPacking) fullZones() []string {
	var full []string
	for zone, count := range p.tasksByZone {
		if count >= p.maxPerZone {
			full = append(full, zone)
		}
	}
	return full
}
