package server

import (
	"slices"
	"testing"
	"time"

	"opaldale/internal/transport"
)

// TestAdmissionPriority: the higher the lag or the number of requests in flight, the fewer kinds of
// requests are admitted. Heartbeats are refused last.
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
	for _, c := range []struct {
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
		a := &admission{lag: func() time.Duration { return c.lag }}
		a.userRequestsInFlight.Store(c.requests)
		a.heartbeatsInFlight.Store(c.heartbeats)
		if got := admitted(a); !slices.Equal(got, c.want) {
			t.Errorf("%s: lag %v, %d and %d in flight: admits %v, want %v",
				c.name, c.lag, c.requests, c.heartbeats, got, c.want)
		}
	}
}

// TestUrgentEventsRunFirst: urgent events run before user events posted earlier, and the lag is 0 once
// the queues are empty.
func TestUrgentEventsRunFirst(t *testing.T) {
	l := newEventLoop()
	var order []string
	for range 100 {
		l.userEvents <- event{func() { order = append(order, "user") }, time.Now().Add(-time.Minute)}
	}
	l.postUrgent(func() { order = append(order, "renewal") })
	if n := l.drain(maxBatch); n != maxBatch || order[0] != "renewal" {
		t.Errorf("%d events, first %q", n, order[0])
	}
	if l.Lag() < time.Minute {
		t.Errorf("lag %v with users' requests a minute old", l.Lag())
	}
	for range 4 {
		l.drain(maxBatch)
	}
	if len(order) != 101 || l.Lag() != 0 {
		t.Errorf("%d events run, lag %v with none left", len(order), l.Lag())
	}
}
