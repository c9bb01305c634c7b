package simulator

import (
	"time"

	"opaldale/internal/election"
	"opaldale/internal/ident"
)

// eventPause pauses a process in the midst of an event: between any two of its readings of the clock and calls to the
// outside, while its clocks go on. What it sends after that goes out when the pause is over.
type eventPause struct {
	window          faultWindow   // its probability is that of a pause in an event
	stepsUntilPause int           // readings and calls until the pause; 0: none in this event
	paused          time.Duration // in this event so far
}

// maxStepsBeforePause bounds how many readings and calls of an event precede a pause.
const maxStepsBeforePause = 12

// beginEvent begins an event, and draws whether it has a pause.
func (h *eventPause) beginEvent(sim *Simulation) {
	if sim.faultHits(h.window) {
		h.stepsUntilPause = 1 + sim.rng.IntN(maxStepsBeforePause)
	}
}

// endEvent ends the event.
func (h *eventPause) endEvent() { h.stepsUntilPause, h.paused = 0, 0 }

// maybePause begins the pause if it is due.
func (e *nodeEnv) maybePause() {
	h, sim := &e.node.eventPause, e.sim()
	if h.stepsUntilPause == 0 {
		return
	}
	if h.stepsUntilPause--; h.stepsUntilPause > 0 {
		return
	}
	h.paused = time.Duration(500+sim.rng.IntN(12_000)) * time.Millisecond
	sim.countEvent(processPausedEvent)
	if e.leads() {
		sim.countEvent(leaderPausedEvent)
	}
	sim.logf("%s paused for %v within an event", e.node.name, h.paused)
	e.node.pausedUntil = max(e.node.pausedUntil, sim.now.Add(h.paused))
}

// afterPause returns a function that makes a call to the outside once the process is not paused. The call is lost with the
// process.
func (e *nodeEnv) afterPause(send func()) func() {
	return func() {
		e.maybePause()
		wait := e.node.eventPause.paused
		if wait == 0 {
			send()
			return
		}
		e.sim().schedule(wait, func() {
			if e.node.alive && e.node.incarnation == e.incarnation {
				send()
			}
		})
	}
}

// clock reads the monotonic clock without a pause.
func (e *nodeEnv) clock() ident.MonotonicTime {
	return ident.MonotonicTime(float64(e.sim().now-e.startedAt) * e.clockRate)
}

// leads reports whether the process holds a valid leader lease, without a pause.
func (e *nodeEnv) leads() bool {
	m := e.node.controller.Election()
	return m.State() == election.Leading && e.clock() < m.LeaseExpiry()
}

// deadlinePassed reports whether a deadline of the process has passed; 0 is none.
func (e *nodeEnv) deadlinePassed(limit ident.MonotonicTime) bool {
	return limit > 0 && e.clock() >= limit && !e.sim().mutates(IgnoreSendDeadlines)
}
