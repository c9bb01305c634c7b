package workers

import (
	"math"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/jobs"
)

// usageRounding is the number of steps per vCPU to which sums by shape are rounded.
const usageRounding = 1e6

// Usage is the sum of the resources that the tasks of a machine take.
type Usage struct {
	VCPUs, GPUs, MemoryGB float64
	BatchVCPUs            float64 // vCPUs of tasks of batch jobs
	ServiceVCPUs          float64 // vCPUs of all other tasks; gangs count as services
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

// addByShape adds to the sum of a shape. The sums are rounded, so that they do not depend on the
// order in which tasks are added and removed.
func (u *Usage) addByShape(shape api.Shape, vcpus float64) {
	sum := &u.BatchVCPUs
	if shape != api.Batch {
		sum = &u.ServiceVCPUs
	}
	*sum = math.Round((*sum+vcpus)*usageRounding) / usageRounding
}

// clearAmounts drops the rounding errors that are left once a machine is empty.
func (u *Usage) clearAmounts() {
	u.VCPUs, u.GPUs, u.MemoryGB, u.BatchVCPUs, u.ServiceVCPUs = 0, 0, 0, 0, 0
}

// allocated returns the amounts of all tasks together.
func (u *Usage) allocated() jobs.Resources {
	return jobs.Resources{VCPUs: u.VCPUs, GPUs: u.GPUs, MemoryGB: u.MemoryGB}
}

// taskCounts holds numbers of tasks by the level of their priority.
type taskCounts [api.PriorityLevels]int

func (c *taskCounts) add(priority api.Priority, n int) { c[priority.Level()] += n }

// below returns the number of tasks of lower priorities.
func (c *taskCounts) below(priority api.Priority) int {
	n := 0
	for _, count := range c[priority.Level()+1:] {
		n += count
	}
	return n
}

// capacityOf returns what an empty machine of a type has.
func capacityOf(t *cloud.MachineType) jobs.Resources {
	return jobs.Resources{VCPUs: t.VCPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// LowerPriorityTasks returns how many tasks of a lower priority are allocated on the machine.
func (w *Worker) LowerPriorityTasks(priority api.Priority) int {
	return w.Usage.byPriority.below(priority)
}

// LowerPriorityTasks returns how many tasks of a lower priority are allocated on any machine.
func (tb *Table) LowerPriorityTasks(priority api.Priority) int {
	return tb.tasksByPriority.below(priority)
}

// Fits reports whether a task of the job has room on the machine now.
func (w *Worker) Fits(s *api.Spec) bool { return w.HasRoom(jobs.ResourcesOf(s)) }

// FitsEmpty reports whether a task of the job has room on an empty machine of a type.
func FitsEmpty(machineType *cloud.MachineType, s *api.Spec) bool {
	return capacityOf(machineType).Covers(jobs.ResourcesOf(s))
}

// HasRoom reports whether the resources are free on the machine and not reserved.
func (w *Worker) HasRoom(need jobs.Resources) bool { return w.Type != nil && w.Free().Covers(need) }

// TaskCapacity returns how many tasks of a job have room on the machine now.
func (w *Worker) TaskCapacity(s *api.Spec) int {
	if w.Type == nil {
		return 0
	}
	return max(0, min(s.Tasks, w.Free().TaskCapacity(s)))
}
