package jobs

import "opaldale/internal/api"

// jobBytes is an estimate of the memory that a job takes, without its tasks and the texts in its specification.
const jobBytes = 2 << 10

// MemoryBytes estimates the memory that all jobs take which are not archived.
func (tb *Table) MemoryBytes() int {
	bytes := 0
	for _, j := range tb.Jobs {
		bytes += specBytes(j.Spec) + taskListBytes(j.Tasks.count, j.Tasks.size)
	}
	return bytes
}

// NewJobBytes estimates the memory that a new job takes before any of its tasks is placed.
func NewJobBytes(s *api.Spec) int { return specBytes(s) + taskListBytes(s.Tasks, 0) }

// specBytes estimates the memory that a job takes without its tasks.
func specBytes(s *api.Spec) int {
	bytes := jobBytes + len(s.ID) + len(s.Class) + len(s.Team) + len(s.Image)
	for _, model := range s.Models {
		bytes += len(model)
	}
	return bytes
}
