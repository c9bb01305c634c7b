package simulator

import (
	"container/heap"
	"time"

	"opaldale/internal/ident"
)

type event struct {
	at  ident.MonotonicTime
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}

func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (sim *Simulation) schedule(d time.Duration, f func()) {
	sim.eventSequence++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.eventSequence, f})
}

// timeAt is a moment of a run.
func timeAt(s float64) ident.MonotonicTime { return ident.MonotonicTime(s * float64(time.Second)) }

func (sim *Simulation) scheduleAt(s float64, f func()) { sim.schedule(timeAt(s).Sub(sim.now), f) }
