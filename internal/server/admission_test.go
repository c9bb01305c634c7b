package server

import (
	"slices"
	"testing"
	"time"

	"opaldale/internal/transport"
)

// TestAdmissionPriority: the more a node lags behind, or has in flight, the fewer kinds of
// requests it admits; heartbeats are refused last.
func TestAdmissionPriority(t *testing.T) {
	kinds := []transport.Method{transport.SubmitJob, transport.GetJob, transport.CancelJob, transport.WorkerHeartbeat}
	admitted := func(a *admission) (out []transport.Method) {
		for _, v := range kinds {
			if a.admit(v) {
				out = append(out, v)
			}
		}
		return out
	}
	for _, c := range []struct {
		lag        time.Duration
		requests   int64
		heartbeats int64
		want       []transport.Method
	}{
		{0, 0, 0, kinds},
		{500 * time.Millisecond, 0, 0, kinds[1:]},
		{time.Second, 0, 0, kinds[2:]},
		{time.Minute, 0, 0, kinds[3:]},
		{0, 400, 0, kinds[1:]},
		{0, 600, 0, kinds[2:]},
		{0, 800, 1199, kinds[3:]},
		{0, 0, 1200, kinds[:3]},
		{0, 800, 1200, nil},
	} {
		a := &admission{lag: func() time.Duration { return c.lag }}
		a.userRequestsInFlight.Store(c.requests)
		a.heartbeatsInFlight.Store(c.heartbeats)
		if got := admitted(a); !slices.Equal(got, c.want) {
			t.Errorf("lag %v, %d and %d in flight: admits %v, want %v", c.lag, c.requests, c.heartbeats, got, c.want)
		}
	}
}

// TestUrgentEventsRunFirst: events that leadership and workers depend on run before all that users have
// requested earlier, and a node that has caught up has no lag.
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
