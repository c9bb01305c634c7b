package jobs

import (
	"math"

	"opaldale/internal/api"
)

// Resources is what a task takes of a machine, or what a machine has.
type Resources struct{ VCPUs, GPUs, MemoryGB float64 }

// roundingTolerance is how much more than there is may be taken of each resource: sums of amounts
// have rounding errors.
const roundingTolerance = 1e-6

// ResourcesOf returns what a task of a job takes.
func ResourcesOf(s *api.Spec) Resources { return Resources{s.VCPUs, s.GPUs, s.MemoryGB} }

// UnboundedResources returns more than any task takes, from which LowerTo finds a minimum.
func UnboundedResources() Resources { return Resources{math.Inf(1), math.Inf(1), math.Inf(1)} }

// LowerTo lowers each amount to what a task of the job takes, if that is less.
func (r *Resources) LowerTo(s *api.Spec) {
	r.VCPUs = min(r.VCPUs, s.VCPUs)
	r.GPUs = min(r.GPUs, s.GPUs)
	r.MemoryGB = min(r.MemoryGB, s.MemoryGB)
}

// TaskCapacity returns how many tasks of a job have room in the amounts.
func (r Resources) TaskCapacity(s *api.Spec) int {
	capacity := math.MaxInt32
	for _, amounts := range []struct{ free, needed float64 }{{r.VCPUs, s.VCPUs}, {r.GPUs, s.GPUs}, {r.MemoryGB, s.MemoryGB}} {
		if amounts.needed > 0 {
			capacity = min(capacity, int((amounts.free+roundingTolerance)/amounts.needed))
		}
	}
	return capacity
}

// Add returns the sum of amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.VCPUs + o.VCPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Sub returns the difference of amounts.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.VCPUs - o.VCPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Times returns the amounts multiplied by a count, such as what a number of equal tasks takes.
func (r Resources) Times(count int) Resources {
	n := float64(count)
	return Resources{VCPUs: n * r.VCPUs, GPUs: n * r.GPUs, MemoryGB: n * r.MemoryGB}
}

// Covers reports whether other amounts have room in these.
func (r Resources) Covers(o Resources) bool {
	return o.VCPUs <= r.VCPUs+roundingTolerance &&
		o.GPUs <= r.GPUs+roundingTolerance &&
		o.MemoryGB <= r.MemoryGB+roundingTolerance
}
