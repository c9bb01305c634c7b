package fleet

import (
	"testing"
	"time"

	"opaldale/internal/ident"
)

// TestRateLimiter: a rate limiter allows a burst of one second's requests, refills at a fraction of the
// provider's rate limit, and deducts requests that were charged without being acquired.
func TestRateLimiter(t *testing.T) {
	const perSecond = 5
	start := ident.MonotonicTime(time.Hour)
	for _, c := range []struct {
		name    string
		charged int
		wait    time.Duration
		want    int
	}{
		{"full at first", 0, 0, perSecond},
		{"charged requests count", 2, 0, perSecond - 2},
		{"refilled after a second", perSecond, time.Second, 4},
		{"not above the requests of one second", perSecond, time.Minute, perSecond},
		{"a negative balance is refilled first", 2 * perSecond, time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newRateLimiter(perSecond, start)
			for range c.charged {
				l.charge()
			}
			acquired := 0
			for l.acquire(start.Add(c.wait)) {
				acquired++
			}
			if acquired != c.want {
				t.Errorf("%d requests were allowed, want %d", acquired, c.want)
			}
		})
	}
}
