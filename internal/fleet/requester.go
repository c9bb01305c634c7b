package fleet

import (
	"math/rand/v2"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
)

// requester sends requests to the provider within its rate limit, for as long as the term lasts.
type requester struct {
	port    Port
	rng     *rand.Rand
	limiter *rateLimiter
	closed  bool // the term has ended
}

// call sends a request. The response is ignored once the term has ended.
func (r *requester) call(request cloud.Request, handle func(cloud.Response)) {
	r.port.Cloud(request, func(response cloud.Response) {
		if !r.closed {
			handle(response)
		}
	})
}

// retryAfter calls a function after about a delay, unless the term has ended by then.
func (r *requester) retryAfter(delay time.Duration, attempt func()) {
	r.port.After(r.jitter(delay), func() {
		if !r.closed {
			attempt()
		}
	})
}

// acquire takes a token from the rate limiter. It returns false if there is none.
func (r *requester) acquire() bool { return r.limiter.acquire(r.port.Now()) }

// jitter returns a random duration from half to one and a half times the one given, so that
// retries of many requests don't coincide.
func (r *requester) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.rng.Int64N(int64(d)))
}

// refillShare is the fraction of the provider's rate limit that is used, since the provider measures
// it in time windows of its own.
const refillShare = 0.8

// rateLimiter is a token bucket that holds the requests of one second.
type rateLimiter struct {
	perSecond  float64
	tokens     float64
	refilledAt ident.MonotonicTime
}

// newRateLimiter returns a limiter that starts full.
func newRateLimiter(perSecond float64, now ident.MonotonicTime) *rateLimiter {
	return &rateLimiter{perSecond: perSecond, tokens: perSecond, refilledAt: now}
}

// acquire takes a token. It returns false if there is none.
func (l *rateLimiter) acquire(now ident.MonotonicTime) bool {
	l.tokens = min(l.perSecond, l.tokens+refillShare*l.perSecond*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// charge takes a token for a request that was sent without acquire. The balance may become negative.
func (l *rateLimiter) charge() { l.tokens-- }
