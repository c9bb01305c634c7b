package simulator

import (
	"time"

	"opaldale/internal/election"
	"opaldale/internal/ident"
)

// eventPause simulates a process that is paused in the middle of handling an event, between two of its clock reads or
// outgoing calls, while its clocks keep running. Calls that follow in the same event are sent when the pause ends.
type eventPause struct {
	window          faultWindow   // with the probability of a pause per event
	stepsUntilPause int           // clock reads and calls until the pause; 0: no pause in this event
	paused          time.Duration // length of the pause in this event; 0: none so far
}

// maxStepsBeforePause is the largest number of clock reads and calls of an event up to the pause.
const maxStepsBeforePause = 12

// beginEvent starts an event and decides at random whether the process is paused in it.
func (p *eventPause) beginEvent(sim *Simulation) {
	if sim.faultOccurs(p.window) {
		p.stepsUntilPause = 1 + sim.rng.IntN(maxStepsBeforePause)
	}
}

// endEvent ends the event and resets its pause.
func (p *eventPause) endEvent() { p.stepsUntilPause, p.paused = 0, 0 }

// maybePause counts a clock read or call, and starts the pause of the event if it is due.
func (e *nodeEnv) maybePause() {
	pause, sim := &e.node.eventPause, e.sim()
	if pause.stepsUntilPause == 0 {
		return
	}
	if pause.stepsUntilPause--; pause.stepsUntilPause > 0 {
		return
	}
	pause.paused = time.Duration(500+sim.rng.IntN(12_000)) * time.Millisecond
	sim.countEvent(processPausedEvent)
	if e.leads() {
		sim.countEvent(leaderPausedEvent)
	}
	sim.logf("%s paused for %v in the middle of an event", e.node.name, pause.paused)
	e.node.pausedUntil = max(e.node.pausedUntil, sim.now.Add(pause.paused))
}

// afterPause returns a function that makes an outgoing call, after the pause of the event if there is one. The call is
// dropped if the process crashes before that.
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

// clock returns the monotonic clock of the process. Unlike Now, it never starts a pause.
func (e *nodeEnv) clock() ident.MonotonicTime {
	return ident.MonotonicTime(float64(e.sim().now-e.startedAt) * e.clockRate)
}

// leads reports whether the process holds a valid leader lease. It never starts a pause.
func (e *nodeEnv) leads() bool {
	m := e.node.controller.Election()
	return m.State() == election.Leading && e.clock() < m.LeaseExpiry()
}

// deadlinePassed reports whether a deadline has passed on the clock of the process. 0 means no deadline.
func (e *nodeEnv) deadlinePassed(limit ident.MonotonicTime) bool {
	return limit > 0 && e.clock() >= limit && !e.sim().mutates(IgnoreSendDeadlines)
}
