// Package server runs a controller as a network service. It has the event loop, on which all of the
// controller's code runs, the HTTP API, the clients of the store, the provider and the workers, and
// the limits that keep an overloaded node working.
package server

import (
	"container/heap"
	"context"
	"sync/atomic"
	"time"

	"opaldale/internal/ident"
)

const (
	// eventQueueSize bounds the events of either kind that wait; beyond it, posting blocks. It is more
	// than the heartbeats and responses that the workers of a fleet of 4,000 can have in flight
	// together, so that frames of peers never wait for room.
	eventQueueSize = 16_384
	// maxBatch bounds the events between two calls of afterBatch.
	maxBatch = 32
	// maxWait bounds the wait for an event.
	maxWait = time.Hour
)

// event is a function to be run by the loop, and the time at which it was posted.
type event struct {
	run      func()
	postedAt time.Time
}

// eventLoop runs all code that uses the controller, one event at a time.
type eventLoop struct {
	start        time.Time
	urgentEvents chan event // that leadership and workers depend on
	userEvents   chan event // requests of users
	timers       timerHeap
	timerSeq     uint64
	afterBatch   func()       // called after each batch of events
	lag          atomic.Int64 // nanoseconds that the last user event has waited
	done         chan struct{}
}

func newEventLoop() *eventLoop {
	return &eventLoop{
		start:        time.Now(),
		urgentEvents: make(chan event, eventQueueSize),
		userEvents:   make(chan event, eventQueueSize),
		done:         make(chan struct{}),
	}
}

// now reads the monotonic clock.
func (l *eventLoop) now() ident.MonotonicTime { return ident.MonotonicTime(time.Since(l.start)) }

// expired says whether a deadline has passed; 0 stands for none.
func (l *eventLoop) expired(deadline ident.MonotonicTime) bool {
	return deadline > 0 && l.now() >= deadline
}

// post has the loop run a function. It must not be called by the loop itself.
func (l *eventLoop) post(f func()) { l.enqueue(l.userEvents, f) }

// postUrgent has the loop run a function before all that are posted by post. It must not be called by
// the loop itself.
func (l *eventLoop) postUrgent(f func()) { l.enqueue(l.urgentEvents, f) }

// enqueue queues an event, unless the loop is closed.
func (l *eventLoop) enqueue(queue chan event, f func()) {
	select {
	case queue <- event{f, time.Now()}:
	case <-l.done:
	}
}

// query has the loop compute a value, and waits for it. It returns the zero value if the loop is closed.
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

// begin has the loop begin an operation, and returns a channel for its first result.
func begin[T any](post func(func()), operation func(done func(T))) <-chan T {
	results := make(chan T, 1)
	post(func() {
		operation(func(result T) {
			select {
			case results <- result:
			default: // only the first result counts
			}
		})
	})
	return results
}

// await waits for a result, and says whether it came before the context ended.
func await[T any](ctx context.Context, results <-chan T) (T, bool) {
	select {
	case result := <-results:
		return result, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// after has the loop run a function later. It must be called by the loop itself.
func (l *eventLoop) after(d time.Duration, f func()) {
	l.timerSeq++
	heap.Push(&l.timers, timer{l.now().Add(d), l.timerSeq, f})
}

// Lag returns how long user events wait at present.
func (l *eventLoop) Lag() time.Duration { return time.Duration(l.lag.Load()) }

// run runs events until the loop is closed.
func (l *eventLoop) run() {
	wakeUp := time.NewTimer(maxWait)
	for {
		ran := l.waitForEvent(wakeUp)
		if l.closed() {
			return
		}
		ran += l.runTimers(maxBatch - ran)
		ran += l.drain(maxBatch - ran)
		if ran > 0 {
			l.afterBatch()
		}
	}
}

// closed says whether the loop has been closed.
func (l *eventLoop) closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// waitForEvent waits for a timer or an event, and runs the event. It returns the number of events that
// it ran.
func (l *eventLoop) waitForEvent(wakeUp *time.Timer) int {
	wait := maxWait
	if len(l.timers) > 0 {
		wait = l.timers[0].due.Sub(l.now())
	}
	if wait <= 0 {
		return 0
	}
	wakeUp.Reset(wait)
	select {
	case e := <-l.urgentEvents:
		e.run()
		return 1
	case e := <-l.userEvents:
		l.runUserEvent(e)
		return 1
	case <-wakeUp.C:
	case <-l.done:
	}
	return 0
}

// runTimers runs up to a number of timers that are due, and returns how many.
func (l *eventLoop) runTimers(limit int) int {
	ran := 0
	for now := l.now(); ran < limit && len(l.timers) > 0 && l.timers[0].due <= now; ran++ {
		heap.Pop(&l.timers).(timer).run()
	}
	return ran
}

// drain runs up to a number of waiting events, the urgent ones first, and returns how many.
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

// runUserEvent runs a user event, and notes how long it waited.
func (l *eventLoop) runUserEvent(e event) {
	l.lag.Store(int64(time.Since(e.postedAt)))
	e.run()
}

// timer is a function to be run by the loop at a time.
type timer struct {
	due ident.MonotonicTime
	seq uint64 // in the order of creation
	run func()
}

// timerHeap is a heap.Interface of timers by the time at which they are due, then by their creation.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, k int) bool {
	if h[i].due != h[k].due {
		return h[i].due < h[k].due
	}
	return h[i].seq < h[k].seq
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	n := len(old) - 1
	x := old[n]
	old[n] = timer{}
	*h = old[:n]
	return x
}
