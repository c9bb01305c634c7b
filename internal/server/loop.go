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
	run func()
	at  time.Time
}

// loop runs everything that touches the controller, one event at a time.
type loop struct {
	start  time.Time
	urgent chan event // what leadership and workers depend on
	events chan event // what users ask
	timers timerHeap
	seq    uint64
	settle func()
	lag    atomic.Int64 // nanoseconds that the newest event of users waited
	done   chan struct{}
}

// maxEvents bounds what waits for the loop of either kind; beyond it, posting blocks. It
// stands above what workers of a fleet of 4,000 can have under way together, reports and
// answers to commands, so that siblings' frames never wait for room.
const maxEvents = 16_384

func newLoop() *loop {
	return &loop{start: time.Now(), urgent: make(chan event, maxEvents), events: make(chan event, maxEvents), done: make(chan struct{})}
}

// now returns the steady clock's reading.
func (l *loop) now() ident.MonotonicTime { return ident.MonotonicTime(time.Since(l.start)) }

// past says whether a time limit is over; 0 is none.
func (l *loop) past(limit ident.MonotonicTime) bool { return limit > 0 && l.now() >= limit }

// post has f run by the loop; for other goroutines.
func (l *loop) post(f func()) { l.put(l.events, f) }

// postUrgent has f run by the loop before anything that was only posted.
func (l *loop) postUrgent(f func()) { l.put(l.urgent, f) }

// put queues an event, unless the loop has ended.
func (l *loop) put(queue chan event, f func()) {
	select {
	case queue <- event{f, time.Now()}:
	case <-l.done:
	}
}

// ask has the loop work something out and waits for it; without the loop it returns the zero
// value.
func ask[T any](l *loop, post func(func()), f func() T) T {
	answer := make(chan T, 1)
	post(func() { answer <- f() })
	select {
	case v := <-answer:
		return v
	case <-l.done:
		var none T
		return none
	}
}

// after has f run by the loop later; only for the loop itself.
func (l *loop) after(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.timers, timer{l.now().Add(d), l.seq, f})
}

// Lag returns how long users' events wait at present.
func (l *loop) Lag() time.Duration { return time.Duration(l.lag.Load()) }

// batch bounds the events between two settlings.
const batch = 32

func (l *loop) run() {
	t := time.NewTimer(time.Hour)
	for {
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = max(0, l.timers[0].at.Sub(l.now()))
		}
		n := 0
		if wait > 0 {
			t.Reset(wait)
			select {
			case e := <-l.urgent:
				e.run()
				n++
			case e := <-l.events:
				l.do(e)
				n++
			case <-t.C:
			case <-l.done:
				return
			}
		}
		select {
		case <-l.done:
			return
		default:
		}
		for now := l.now(); len(l.timers) > 0 && l.timers[0].at <= now && n < batch; n++ {
			heap.Pop(&l.timers).(timer).run()
		}
		n += l.drain(batch - n)
		if n > 0 {
			l.settle()
		}
	}
}

// drain runs up to so many events that wait, the urgent ones first.
func (l *loop) drain(most int) int {
	n := 0
	for ; n < most; n++ {
		switch {
		case len(l.urgent) > 0:
			(<-l.urgent).run()
		case len(l.events) > 0:
			l.do(<-l.events)
		default:
			l.lag.Store(0)
			return n
		}
	}
	return n
}

// do runs an event of a user.
func (l *loop) do(e event) {
	l.lag.Store(int64(time.Since(e.at)))
	e.run()
}

type timer struct {
	at  ident.MonotonicTime
	seq uint64
	run func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, k int) bool {
	if h[i].at != h[k].at {
		return h[i].at < h[k].at
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
