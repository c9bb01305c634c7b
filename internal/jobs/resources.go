package jobs

import (
	"math"

	"opaldale/internal/api"
)

// Resources is what a task takes of its machine.
type Resources struct{ VCPUs, GPUs, MemoryGB float64 }

// ResourcesOf returns what a task of a job takes.
func ResourcesOf(s *api.Spec) Resources { return Resources{s.VCPUs, s.GPUs, s.MemoryGB} }

// UnboundedResources is where Least begins: more than anything takes.
func UnboundedResources() Resources { return Resources{math.Inf(1), math.Inf(1), math.Inf(1)} }

// LowerTo lowers each amount to what a task of the job needs.
func (n *Resources) LowerTo(s *api.Spec) {
	n.VCPUs, n.GPUs, n.MemoryGB = min(n.VCPUs, s.VCPUs), min(n.GPUs, s.GPUs), min(n.MemoryGB, s.MemoryGB)
}

// TaskCapacity returns how many tasks of a job find room in as much.
func (n Resources) TaskCapacity(s *api.Spec) int {
	capacity := math.MaxInt32
	for _, amounts := range [][2]float64{{n.VCPUs, s.VCPUs}, {n.GPUs, s.GPUs}, {n.MemoryGB, s.MemoryGB}} {
		if amounts[1] > 0 {
			capacity = min(capacity, int((amounts[0]+roundingTolerance)/amounts[1]))
		}
	}
	return capacity
}

// Sub returns the amounts less others.
func (n Resources) Sub(o Resources) Resources {
	return Resources{n.VCPUs - o.VCPUs, n.GPUs - o.GPUs, n.MemoryGB - o.MemoryGB}
}

// Add returns the amounts and others together.
func (n Resources) Add(o Resources) Resources {
	return Resources{n.VCPUs + o.VCPUs, n.GPUs + o.GPUs, n.MemoryGB + o.MemoryGB}
}

// Covers says whether something finds room in as much.
func (n Resources) Covers(o Resources) bool {
	return o.VCPUs <= n.VCPUs+roundingTolerance && o.GPUs <= n.GPUs+roundingTolerance && o.MemoryGB <= n.MemoryGB+roundingTolerance
}

// roundingTolerance forgives rounding in sums of amounts.
const roundingTolerance = 1e-6
