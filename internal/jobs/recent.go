package jobs

import "opaldale/internal/ident"

// RecentJobs maps job IDs to values and keeps a bounded number of jobs. When it is full, adding a job
// evicts the one that was added first.
type RecentJobs[V any] struct {
	capacity int
	values   map[ident.JobID]V
	order    []ident.JobID
}

// NewRecentJobs returns an empty collection that keeps up to capacity jobs.
func NewRecentJobs[V any](capacity int) *RecentJobs[V] {
	return &RecentJobs[V]{capacity: capacity, values: map[ident.JobID]V{}}
}

// Put sets the value of a job. Updating a job that is present does not change when it is evicted.
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
