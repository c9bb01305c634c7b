package server

import (
	"slices"
	"testing"
	"time"

	"opaldale/internal/transport"
)

// TestAdmissionPriority: as the lag or the number of requests in flight rises, fewer kinds of requests are
// admitted. Heartbeats are rejected last.
func TestAdmissionPriority(t *testing.T) {
	kinds := []transport.Method{transport.SubmitJob, transport.GetJob, transport.CancelJob, transport.WorkerHeartbeat}
	admitted := func(a *admission) (methods []transport.Method) {
		for _, method := range kinds {
			if a.admissible(method) {
				methods = append(methods, method)
			}
		}
		return methods
	}
	for _, testCase := range []struct {
		name       string
		lag        time.Duration
		requests   int64
		heartbeats int64
		want       []transport.Method
	}{
		{"idle", 0, 0, 0, kinds},
		{"lag above the limit of submissions", 500 * time.Millisecond, 0, 0, kinds[1:]},
		{"lag above the limit of polls", time.Second, 0, 0, kinds[2:]},
		{"lag above the limit of cancellations", time.Minute, 0, 0, kinds[3:]},
		{"user requests at the limit of submissions", 0, 400, 0, kinds[1:]},
		{"user requests at the limit of polls", 0, 600, 0, kinds[2:]},
		{"user requests at the limit of cancellations", 0, 800, 1199, kinds[3:]},
		{"heartbeats at their limit", 0, 0, 1200, kinds[:3]},
		{"all at their limits", 0, 800, 1200, nil},
	} {
		a := &admission{lag: func() time.Duration { return testCase.lag }}
		a.userRequestsInFlight.Store(testCase.requests)
		a.heartbeatsInFlight.Store(testCase.heartbeats)
		if got := admitted(a); !slices.Equal(got, testCase.want) {
			t.Errorf("%s: lag %v, %d user requests and %d heartbeats in flight: admitted methods %v, want %v",
				testCase.name, testCase.lag, testCase.requests, testCase.heartbeats, got, testCase.want)
		}
	}
}

// TestUrgentEventsRunFirst: runQueued runs urgent events before user events that were posted earlier, and
// the lag is 0 once the queues are empty.
func TestUrgentEventsRunFirst(t *testing.T) {
	l := newEventLoop()
	var order []string
	for range 100 {
		l.userEvents <- event{func() { order = append(order, "user") }, time.Now().Add(-time.Minute)}
	}
	l.postUrgent(func() { order = append(order, "renewal") })
	if n := l.runQueued(maxBatch); n != maxBatch || order[0] != "renewal" {
		t.Errorf("ran %d events, the first for %q, want %d events, the first for \"renewal\"", n, order[0], maxBatch)
	}
	if l.Lag() < time.Minute {
		t.Errorf("lag is %v with user events posted a minute ago, want at least 1m", l.Lag())
	}
	for range 4 {
		l.runQueued(maxBatch)
	}
	if len(order) != 101 || l.Lag() != 0 {
		t.Errorf("ran %d events, lag is %v with empty queues, want 101 events and lag 0", len(order), l.Lag())
	}
}
