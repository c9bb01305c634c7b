package standin

import (
	"time"

	"opaldale/internal/election"
	"opaldale/internal/ident"
)

// halts lets a process stand still in the middle of an event: between any two of its
// looks at the clock and calls to the outside, while its clocks run on. What it sends
// after that goes out when it moves again.
type halts struct {
	spell  spell         // the share is that of the events in which it happens
	steps  int           // it happens before that many further looks and calls; 0: not in this event
	halted time.Duration // in this event, so far
}

// maxSteps bounds how far into an event a process stands still.
const maxSteps = 12

// begin begins an event, which may be one in which the process stands still.
func (h *halts) begin(w *World) {
	if w.hits(h.spell) {
		h.steps = 1 + w.rng.IntN(maxSteps)
	}
}

// end ends it.
func (h *halts) end() { h.steps, h.halted = 0, 0 }

// mayHalt has the process stand still now, if it is time for that.
func (e *nodeEnv) mayHalt() {
	h, w := &e.n.halts, e.w()
	if h.steps == 0 {
		return
	}
	if h.steps--; h.steps > 0 {
		return
	}
	h.halted = time.Duration(500+w.rng.IntN(12_000)) * time.Millisecond
	w.took("halt within an event")
	if e.leads() {
		w.took("halt of a leader within an event")
	}
	w.logf("%s stands still for %v within an event", e.n.name, h.halted)
	e.n.still = max(e.n.still, w.now.Add(h.halted))
}

// afterHalt makes a call to the outside wait until the process moves again, if it
// stands still. It is lost with the process.
func (e *nodeEnv) afterHalt(send func()) func() {
	return func() {
		e.mayHalt()
		wait := e.n.halts.halted
		if wait == 0 {
			send()
			return
		}
		e.w().at(wait, func() {
			if e.n.alive && e.n.life == e.life {
				send()
			}
		})
	}
}

// clock reads the steady clock; the process doesn't stand still for it.
func (e *nodeEnv) clock() ident.MonotonicTime {
	return ident.MonotonicTime(float64(e.w().now-e.start) * e.rate)
}

// leads says whether the process surely leads, to an observer who isn't held up by it.
func (e *nodeEnv) leads() bool {
	m := e.n.ctl.Election()
	return m.State() == election.Leading && e.clock() < m.LeaseExpiry()
}

// past says whether a time limit of the process is over; 0 is none.
func (e *nodeEnv) past(limit ident.MonotonicTime) bool {
	return limit > 0 && e.clock() >= limit && e.w().cfg.Mutation != IgnoreLimits
}
