// Package server runs a controller as a network service. It contains the event loop, on which all of
// the controller's code runs, the HTTP API, the clients of the key-value store, the provider and the
// workers, and the limits that keep an overloaded node operational.
package server

import (
	"container/heap"
	"context"
	"sync/atomic"
	"time"

	"opaldale/internal/ident"
)

const (
	// eventQueueSize is the capacity of each event queue. Posting to a full queue blocks. The capacity
	// exceeds the heartbeats and responses that a fleet of 4,000 workers can have in flight, so that
	// peer frames do not block.
	eventQueueSize = 16_384
	// maxBatch is the maximum number of events between two calls of afterBatch.
	maxBatch = 32
	// maxWait bounds the wait for an event or a timer.
	maxWait = time.Hour
)

// event is a function to be run by the loop, with the time at which it was posted.
type event struct {
	run      func()
	postedAt time.Time
}

// eventLoop serializes all code that uses the controller. Functions are posted from other goroutines;
// timers are set by the functions that it runs.
type eventLoop struct {
	start        time.Time
	urgentEvents chan event // required to keep leadership and workers
	userEvents   chan event // user requests
	timers       timerHeap
	timerSeq     uint64
	afterBatch   func()       // called after each batch of events
	lag          atomic.Int64 // nanoseconds that the newest user event waited; 0 once the queues are empty
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

// expired reports whether a deadline has passed. 0 stands for no deadline.
func (l *eventLoop) expired(deadline ident.MonotonicTime) bool {
	return deadline > 0 && l.now() >= deadline
}

// post queues a function to be run by the loop. The loop itself must not call it: it blocks while the
// queue is full.
func (l *eventLoop) post(f func()) { l.enqueue(l.userEvents, f) }

// postUrgent is post for a function that takes precedence over those queued by post.
func (l *eventLoop) postUrgent(f func()) { l.enqueue(l.urgentEvents, f) }

// enqueue queues an event, unless the loop is closed.
func (l *eventLoop) enqueue(queue chan event, f func()) {
	select {
	case queue <- event{f, time.Now()}:
	case <-l.done:
	}
}

// query runs compute on the loop and waits for its value. It returns the zero value if the loop is
// closed.
func query[T any](l *eventLoop, post func(func()), compute func() T) T {
	result := make(chan T, 1)
	post(func() { result <- compute() })
	select {
	case value := <-result:
		return value
	case <-l.done:
		var none T
		return none
	}
}

// begin starts an operation on the loop, and returns a channel that receives its first result.
func begin[T any](post func(func()), operation func(done func(T))) <-chan T {
	results := make(chan T, 1)
	post(func() {
		operation(func(result T) {
			select {
			case results <- result:
			default: // further results are ignored
			}
		})
	})
	return results
}

// await waits for a result, and reports whether it arrived before the context ended.
func await[T any](ctx context.Context, results <-chan T) (T, bool) {
	select {
	case result := <-results:
		return result, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// after runs f on the loop once d has elapsed. Only the loop itself may call it.
func (l *eventLoop) after(d time.Duration, f func()) {
	l.timerSeq++
	heap.Push(&l.timers, timer{l.now().Add(d), l.timerSeq, f})
}

// Lag returns how long user events wait at present. Any goroutine may call it.
func (l *eventLoop) Lag() time.Duration { return time.Duration(l.lag.Load()) }

// run runs events and timers until the loop is closed.
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

// closed reports whether the loop has been closed.
func (l *eventLoop) closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// waitForEvent waits until a timer is due or an event arrives, and runs the event. It returns the number
// of events that it ran.
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

// runTimers runs up to limit timers that are due, and returns their number.
func (l *eventLoop) runTimers(limit int) int {
	ran := 0
	for now := l.now(); ran < limit && len(l.timers) > 0 && l.timers[0].due <= now; ran++ {
		heap.Pop(&l.timers).(timer).run()
	}
	return ran
}

// drain runs up to limit queued events, urgent ones first, and returns their number.
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

// runUserEvent runs a user event, and records how long it waited.
func (l *eventLoop) runUserEvent(e event) {
	l.lag.Store(int64(time.Since(e.postedAt)))
	e.run()
}

// timer is a function to be run by the loop once it is due.
type timer struct {
	due ident.MonotonicTime
	seq uint64 // orders timers by creation
	run func()
}

// timerHeap is a heap.Interface of timers, ordered by due time and then by creation.
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
