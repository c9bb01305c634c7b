// Package server runs a controller as a network service. It contains the event loop that runs all of
// the controller's code, the HTTP API, the clients of the key-value store, the provider and the
// workers, admission control and the metrics.
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
	// exceeds the number of heartbeats and responses that a fleet of 4,000 workers can have in flight,
	// so that posting peer frames does not block.
	eventQueueSize = 16_384
	// maxBatch is the maximum number of events and timers that run between two calls of afterBatch.
	maxBatch = 32
	// maxWait is the maximum time that the loop waits for an event or a timer.
	maxWait = time.Hour
)

// event is a function that the loop runs, and the time at which the function was posted.
type event struct {
	run      func()
	postedAt time.Time
}

// eventLoop runs all code that uses the controller on one goroutine. Other goroutines post functions to
// the loop; only functions that run on the loop set timers.
type eventLoop struct {
	start        time.Time
	urgentEvents chan event // events on which leadership and worker leases depend; take precedence over userEvents
	userEvents   chan event // requests of users and operators
	timers       timerHeap
	timerSeq     uint64
	afterBatch   func()        // called after each batch of events and timers
	lag          atomic.Int64  // time in ns that the latest user event waited; 0 once the queues are empty
	done         chan struct{} // closed to stop the loop
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

// expired reports whether a deadline has passed. A deadline of 0 means that there is none.
func (l *eventLoop) expired(deadline ident.MonotonicTime) bool {
	return deadline > 0 && l.now() >= deadline
}

// post enqueues a user event. It blocks while the queue is full, and must not be called on the loop,
// where blocking would deadlock.
func (l *eventLoop) post(f func()) { l.enqueue(l.userEvents, f) }

// postUrgent enqueues an urgent event. Urgent events take precedence over user events, except that the
// first event of a batch may be a user event. Like post, postUrgent must not be called on the loop.
func (l *eventLoop) postUrgent(f func()) { l.enqueue(l.urgentEvents, f) }

// enqueue adds an event to a queue, unless the loop is closed.
func (l *eventLoop) enqueue(queue chan event, f func()) {
	select {
	case queue <- event{f, time.Now()}:
	case <-l.done:
	}
}

// query runs compute on the loop and returns its result, or the zero value if the loop is closed.
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

// startOperation starts an asynchronous operation on the loop and returns a channel that receives the
// operation's first result.
func startOperation[T any](post func(func()), operation func(done func(T))) <-chan T {
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

// await waits for a result. It returns false if the context ends first.
func await[T any](ctx context.Context, results <-chan T) (T, bool) {
	select {
	case result := <-results:
		return result, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// after runs f on the loop once d has elapsed. It must be called on the loop.
func (l *eventLoop) after(d time.Duration, f func()) {
	l.timerSeq++
	heap.Push(&l.timers, timer{l.now().Add(d), l.timerSeq, f})
}

// Lag returns how long the latest user event waited in its queue, or 0 once the queues are empty. Any
// goroutine may call it.
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
		ran += l.runQueued(maxBatch - ran)
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

// waitForEvent waits until a timer is due or an event is queued. It runs one event, of either queue if
// both have events, but no timer, and returns the number of events that it ran.
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

// runTimers runs at most limit timers that are due, and returns the number of timers that it ran.
func (l *eventLoop) runTimers(limit int) int {
	ran := 0
	for now := l.now(); ran < limit && len(l.timers) > 0 && l.timers[0].due <= now; ran++ {
		heap.Pop(&l.timers).(timer).run()
	}
	return ran
}

// runQueued runs at most limit queued events, urgent ones first, and returns the number of events that it
// ran. It does not wait for further events.
func (l *eventLoop) runQueued(limit int) int {
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

// runUserEvent runs a user event, and records how long the event waited.
func (l *eventLoop) runUserEvent(e event) {
	l.lag.Store(int64(time.Since(e.postedAt)))
	e.run()
}

// timer is a function that the loop runs once the timer is due.
type timer struct {
	due ident.MonotonicTime
	seq uint64 // position in the order of creation
	run func()
}

// timerHeap is a heap of timers, ordered by due time and then by creation. It implements heap.Interface.
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
