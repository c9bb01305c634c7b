package jobs

import (
	"math"

	"opaldale/internal/api"
)

// Resources holds amounts of the resources that a task requests or that a machine has.
type Resources struct{ VCPUs, GPUs, MemoryGB float64 }

// roundingTolerance is how much a request may exceed the available amount of a resource, in units of that
// resource, because sums of amounts have rounding errors.
const roundingTolerance = 1e-6

// ResourcesOf returns the resources that one task of the job requests.
func ResourcesOf(s *api.Spec) Resources { return Resources{s.VCPUs, s.GPUs, s.MemoryGB} }

// UnboundedResources returns infinite resources, the initial value for finding a minimum with LowerTo.
func UnboundedResources() Resources { return Resources{math.Inf(1), math.Inf(1), math.Inf(1)} }

// LowerTo lowers each amount to the request of a task of the job if that is lower.
func (r *Resources) LowerTo(s *api.Spec) {
	r.VCPUs = min(r.VCPUs, s.VCPUs)
	r.GPUs = min(r.GPUs, s.GPUs)
	r.MemoryGB = min(r.MemoryGB, s.MemoryGB)
}

// TaskCapacity returns how many tasks of the job fit into the resources.
func (r Resources) TaskCapacity(s *api.Spec) int {
	capacity := math.MaxInt32
	for _, amounts := range []struct{ free, needed float64 }{{r.VCPUs, s.VCPUs}, {r.GPUs, s.GPUs}, {r.MemoryGB, s.MemoryGB}} {
		if amounts.needed > 0 {
			capacity = min(capacity, int((amounts.free+roundingTolerance)/amounts.needed))
		}
	}
	return capacity
}

// Add returns the sum of two sets of resources.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.VCPUs + o.VCPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Sub returns the resources less those in o. Amounts may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.VCPUs - o.VCPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Times returns the resources multiplied by a count, for example the total request of equal tasks.
func (r Resources) Times(count int) Resources {
	n := float64(count)
	return Resources{VCPUs: n * r.VCPUs, GPUs: n * r.GPUs, MemoryGB: n * r.MemoryGB}
}

// Covers reports whether the resources are sufficient for those in o.
func (r Resources) Covers(o Resources) bool {
	return o.VCPUs <= r.VCPUs+roundingTolerance &&
		o.GPUs <= r.GPUs+roundingTolerance &&
		o.MemoryGB <= r.MemoryGB+roundingTolerance
}
