package workers

import (
	"testing"

	"opaldale/internal/ident"
)

// TestReachability: heartbeats alone do not show that a worker receives responses and commands; a token that
// it can only have from a response does.
func TestReachability(t *testing.T) {
	const earlier, sent ident.FencingToken = 4, 5
	var r reachability
	if !r.inBothDirections() {
		t.Fatal("unreachable before anything is known")
	}
	r.commandUnanswered()
	if r.inBothDirections() || r.missedResponses != 1 || !r.unresponsive {
		t.Errorf("after a command without a response: %+v", r)
	}
	r.heartbeatReceived(earlier, sent, 10)
	r.heartbeatReceived(earlier, sent, 20)
	if r.missedResponses != 1 || r.cannotReceiveSince != 10 || r.lastContact != 20 {
		t.Errorf("after heartbeats with an earlier token: %+v", r)
	}
	r.heartbeatReceived(sent, sent, 30)
	if r.missedResponses != 0 || r.cannotReceiveSince != 0 || r.lastContact != 30 {
		t.Errorf("after a heartbeat with the token of the last response: %+v", r)
	}
}
