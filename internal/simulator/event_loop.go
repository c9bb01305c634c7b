package simulator

import (
	"container/heap"
	"time"

	"opaldale/internal/ident"
)

// eventLoop is the simulated clock and its queue of scheduled events. Events run in order of their time; events with
// the same time run in the order in which they were scheduled.
type eventLoop struct {
	now           ident.MonotonicTime
	events        eventHeap
	eventSequence uint64 // sequence number of the event scheduled last
}

// schedule schedules f to run after d.
func (l *eventLoop) schedule(d time.Duration, f func()) {
	l.eventSequence++
	heap.Push(&l.events, event{l.now.Add(d), l.eventSequence, f})
}

// scheduleAt schedules f to run s seconds after the start of the run.
func (l *eventLoop) scheduleAt(s float64, f func()) { l.schedule(timeAt(s).Sub(l.now), f) }

// every calls f immediately and then once per interval, until f returns false.
func (l *eventLoop) every(interval time.Duration, f func() (again bool)) {
	if f() {
		l.schedule(interval, func() { l.every(interval, f) })
	}
}

// run runs events in order until the next one is later than end, no event is left, or stopped returns true.
func (l *eventLoop) run(end ident.MonotonicTime, stopped func() bool) {
	for len(l.events) > 0 && l.events[0].at <= end && !stopped() {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}

// event is a function scheduled to run at a given time.
type event struct {
	at       ident.MonotonicTime
	sequence uint64
	run      func()
}

// eventHeap implements heap.Interface as a min-heap with the earliest event on top.
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
