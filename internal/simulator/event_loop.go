package simulator

import (
	"container/heap"
	"time"

	"opaldale/internal/ident"
)

// eventLoop is the simulated clock with the events that are scheduled on it. Events run in the order of their times,
// and those of one time in the order in which they were scheduled.
type eventLoop struct {
	now           ident.MonotonicTime
	events        eventHeap
	eventSequence uint64 // that of the event scheduled last
}

// schedule runs f after d.
func (l *eventLoop) schedule(d time.Duration, f func()) {
	l.eventSequence++
	heap.Push(&l.events, event{l.now.Add(d), l.eventSequence, f})
}

// scheduleAt runs f at a time, in seconds from the start of the run.
func (l *eventLoop) scheduleAt(s float64, f func()) { l.schedule(timeAt(s).Sub(l.now), f) }

// every calls f now and then after each interval, until f returns false.
func (l *eventLoop) every(interval time.Duration, f func() (again bool)) {
	if f() {
		l.schedule(interval, func() { l.every(interval, f) })
	}
}

// run advances the clock from event to event until it would pass end, no event is left, or stopped returns true.
func (l *eventLoop) run(end ident.MonotonicTime, stopped func() bool) {
	for len(l.events) > 0 && !stopped() {
		e := heap.Pop(&l.events).(event)
		if e.at > end {
			return
		}
		l.now = e.at
		e.run()
	}
}

// event is a function that is due at a time.
type event struct {
	at       ident.MonotonicTime
	sequence uint64
	run      func()
}

// eventHeap implements heap.Interface with the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].sequence < h[k].sequence
}

func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// timeAt returns the time s seconds after the start of the run.
func timeAt(s float64) ident.MonotonicTime { return ident.MonotonicTime(s * float64(time.Second)) }
