package workers

import (
	"testing"

	"opaldale/internal/ident"
)

// TestReachability checks that heartbeats alone do not show that a worker receives responses and commands, and
// that a heartbeat with the fencing token of the latest response does.
func TestReachability(t *testing.T) {
	const earlier, sent ident.FencingToken = 4, 5
	var r reachability
	if !r.inBothDirections() {
		t.Fatalf("initial state is not reachable: %+v", r)
	}
	r.commandUnanswered()
	if r.inBothDirections() || r.missedResponses != 1 || !r.unresponsive {
		t.Errorf("after a call without a response: got %+v, want 1 missed response, unresponsive", r)
	}
	r.heartbeatReceived(earlier, sent, 10)
	r.heartbeatReceived(earlier, sent, 20)
	if r.missedResponses != 1 || r.cannotReceiveSince != 10 || r.lastContact != 20 {
		t.Errorf("after heartbeats with an earlier token: got %+v; want 1 missed response, unable to receive since 10, "+
			"last contact 20", r)
	}
	r.heartbeatReceived(sent, sent, 30)
	if r.missedResponses != 0 || r.cannotReceiveSince != 0 || r.lastContact != 30 {
		t.Errorf("after a heartbeat with the token of the latest response: got %+v, want nothing missed, last contact 30", r)
	}
}
