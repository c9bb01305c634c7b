package placement

import (
	"container/heap"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// leastUsedHeap is a heap of machines, the least used first, by name where they are alike.
type leastUsedHeap []*workers.Worker

// utilization is the part of a machine's CPUs that is in use.
func utilization(w *workers.Worker) float64 { return w.VCPUs / w.Type.VCPUs }

func (l leastUsedHeap) Len() int { return len(l) }
func (l leastUsedHeap) Less(i, k int) bool {
	if a, b := utilization(l[i]), utilization(l[k]); a != b {
		return a < b
	}
	return l[i].ID < l[k].ID
}
func (l leastUsedHeap) Swap(i, k int) { l[i], l[k] = l[k], l[i] }
func (l *leastUsedHeap) Push(x any)   { *l = append(*l, x.(*workers.Worker)) }
func (l *leastUsedHeap) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// fillLeastUsedFirst lets the machines of a kind take planned and local tasks one at a time, the
// least used machine next, so that the work of equal holders doesn't pile up on the first of
// them. What must be fetched isn't spread: each machine more would fetch it as well.
func (p *Planner) fillLeastUsedFirst(spot bool, need jobs.Resources) {
	queue := leastUsedHeap{}
	for _, w := range p.machinesWithRoom {
		if w.Spot == spot && w.HasRoom(need) {
			queue = append(queue, w)
		}
	}
	heap.Init(&queue)
	for len(queue) > 0 && p.placed < maxPlacedPerDispatch {
		w := queue[0]
		t, counter := p.localTask(w)
		if t == nil {
			heap.Pop(&queue)
			continue
		}
		*counter++
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
	for _, w := range p.machinesWithRoom {
		if found != nil && utilization(w) >= utilization(found) {
			continue
		}
		if w.HasImage(j.Spec.Image) && p.eligible(j, w) && p.hasRoom(j, w) {
			found = w
		}
	}
	return found
}
