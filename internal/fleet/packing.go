package fleet

import (
	"maps"

	"opaldale/internal/jobs"
)

// jobPacking packs the waiting tasks of one job.
type jobPacking struct {
	*scalingRun
	job         *jobs.Job
	remaining   int // tasks that are not packed yet
	constraint  binConstraint
	tasksByZone map[string]int // tasks allocated or packed
	maxPerZone  int            // bound on them
}

func newJobPacking(run *scalingRun, job *jobs.Job, remaining int) *jobPacking {
	x := &jobPacking{
		scalingRun:  run,
		job:         job,
		remaining:   remaining,
		tasksByZone: maps.Clone(job.AllocatedByZone),
		maxPerZone:  job.Spec.Tasks,
	}
	if job.Spec.Spread {
		x.maxPerZone = (job.Spec.Tasks + 1) / 2
	}
	if x.tasksByZone == nil {
		x.tasksByZone = map[string]int{}
	}
	x.constraint.zone = run.capacity.chooseZone(job.Spec, x.tasksByZone)
	return x
}

// pack finds room for the tasks, and opens machines for those that find none.
func (x *jobPacking) pack() {
	x.packExisting()
	for x.remaining > 0 {
		b := x.openBin()
		if b == nil {
			return
		}
		before := x.remaining
		x.packBin(b)
		if x.remaining == before {
			return
		}
	}
}

// packExisting packs tasks onto the machines that are there or coming.
func (x *jobPacking) packExisting() {
	bins := &x.capacity.bins
	for tier := range bins {
		kept := bins[tier][:0]
		for i := 0; i < len(bins[tier]); i++ { // what is left of a bin is added behind it
			b := bins[tier][i]
			if x.remaining > 0 {
				x.packBin(b)
			}
			if b.machines > 0 {
				kept = append(kept, b)
			}
		}
		bins[tier] = kept
	}
}

// packBin packs as many tasks into a bin as are allowed there.
func (x *jobPacking) packBin(b *bin) {
	spec := x.job.Spec
	if !b.allows(spec) || x.constraint.zone != "" && x.constraint.zone != b.pool.zone {
		return
	}
	count := x.remaining
	if spec.Spread {
		count = min(count, x.maxPerZone-x.tasksByZone[b.pool.zone])
	}
	if count <= 0 {
		return
	}
	count, uncordoned := x.capacity.allocate(b, spec, count)
	for _, w := range uncordoned {
		x.machines.Uncordon(w)
	}
	x.tasksByZone[b.pool.zone] += count
	x.remaining -= count
}

// openBin opens one more machine, nil if there is none to be provisioned.
func (x *jobPacking) openBin() *bin {
	spec := x.job.Spec
	if spec.Spread {
		x.constraint.fullZones = x.fullZones()
	}
	preferSpot := spec.Spot && x.now.Sub(x.job.SubmittedAt) < spotPatience*x.longestBoot()
	x.constraint.spotOnly = x.spotOnly(preferSpot)
	b := x.open(spec, x.constraint)
	if b == nil && x.mayChangeZone() {
		x.constraint.zone, x.remaining = "", spec.Tasks
		b = x.open(spec, x.constraint)
	}
	if b == nil {
		return nil
	}
	if spec.OneZone {
		x.constraint.zone = b.pool.zone // the other tasks must be where the first is
	}
	if preferSpot && !b.pool.spot {
		x.onDemandBudget -= b.free.VCPUs
	}
	return b
}

// spotOnly says whether no on-demand machine may be opened. One costs several times as much as a spot
// machine, and a pool of spot machines without capacity mostly has some a little later. For
// borrowers on-demand machines are not provisioned at all: they use what others leave.
func (x *jobPacking) spotOnly(preferSpot bool) bool {
	return preferSpot && x.onDemandBudget <= 0 || x.job.Spec.Spot && x.teams.IsBorrower(x.job.Spec.Team)
}

// mayChangeZone says whether a gang that must be in one zone may be packed in another one than was
// chosen for it, all of it.
func (x *jobPacking) mayChangeZone() bool {
	return x.job.IsGang() && x.job.Spec.OneZone && x.job.AllocatedTasks == 0 && x.constraint.zone != ""
}

// fullZones lists the zones that have as many tasks of a job as they may.
func (x *jobPacking) fullZones() []string {
	var full []string
	for zone, count := range x.tasksByZone {
		if count >= x.maxPerZone {
			full = append(full, zone)
		}
	}
	return full
}
