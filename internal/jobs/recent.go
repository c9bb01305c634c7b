package jobs

import "opaldale/internal/ident"

// RecentJobs holds a value for each of a bounded number of jobs: those that were added last.
type RecentJobs[V any] struct {
	capacity int
	values   map[ident.JobID]V
	order    []ident.JobID
}

// NewRecentJobs makes an empty collection for a number of jobs.
func NewRecentJobs[V any](capacity int) *RecentJobs[V] {
	return &RecentJobs[V]{capacity: capacity, values: map[ident.JobID]V{}}
}

// Put sets the value of a job. A job that is present keeps its place in the order.
func (r *RecentJobs[V]) Put(id ident.JobID, v V) {
	if _, ok := r.values[id]; !ok {
		r.order = append(r.order, id)
		if len(r.order) > r.capacity {
			delete(r.values, r.order[0])
			r.order = r.order[1:]
		}
	}
	r.values[id] = v
}

// Get returns the value of a job, and whether there is one.
func (r *RecentJobs[V]) Get(id ident.JobID) (V, bool) {
	v, ok := r.values[id]
	return v, ok
}
