package commit

import (
	"time"

	"opaldale/internal/ident"
)

// Limits bound what may be written to the store, already reduced by what other requests need.
type Limits struct {
	MutationsPerTxn    int     // puts and deletes in a transaction
	MutationsPerSecond float64 // puts and deletes a second
	MaxValueBytes      int     // of a value
}

// Min returns the stricter of both for each limit.
func (l Limits) Min(other Limits) Limits {
	return Limits{
		MutationsPerTxn:    min(l.MutationsPerTxn, other.MutationsPerTxn),
		MutationsPerSecond: min(l.MutationsPerSecond, other.MutationsPerSecond),
		MaxValueBytes:      min(l.MaxValueBytes, other.MaxValueBytes),
	}
}

const (
	// minTokensPerTxn keeps transactions from being sent one mutation at a time: as long as there
	// are fewer tokens, and fewer than a full transaction takes, sending waits for tokenRefillWait.
	minTokensPerTxn = 4
	tokenRefillWait = 50 * time.Millisecond
	// comparesPerMutation is the number of compares that the store accepts for each mutation of its
	// limit.
	comparesPerMutation = 4
	// minValueBytes is the lower bound to which rejections lower the limit on the size of values.
	minValueBytes = 256
	// maxImmediateRejections is the number of rejections in a row after which smaller transactions
	// are sent without a pause. Each further one is followed by a pause, up to maxRejectionPause.
	maxImmediateRejections = 20
	maxRejectionPause      = time.Minute
	initialRejectionPause  = time.Second
	maxPauseDoublings      = 10 // bounds the shift; the pause is maxRejectionPause by then
)

// limiter keeps transactions within the limits of the store. Mutations take tokens from a bucket
// that holds those of a second; the limits in force only ever become stricter.
type limiter struct {
	limits      Limits              // in force
	expected    Limits              // that the store may introduce without notice
	tokens      float64             // mutations that may be sent now
	refilledAt  ident.MonotonicTime // time up to which tokens were added
	rejections  int                 // transactions rejected in a row
	pausedUntil ident.MonotonicTime // nothing is sent earlier
}

func newLimiter(limits Limits, now ident.MonotonicTime) limiter {
	return limiter{limits: limits, expected: limits, tokens: limits.MutationsPerSecond, refilledAt: now}
}

// refill adds the tokens of the time since the last call.
func (l *limiter) refill(now ident.MonotonicTime) {
	rate := l.limits.MutationsPerSecond
	l.tokens = min(rate, l.tokens+rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
}

func (l *limiter) spend(mutations int) { l.tokens -= float64(mutations) }

// drainTokens delays further transactions after a response that the rate was too high.
func (l *limiter) drainTokens() {
	l.applyExpectedLimits()
	l.tokens = 0
}

// allowsTxn reports whether there are tokens for a transaction of reasonable size.
func (l *limiter) allowsTxn() bool {
	return l.tokens >= float64(min(l.limits.MutationsPerTxn, minTokensPerTxn))
}

// hasSpareTokens reports whether there are tokens left for content that is not urgent.
func (l *limiter) hasSpareTokens() bool { return l.tokens > l.limits.MutationsPerSecond/2 }

// applyExpectedLimits puts the expected limits into force and reports whether they are stricter.
func (l *limiter) applyExpectedLimits() bool {
	before := l.limits
	l.limits = l.limits.Min(l.expected)
	l.tokens = min(l.tokens, l.limits.MutationsPerSecond)
	return l.limits != before
}

// reduceLimits makes the limits stricter after a transaction was rejected. It returns false if the
// transaction cannot be made any smaller.
func (l *limiter) reduceLimits(rejected *txn) bool {
	switch {
	case l.applyExpectedLimits():
	case len(rejected.documents)+len(rejected.records) > 1:
		l.limits.MutationsPerTxn = max(1, len(rejected.request.Mutations)/2)
	case len(rejected.records) > 0 && l.limits.MaxValueBytes > minValueBytes:
		l.limits.MaxValueBytes = max(minValueBytes, l.limits.MaxValueBytes/2)
	default:
		return false
	}
	return true
}

// recordRejection counts a rejected transaction, and pauses sending after many in a row.
func (l *limiter) recordRejection(now ident.MonotonicTime) {
	l.rejections++
	if excess := l.rejections - maxImmediateRejections; excess > 0 {
		l.pausedUntil = now.Add(rejectionPause(excess))
	}
}

// rejectionPause is the pause after the nth rejection: it doubles each time.
func rejectionPause(n int) time.Duration {
	return min(initialRejectionPause<<min(n, maxPauseDoublings), maxRejectionPause)
}
