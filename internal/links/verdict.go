package links

import (
	"time"

	"opaldale/internal/ident"
)

const (
	// suspectSuspicion and downSuspicion are the suspicion levels at which a direction becomes
	// Suspect and Down. A level is -log10 of the probability that the message still arrives.
	suspectSuspicion = 2
	downSuspicion    = 8
	// recoverySuccesses is the number of successes, each within recoveryMaxGap of the previous one,
	// that end a break. A single message may arrive even on a link that loses most messages.
	recoverySuccesses = 3
	recoveryMaxGap    = 3 * time.Second
	// firstResponseTimeout is the time after which a direction without samples of the delay is Down
	// if a message is still unacknowledged.
	firstResponseTimeout = 5 * time.Second
)

// Verdict is the evaluated state of one direction of a link.
type Verdict struct {
	State     State
	Since     ident.MonotonicTime // when State last changed
	Evidence  Evidence            // the newest evidence
	Suspicion float64             // the failure detector's suspicion at the last evaluation
	Damped    bool                // State is Down because flap damping suppresses the direction
	Breaks    uint64              // total number of breaks
}

// VerdictChange is a change of State or Damped in a verdict.
type VerdictChange struct {
	Endpoint  Endpoint
	Direction Direction
	From, To  Verdict
}

// directionState is one direction of a link. Its state is derived in three steps: the failure detector
// determines the detected state, delayed recovery after a break turns it into the undamped state, and
// flap damping turns that into the state of the verdict.
type directionState struct {
	detector detector
	damper   damper

	detected State // by the failure detector alone
	undamped State // with delayed recovery, without flap damping
	verdict  Verdict

	successes   int                 // since the last break, each within recoveryMaxGap of the previous one
	lastSuccess ident.MonotonicTime // the latest time at which the evidence shows that the direction worked
	hasSuccess  bool                // whether lastSuccess is valid
}

// recordSuccess records evidence that the direction worked at the given time.
func (d *directionState) recordSuccess(at ident.MonotonicTime, evidence Evidence) {
	if at.Sub(d.lastSuccess) > recoveryMaxGap {
		d.successes = 0
	}
	d.successes++
	d.lastSuccess, d.hasSuccess = max(d.lastSuccess, at), true
	d.verdict.Evidence = evidence
}

// detection is the detected state of one direction, to be applied to it.
type detection struct {
	direction Direction
	state     *directionState
	detected  State
}

// Evaluate updates all verdicts and returns the changes, ordered by endpoint and direction.
func (m *Monitor) Evaluate(now ident.MonotonicTime) []VerdictChange {
	var changes []VerdictChange
	for _, endpoint := range m.Endpoints() {
		l := m.links[endpoint]
		in := m.detectInbound(endpoint, l, now)
		out := m.detectOutbound(l, now)
		if endpoint.roundTrip() {
			in = out
		}
		for _, e := range []detection{{Inbound, &l.in, in}, {Outbound, &l.out, out}} {
			from := e.state.verdict
			e.state.apply(e.detected, now, m.config.PenaltyHalfLife)
			to := e.state.verdict
			if to.State != from.State || to.Damped != from.Damped {
				changes = append(changes, VerdictChange{endpoint, e.direction, from, to})
			}
		}
	}
	return changes
}

// detectInbound returns the detected state of the inbound direction. Silence of a peer is evidence of a
// break, because peers send heartbeats continually. Silence of a zone is not, because a machine sends its
// heartbeats to one node at a time.
func (m *Monitor) detectInbound(endpoint Endpoint, l *link, now ident.MonotonicTime) State {
	d := &l.in
	if !d.hasSuccess {
		return Unknown
	}
	d.verdict.Suspicion = d.detector.suspicion(now.Sub(d.lastSuccess), m.config.SuspectGrace)
	if d.detector.samples == 0 {
		return Up
	}
	state := stateOf(d.verdict.Suspicion)
	if state == Up {
		return Up
	}
	if endpoint.Kind == Machines {
		return Unknown
	}
	d.verdict.Evidence = Silence
	return state
}

// detectOutbound returns the detected state of the outbound direction.
func (m *Monitor) detectOutbound(l *link, now ident.MonotonicTime) State {
	d := &l.out
	d.verdict.Suspicion = 0
	switch {
	case l.refusedConns >= maxConnectionRefusals:
		return Down
	case l.hasUnacked:
		return m.detectOverdue(d, now.Sub(l.oldestUnacked))
	case d.hasSuccess:
		return Up
	}
	return Unknown
}

// detectOverdue returns the detected state of an outbound direction, given the time since its oldest
// unacknowledged message was sent.
func (m *Monitor) detectOverdue(d *directionState, overdue time.Duration) State {
	if d.detector.samples == 0 {
		return detectFirstOverdue(d, overdue)
	}
	d.verdict.Suspicion = d.detector.suspicion(overdue, m.config.SuspectGrace)
	state := stateOf(d.verdict.Suspicion)
	if state != Up {
		d.verdict.Evidence = Silence
	}
	return state
}

// detectFirstOverdue is detectOverdue for a direction that has no samples of the delay.
func detectFirstOverdue(d *directionState, overdue time.Duration) State {
	if overdue <= firstResponseTimeout {
		return Unknown
	}
	d.verdict.Evidence = Silence
	return Down
}

// stateOf returns the state for a suspicion level of the failure detector.
func stateOf(suspicion float64) State {
	switch {
	case suspicion >= downSuspicion:
		return Down
	case suspicion >= suspectSuspicion:
		return Suspect
	}
	return Up
}

// apply is the only function that changes a direction's states. It applies the detected state, delayed
// recovery and flap damping, in that order.
func (d *directionState) apply(detected State, now ident.MonotonicTime, halfLife time.Duration) {
	d.damper.decay(now, halfLife)
	if detected == Down && d.detected != Down {
		d.damper.recordBreak(now, halfLife)
		d.verdict.Breaks++
	}
	d.detected = detected
	d.applyRecovery()

	state := d.undamped
	if d.damper.suppressed {
		state = Down
	}
	d.verdict.Damped = d.damper.suppressed
	if state != d.verdict.State {
		d.verdict.State, d.verdict.Since = state, now
	}
}

// applyRecovery sets the undamped state to the detected one. A break ends only after recoverySuccesses
// successes.
func (d *directionState) applyRecovery() {
	switch {
	case d.detected == Down && d.undamped != Down:
		d.undamped = Down
		d.successes = 0
	case d.undamped != Down || d.successes >= recoverySuccesses:
		d.undamped = d.detected
	}
}
