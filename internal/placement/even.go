package placement

import (
	"container/heap"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// leastUsed is a heap of machines, the least used first, by name where they are alike.
type leastUsed []*workers.Worker

// share is the part of a machine's CPUs that is in use.
func share(w *workers.Worker) float64 { return w.VCPUs / w.Type.VCPUs }

func (l leastUsed) Len() int { return len(l) }
func (l leastUsed) Less(i, k int) bool {
	if a, b := share(l[i]), share(l[k]); a != b {
		return a < b
	}
	return l[i].ID < l[k].ID
}
func (l leastUsed) Swap(i, k int) { l[i], l[k] = l[k], l[i] }
func (l *leastUsed) Push(x any)   { *l = append(*l, x.(*workers.Worker)) }
func (l *leastUsed) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// takeEvenly lets the machines of a kind take planned and local tasks one at a time, the
// least used machine next, so that the work of equal holders doesn't pile up on the first of
// them. What must be fetched isn't spread: each machine more would fetch it as well.
func (p *Planner) takeEvenly(spot bool, need jobs.Resources) {
	queue := leastUsed{}
	for _, w := range p.roomy {
		if w.Spot == spot && w.HasRoom(need) {
			queue = append(queue, w)
		}
	}
	heap.Init(&queue)
	for len(queue) > 0 && p.placed < maxPlaced {
		w := queue[0]
		t, rule := p.local(w)
		if t == nil {
			heap.Pop(&queue)
			continue
		}
		*rule++
		p.place(t, w)
		if !w.HasRoom(need) {
			heap.Pop(&queue)
			continue
		}
		heap.Fix(&queue, 0)
	}
}

// leastUsedHolder returns the least used machine that holds a service's image and has room
// for one of its tasks, nil if there is none.
func (p *Planner) leastUsedHolder(j *jobs.Job) *workers.Worker {
	var found *workers.Worker
	for _, w := range p.roomy {
		if found != nil && share(w) >= share(found) {
			continue
		}
		if w.HasImage(j.Spec.Image) && p.may(j, w) && p.fits(j, w) {
			found = w
		}
	}
	return found
}
