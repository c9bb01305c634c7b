package fleet

import (
	"maps"

	"opaldale/internal/jobs"
	"opaldale/internal/placement"
)

// spotWaitBootTimes is how long a job that may use spot machines waits for one before an on-demand machine
// is provisioned for it, as a multiple of the longest boot time.
const spotWaitBootTimes = 2

// jobPacking packs the waiting tasks of one job onto machines.
type jobPacking struct {
	*scalingRun
	job         *jobs.Job
	remaining   int // number of tasks that are not packed yet
	constraint  binConstraint
	tasksByZone map[string]int // number of tasks allocated or packed in each zone
	maxPerZone  int            // upper limit on the tasks in a zone
}

// newJobPacking prepares to pack a number of waiting tasks of a job.
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
	p.constraint.zone = run.capacity.chooseZone(job, p.tasksByZone)
	return p
}

// pack packs the tasks onto existing and requested machines, and schedules new machines for those that
// do not fit.
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

// packExisting packs tasks onto the existing and requested machines, in the order of their tiers.
func (p *jobPacking) packExisting() {
	bins := &p.capacity.bins
	for tier := range bins {
		kept := bins[tier][:0]
		for i := 0; i < len(bins[tier]); i++ { // packBin may append bins that it splits off
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

// packBin packs as many of the remaining tasks into a bin as fit and are allowed there.
func (p *jobPacking) packBin(b *bin) {
	spec := p.job.Spec
	if !b.admits(p.job) || p.constraint.zone != "" && p.constraint.zone != b.pool.zone {
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

// openBin schedules one more machine for provisioning, and returns its bin. It returns nil if no pool is
// allowed and available.
func (p *jobPacking) openBin() *bin {
	spec := p.job.Spec
	if spec.Spread {
		p.constraint.fullZones = p.fullZones()
	}
	preferSpot := spec.Spot && p.now.Sub(p.job.SubmittedAt) < spotWaitBootTimes*p.longestBoot()
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
		p.constraint.zone = b.pool.zone // all other tasks must be in the same zone
	}
	if preferSpot && !b.pool.spot {
		p.onDemandBudget -= b.free.VCPUs
	}
	return b
}

// spotOnly reports whether only spot machines may be provisioned for the job. On-demand machines cost
// several times as much, and a spot pool that has run out of capacity usually has some again soon. For a
// borrower's job that may use spot machines, no on-demand machine is ever provisioned.
func (p *jobPacking) spotOnly(preferSpot bool) bool {
	return preferSpot && p.onDemandBudget <= 0 || p.job.Spec.Spot && p.teams.IsBorrower(p.job.Spec.Team)
}

// mayChangeZone reports whether all tasks of a one-zone gang may be packed again, in a zone other than
// that of the present constraint.
func (p *jobPacking) mayChangeZone() bool {
	return p.job.IsGang() && p.job.Spec.OneZone && p.job.AllocatedTasks == 0 && p.constraint.zone != ""
}

// fullZones lists the zones whose number of tasks has reached maxPerZone.
func (p *jobPacking) fullZones() []string {
	var full []string
	for zone, count := range p.tasksByZone {
		if count >= p.maxPerZone {
			full = append(full, zone)
		}
	}
	return full
}
