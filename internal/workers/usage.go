package workers

import (
	"math"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/jobs"
)

// roundingStepsPerVCPU is the number of rounding steps per vCPU: sums by job shape are rounded to multiples of
// 1/roundingStepsPerVCPU vCPU.
const roundingStepsPerVCPU = 1e6

// Usage is the sum of the resources allocated to tasks on a machine.
type Usage struct {
	VCPUs, GPUs, MemoryGB float64
	BatchVCPUs            float64 // vCPUs allocated to tasks of batch jobs
	ServiceVCPUs          float64 // vCPUs allocated to tasks of services and gangs
	byPriority            taskCounts
}

func (u *Usage) add(s *api.Spec) {
	u.VCPUs += s.VCPUs
	u.GPUs += s.GPUs
	u.MemoryGB += s.MemoryGB
	u.addByShape(s.Shape, s.VCPUs)
	u.byPriority.add(s.Priority, 1)
}

func (u *Usage) remove(s *api.Spec) {
	u.VCPUs -= s.VCPUs
	u.GPUs -= s.GPUs
	u.MemoryGB -= s.MemoryGB
	u.addByShape(s.Shape, -s.VCPUs)
	u.byPriority.add(s.Priority, -1)
}

// addByShape adds vCPUs to the sum for a job shape. The sums are rounded so that they do not depend on the
// order in which tasks are added and removed.
func (u *Usage) addByShape(shape api.Shape, vcpus float64) {
	sum := &u.BatchVCPUs
	if shape != api.Batch {
		sum = &u.ServiceVCPUs
	}
	*sum = math.Round((*sum+vcpus)*roundingStepsPerVCPU) / roundingStepsPerVCPU
}

// clearAmounts resets the sums to zero when a machine is empty, to remove accumulated rounding errors.
func (u *Usage) clearAmounts() {
	u.VCPUs, u.GPUs, u.MemoryGB, u.BatchVCPUs, u.ServiceVCPUs = 0, 0, 0, 0, 0
}

// allocated returns the total resources allocated to tasks.
func (u *Usage) allocated() jobs.Resources {
	return jobs.Resources{VCPUs: u.VCPUs, GPUs: u.GPUs, MemoryGB: u.MemoryGB}
}

// taskCounts holds numbers of tasks by priority level.
type taskCounts [api.PriorityLevels]int

func (c *taskCounts) add(priority api.Priority, n int) { c[priority.Level()] += n }

// below returns the number of tasks with a lower priority.
func (c *taskCounts) below(priority api.Priority) int {
	n := 0
	for _, count := range c[priority.Level()+1:] {
		n += count
	}
	return n
}

// CapacityOf returns the total resources of a machine of the given type.
func CapacityOf(t *cloud.MachineType) jobs.Resources {
	return jobs.Resources{VCPUs: t.VCPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// LowerPriorityTasks returns the number of tasks with a lower priority that are allocated on the machine.
func (w *Worker) LowerPriorityTasks(priority api.Priority) int {
	return w.Usage.byPriority.below(priority)
}

// LowerPriorityTasks returns the number of tasks with a lower priority that are allocated on all machines.
func (tb *Table) LowerPriorityTasks(priority api.Priority) int {
	return tb.tasksByPriority.below(priority)
}

// Fits reports whether the machine has enough free resources for a task of the job.
func (w *Worker) Fits(s *api.Spec) bool { return w.HasCapacityFor(jobs.ResourcesOf(s)) }

// FitsEmpty reports whether a task of the job fits on an empty machine of the given type.
func FitsEmpty(machineType *cloud.MachineType, s *api.Spec) bool {
	return CapacityOf(machineType).Covers(jobs.ResourcesOf(s))
}

// HasCapacityFor reports whether the machine has the needed resources free, that is, neither allocated nor
// reserved.
func (w *Worker) HasCapacityFor(need jobs.Resources) bool {
	return w.Type != nil && w.Free().Covers(need)
}

// TaskCapacity returns how many tasks of a job fit into the machine's free resources, at most the number of
// tasks of the job.
func (w *Worker) TaskCapacity(s *api.Spec) int {
	if w.Type == nil {
		return 0
	}
	return max(0, min(s.Tasks, w.Free().TaskCapacity(s)))
}
