package jobs

import "opaldale/internal/ident"

// RecentJobs remembers something of each of the newest jobs that were put there, for as long
// as it has room.
type RecentJobs[V any] struct {
	capacity int
	values   map[ident.JobID]V
	order    []ident.JobID
}

// NewRecentJobs makes an empty one for so many jobs.
func NewRecentJobs[V any](capacity int) *RecentJobs[V] {
	return &RecentJobs[V]{capacity: capacity, values: map[ident.JobID]V{}}
}

// Put notes what is known of a job. One that is there keeps its place.
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

// Get returns what is known of a job.
func (r *RecentJobs[V]) Get(id ident.JobID) (V, bool) {
	v, ok := r.values[id]
	return v, ok
}
