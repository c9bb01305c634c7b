// Package server is the rim of a node: sockets, clocks and goroutines around the
// controller, which knows of none of them.
package server

import (
	"container/heap"
	"sync/atomic"
	"time"

	"opaldale/internal/ident"
)

// event is something to be done by the loop, and when it was asked for.
type event struct {
	run      func()
	postedAt time.Time
}

// eventLoop runs everything that touches the controller, one event at a time.
type eventLoop struct {
	start        time.Time
	urgentEvents chan event // what leadership and workers depend on
	userEvents   chan event // what users ask
	timers       timerHeap
	timerSeq     uint64
	afterBatch   func()
	lag          atomic.Int64 // nanoseconds that the newest event of users waited
	done         chan struct{}
}

// eventQueueSize bounds what waits for the loop of either kind; beyond it, posting blocks. It
// stands above what workers of a fleet of 4,000 can have under way together, reports and
// answers to commands, so that siblings' frames never wait for room.
const eventQueueSize = 16_384

func newEventLoop() *eventLoop {
	return &eventLoop{start: time.Now(), urgentEvents: make(chan event, eventQueueSize), userEvents: make(chan event, eventQueueSize), done: make(chan struct{})}
}

// now returns the steady clock's reading.
func (l *eventLoop) now() ident.MonotonicTime { return ident.MonotonicTime(time.Since(l.start)) }

// expired says whether a time limit is over; 0 is none.
func (l *eventLoop) expired(deadline ident.MonotonicTime) bool {
	return deadline > 0 && l.now() >= deadline
}

// post has f run by the loop; for other goroutines.
func (l *eventLoop) post(f func()) { l.enqueue(l.userEvents, f) }

// postUrgent has f run by the loop before anything that was only posted.
func (l *eventLoop) postUrgent(f func()) { l.enqueue(l.urgentEvents, f) }

// enqueue queues an event, unless the loop has ended.
func (l *eventLoop) enqueue(queue chan event, f func()) {
	select {
	case queue <- event{f, time.Now()}:
	case <-l.done:
	}
}

// query has the loop work something out and waits for it; without the loop it returns the zero
// value.
func query[T any](l *eventLoop, post func(func()), compute func() T) T {
	answer := make(chan T, 1)
	post(func() { answer <- compute() })
	select {
	case v := <-answer:
		return v
	case <-l.done:
		var none T
		return none
	}
}

// after has f run by the loop later; only for the loop itself.
func (l *eventLoop) after(d time.Duration, f func()) {
	l.timerSeq++
	heap.Push(&l.timers, timer{l.now().Add(d), l.timerSeq, f})
}

// Lag returns how long users' events wait at present.
func (l *eventLoop) Lag() time.Duration { return time.Duration(l.lag.Load()) }

// maxBatch bounds the events between two settlings.
const maxBatch = 32

func (l *eventLoop) run() {
	wakeUp := time.NewTimer(time.Hour)
	for {
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = max(0, l.timers[0].due.Sub(l.now()))
		}
		ran := 0
		if wait > 0 {
			wakeUp.Reset(wait)
			select {
			case e := <-l.urgentEvents:
				e.run()
				ran++
			case e := <-l.userEvents:
				l.runUserEvent(e)
				ran++
			case <-wakeUp.C:
			case <-l.done:
				return
			}
		}
		select {
		case <-l.done:
			return
		default:
		}
		for now := l.now(); len(l.timers) > 0 && l.timers[0].due <= now && ran < maxBatch; ran++ {
			heap.Pop(&l.timers).(timer).run()
		}
		ran += l.drain(maxBatch - ran)
		if ran > 0 {
			l.afterBatch()
		}
	}
}

// drain runs up to so many events that wait, the urgent ones first.
func (l *eventLoop) drain(limit int) int {
	n := 0
	for ; n < limit; n++ {
		switch {
		case len(l.urgentEvents) > 0:
			(<-l.urgentEvents).run()
		case len(l.userEvents) > 0:
			l.runUserEvent(<-l.userEvents)
		default:
			l.lag.Store(0)
			return n
		}
	}
	return n
}

// runUserEvent runs an event of a user.
func (l *eventLoop) runUserEvent(e event) {
	l.lag.Store(int64(time.Since(e.postedAt)))
	e.run()
}

type timer struct {
	due ident.MonotonicTime
	seq uint64
	run func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, k int) bool {
	if h[i].due != h[k].due {
		return h[i].due < h[k].due
	}
	return h[i].seq < h[k].seq
}
func (h timerHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	n := len(old) - 1
	x := old[n]
	old[n] = timer{}
	*h = old[:n]
	return x
}
