package placement

import (
	"container/heap"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// leastUsedHeap implements heap.Interface for machines, ordered by CPU utilization and then by name.
type leastUsedHeap []*workers.Worker

// utilization is the fraction of a machine's CPUs that is in use.
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

// fillLeastUsedFirst places planned and local tasks on the spot instances, or else the on-demand
// machines. Each task goes to the least used machine, so that load is spread over the holders of an
// image. Tasks whose image must be pulled are not spread, since every machine would have to pull it.
func (d *dispatch) fillLeastUsedFirst(spot bool, need jobs.Resources) {
	queue := leastUsedHeap{}
	for _, w := range d.machinesWithCapacity {
		if w.Spot == spot && w.HasCapacityFor(need) {
			queue = append(queue, w)
		}
	}
	heap.Init(&queue)
	for len(queue) > 0 && !d.full() {
		w := queue[0]
		t, rule := d.localTask(w)
		if t == nil {
			heap.Pop(&queue)
			continue
		}
		d.Stats.countBatchTask(rule)
		d.place(t, w)
		if !w.HasCapacityFor(need) {
			heap.Pop(&queue)
			continue
		}
		heap.Fix(&queue, 0)
	}
}

// leastUsedHolder returns the least used machine that has a service's image cached and can run one of
// its tasks, or nil if there is none.
func (d *dispatch) leastUsedHolder(j *jobs.Job) *workers.Worker {
	var found *workers.Worker
	for _, w := range d.machinesWithCapacity {
		if found != nil && utilization(w) >= utilization(found) {
			continue
		}
		if w.HasImage(j.Spec.Image) && d.canRunOn(j, w) {
			found = w
		}
	}
	return found
}
