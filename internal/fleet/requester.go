package fleet

import (
	"math/rand/v2"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
)

// requester sends requests to the provider until the term ends. Its rate limiter keeps the requests
// within the provider's limit.
type requester struct {
	port    Port
	rng     *rand.Rand
	limiter *rateLimiter
	closed  bool // the term has ended
}

// call sends a request, and calls handle with the response unless the term has ended by then.
func (r *requester) call(request cloud.Request, handle func(cloud.Response)) {
	r.port.Cloud(request, func(response cloud.Response) {
		if !r.closed {
			handle(response)
		}
	})
}

// retryAfter calls attempt after a delay with jitter, unless the term has ended by then.
func (r *requester) retryAfter(delay time.Duration, attempt func()) {
	r.port.After(r.jitter(delay), func() {
		if !r.closed {
			attempt()
		}
	})
}

// acquire takes a token for one request from the rate limiter. It returns false if none is available.
func (r *requester) acquire() bool { return r.limiter.acquire(r.port.Now()) }

// jitter returns a random duration between 0.5 and 1.5 times d, so that the retries of many requests are
// spread over time.
func (r *requester) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.rng.Int64N(int64(d)))
}

// refillFraction is the fraction of the provider's rate limit at which tokens are refilled. It is below 1
// because the provider counts requests in time windows that are not aligned with the refills.
const refillFraction = 0.8

// rateLimiter is a token bucket whose capacity is the number of requests allowed per second.
type rateLimiter struct {
	perSecond  float64
	tokens     float64
	refilledAt ident.MonotonicTime
}

// newRateLimiter returns a rate limiter with a full bucket.
func newRateLimiter(perSecond float64, now ident.MonotonicTime) *rateLimiter {
	return &rateLimiter{perSecond: perSecond, tokens: perSecond, refilledAt: now}
}

// acquire takes a token. It returns false if none is available.
func (l *rateLimiter) acquire(now ident.MonotonicTime) bool {
	l.tokens = min(l.perSecond, l.tokens+refillFraction*l.perSecond*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// charge takes a token for a request that was sent without acquire. The number of tokens may become
// negative.
func (l *rateLimiter) charge() { l.tokens-- }
