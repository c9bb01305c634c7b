package controller

import "testing"

// TestTermStateTransitions checks the state after each event in each state.
func TestTermStateTransitions(t *testing.T) {
	const (
		loading   = termLoading
		idle      = termIdle
		cooling   = termCoolingDown
		due       = termDispatchDue
		scheduled = termDispatchScheduled
		closed    = termClosed
	)
	// The columns are the states in their order: loading, idle, cooling down, due, scheduled, closed.
	for event, want := range [termEventCount][termStateCount]termState{
		stateLoaded:       {due, idle, cooling, due, scheduled, closed},
		dispatchRequested: {loading, due, scheduled, due, scheduled, closed},
		dispatchPostponed: {loading, cooling, cooling, scheduled, scheduled, closed},
		wakeUpTimerFired:  {loading, idle, idle, due, due, closed},
		dispatchCompleted: {loading, idle, cooling, idle, cooling, closed},
		dispatchTruncated: {loading, due, scheduled, due, scheduled, closed},
		termEnded:         {closed, closed, closed, closed, closed, closed},
	} {
		for state := range termStateCount {
			t.Run(termEvent(event).String()+" while "+state.String(), func(t *testing.T) {
				if got := state.next(termEvent(event)); got != want[state] {
					t.Errorf("next state: got %s, want %s", got, want[state])
				}
			})
		}
	}
}

// TestTermStateQueries checks loaded, closed, dispatchDue and timerSet in each state.
func TestTermStateQueries(t *testing.T) {
	for _, x := range []struct {
		state                                   termState
		loaded, closed, dispatchDue, timerIsSet bool
	}{
		{state: termLoading},
		{state: termIdle, loaded: true},
		{state: termCoolingDown, loaded: true, timerIsSet: true},
		{state: termDispatchDue, loaded: true, dispatchDue: true},
		{state: termDispatchScheduled, loaded: true, dispatchDue: true, timerIsSet: true},
		{state: termClosed, loaded: true, closed: true},
	} {
		t.Run(x.state.String(), func(t *testing.T) {
			l := &leaderTerm{state: x.state}
			if l.loaded() != x.loaded || l.closed() != x.closed {
				t.Errorf("got loaded %v and closed %v, want %v and %v", l.loaded(), l.closed(), x.loaded, x.closed)
			}
			if x.state.dispatchDue() != x.dispatchDue || x.state.timerSet() != x.timerIsSet {
				t.Errorf("got dispatch due %v and timer set %v, want %v and %v",
					x.state.dispatchDue(), x.state.timerSet(), x.dispatchDue, x.timerIsSet)
			}
		})
	}
}
