package jobs

import "opaldale/internal/ident"

// Recent remembers something of each of the newest jobs that were put there, for as long
// as it has room.
type Recent[V any] struct {
	most  int
	of    map[ident.JobID]V
	order []ident.JobID
}

// NewRecent makes an empty one for so many jobs.
func NewRecent[V any](most int) *Recent[V] { return &Recent[V]{most: most, of: map[ident.JobID]V{}} }

// Put notes what is known of a job. One that is there keeps its place.
func (r *Recent[V]) Put(id ident.JobID, v V) {
	if _, ok := r.of[id]; !ok {
		r.order = append(r.order, id)
		if len(r.order) > r.most {
			delete(r.of, r.order[0])
			r.order = r.order[1:]
		}
	}
	r.of[id] = v
}

// Get returns what is known of a job.
func (r *Recent[V]) Get(id ident.JobID) (V, bool) {
	v, ok := r.of[id]
	return v, ok
}
