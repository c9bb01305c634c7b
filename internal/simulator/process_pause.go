package simulator

import (
	"time"

	"opaldale/internal/election"
	"opaldale/internal/ident"
)

// eventPause lets a process stand still in the middle of an event: between any two of its
// looks at the clock and calls to the outside, while its clocks run on. What it sends
// after that goes out when it moves again.
type eventPause struct {
	window          faultWindow   // the share is that of the events in which it happens
	stepsUntilPause int           // it happens before that many further looks and calls; 0: not in this event
	paused          time.Duration // in this event, so far
}

// maxStepsBeforePause bounds how far into an event a process stands still.
const maxStepsBeforePause = 12

// beginEvent begins an event, which may be one in which the process stands still.
func (h *eventPause) beginEvent(sim *Simulation) {
	if sim.faultHits(h.window) {
		h.stepsUntilPause = 1 + sim.rng.IntN(maxStepsBeforePause)
	}
}

// endEvent ends it.
func (h *eventPause) endEvent() { h.stepsUntilPause, h.paused = 0, 0 }

// maybePause has the process stand still now, if it is time for that.
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
	sim.logf("%s stands still for %v within an event", e.node.name, h.paused)
	e.node.pausedUntil = max(e.node.pausedUntil, sim.now.Add(h.paused))
}

// afterPause makes a call to the outside wait until the process moves again, if it
// stands still. It is lost with the process.
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

// clock reads the steady clock; the process doesn't stand still for it.
func (e *nodeEnv) clock() ident.MonotonicTime {
	return ident.MonotonicTime(float64(e.sim().now-e.startedAt) * e.clockRate)
}

// leads says whether the process surely leads, to an observer who isn't held up by it.
func (e *nodeEnv) leads() bool {
	m := e.node.controller.Election()
	return m.State() == election.Leading && e.clock() < m.LeaseExpiry()
}

// deadlinePassed says whether a time limit of the process is over; 0 is none.
func (e *nodeEnv) deadlinePassed(limit ident.MonotonicTime) bool {
	return limit > 0 && e.clock() >= limit && !e.sim().mutates(IgnoreSendDeadlines)
}
