package controller

// This file is the state machine of a leader's term.

// termState is the state of a leader's term: whether it has loaded the records of earlier terms, and whether a dispatch of
// waiting tasks is due.
type termState uint8

const (
	// termLoading: the records of earlier terms are being read.
	termLoading termState = iota
	// termIdle: no event since the last dispatch could have made a waiting task placeable.
	termIdle
	// termCoolingDown: like termIdle, but the wake-up timer of an earlier dispatch is still set.
	termCoolingDown
	// termDispatchDue: a waiting task may be placeable.
	termDispatchDue
	// termDispatchScheduled: like termDispatchDue, and the wake-up timer is set for the dispatch.
	termDispatchScheduled
	// termClosed: the term has ended. The state is final.
	termClosed

	termStateCount
)

var termStateNames = [termStateCount]string{
	"loading", "idle", "cooling down", "dispatch due", "dispatch scheduled", "closed",
}

func (s termState) String() string { return termStateNames[s] }

// termEvent is an event that may change the state of a term.
type termEvent uint8

const (
	// stateLoaded: all records of earlier terms have been restored.
	stateLoaded termEvent = iota
	// dispatchRequested: an event may have made a waiting task placeable.
	dispatchRequested
	// dispatchPostponed: the last dispatch is too recent, and the wake-up timer was set.
	dispatchPostponed
	// wakeUpTimerFired: the wake-up timer has fired.
	wakeUpTimerFired
	// dispatchCompleted: a dispatch has placed every waiting task that can start now.
	dispatchCompleted
	// dispatchTruncated: a dispatch has reached its limit of placements, and more tasks may be placeable.
	dispatchTruncated
	// termEnded: the node no longer leads.
	termEnded

	termEventCount
)

var termEventNames = [termEventCount]string{
	"state loaded", "dispatch requested", "dispatch postponed", "wake-up timer fired", "dispatch completed",
	"dispatch truncated", "term ended",
}

func (e termEvent) String() string { return termEventNames[e] }

// next returns the state after an event. An event that has no meaning in a state leaves the state unchanged.
func (s termState) next(event termEvent) termState {
	switch {
	case s == termClosed || event == termEnded:
		return termClosed
	case s == termLoading:
		if event == stateLoaded {
			return termDispatchDue
		}
		return termLoading
	}
	switch event {
	case dispatchRequested, dispatchTruncated:
		return s.withDispatchDue(true)
	case dispatchCompleted:
		// The result of a dispatch supersedes requests made while it ran.
		return s.withDispatchDue(false)
	case dispatchPostponed:
		return s.withTimerSet(true)
	case wakeUpTimerFired:
		return s.withTimerSet(false)
	}
	return s
}

// withDispatchDue returns the state of a loaded term with a dispatch due or not, and the timer unchanged.
func (s termState) withDispatchDue(due bool) termState { return runningState(due, s.timerSet()) }

// withTimerSet returns the state of a loaded term with the wake-up timer set or not, and a due dispatch unchanged.
func (s termState) withTimerSet(set bool) termState { return runningState(s.dispatchDue(), set) }

// runningState returns the state of a loaded term.
func runningState(dispatchDue, timerSet bool) termState {
	switch {
	case dispatchDue && timerSet:
		return termDispatchScheduled
	case dispatchDue:
		return termDispatchDue
	case timerSet:
		return termCoolingDown
	}
	return termIdle
}

// dispatchDue reports whether a waiting task may be placeable.
func (s termState) dispatchDue() bool { return s == termDispatchDue || s == termDispatchScheduled }

// timerSet reports whether the wake-up timer is set.
func (s termState) timerSet() bool { return s == termDispatchScheduled || s == termCoolingDown }

// transition applies an event to the state. No other function changes the state.
func (l *leaderTerm) transition(event termEvent) { l.state = l.state.next(event) }

// loaded reports whether the records of earlier terms have been restored. It is also true for a closed term.
func (l *leaderTerm) loaded() bool { return l.state != termLoading }

// closed reports whether the term has ended.
func (l *leaderTerm) closed() bool { return l.state == termClosed }

// requestDispatch makes afterEvent dispatch waiting tasks.
func (l *leaderTerm) requestDispatch() { l.transition(dispatchRequested) }
