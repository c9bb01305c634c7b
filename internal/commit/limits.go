package commit

import (
	"time"

	"opaldale/internal/ident"
)

// Limits are the limits on writes to the store. The caller subtracts the capacity reserved for other requests.
type Limits struct {
	MutationsPerTxn    int     // puts and deletes in a transaction
	MutationsPerSecond float64 // puts and deletes per second
	MaxValueBytes      int     // maximum size of a value
}

// Min returns the smaller value of each limit.
func (l Limits) Min(other Limits) Limits {
	return Limits{
		MutationsPerTxn:    min(l.MutationsPerTxn, other.MutationsPerTxn),
		MutationsPerSecond: min(l.MutationsPerSecond, other.MutationsPerSecond),
		MaxValueBytes:      min(l.MaxValueBytes, other.MaxValueBytes),
	}
}

const (
	// minTokensPerTxn prevents transactions with a single mutation when the rate limit is reached. If there
	// are fewer tokens, and fewer than a full transaction needs, sending waits for tokenRefillWait.
	minTokensPerTxn = 4
	tokenRefillWait = 50 * time.Millisecond
	// comparesPerMutation is the ratio of the store's limit on compares to its limit on mutations in a
	// transaction.
	comparesPerMutation = 4
	// minValueBytes is the minimum to which rejections can reduce MaxValueBytes.
	minValueBytes = 256
	// maxImmediateRejections is the number of consecutive rejections after which sending continues without
	// a pause. Each further rejection is followed by a longer pause, up to maxRejectionPause.
	maxImmediateRejections = 20
	maxRejectionPause      = time.Minute
	initialRejectionPause  = time.Second
	maxPauseDoublings      = 10 // prevents overflow of the shift; the pause has reached maxRejectionPause before
)

// limiter keeps transactions within the limits of the store. It limits the rate of mutations by a token bucket
// that holds the tokens of one second. The current limits can only become stricter.
type limiter struct {
	limits      Limits              // current limits
	expected    Limits              // limits that the store may start to enforce without notice
	tokens      float64             // mutations that may be sent now
	refilledAt  ident.MonotonicTime // time of the last refill
	rejections  int                 // consecutive rejected transactions
	pausedUntil ident.MonotonicTime // no new transaction is sent before this time
}

func newLimiter(limits Limits, now ident.MonotonicTime) limiter {
	return limiter{limits: limits, expected: limits, tokens: limits.MutationsPerSecond, refilledAt: now}
}

// refill adds the tokens for the time since the last call.
func (l *limiter) refill(now ident.MonotonicTime) {
	rate := l.limits.MutationsPerSecond
	l.tokens = min(rate, l.tokens+rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
}

func (l *limiter) spend(mutations int) { l.tokens -= float64(mutations) }

// drainTokens applies the expected limits and removes all tokens, after the store has reported that the rate limit
// is exceeded. This delays further transactions.
func (l *limiter) drainTokens() {
	l.applyExpectedLimits()
	l.tokens = 0
}

// allowsTxn reports whether there are enough tokens for minTokensPerTxn mutations or a full transaction.
func (l *limiter) allowsTxn() bool {
	return l.tokens >= float64(min(l.limits.MutationsPerTxn, minTokensPerTxn))
}

// hasSpareTokens reports whether there are enough tokens to send lazy documents: more than half of the bucket.
func (l *limiter) hasSpareTokens() bool { return l.tokens > l.limits.MutationsPerSecond/2 }

// applyExpectedLimits applies the expected limits and reports whether any limit became stricter.
func (l *limiter) applyExpectedLimits() bool {
	before := l.limits
	l.limits = l.limits.Min(l.expected)
	l.tokens = min(l.tokens, l.limits.MutationsPerSecond)
	return l.limits != before
}

// reduceLimits makes the limits stricter after a transaction was rejected. It returns false if the
// transaction cannot be made smaller.
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

// recordRejection counts a rejected transaction, and pauses sending after maxImmediateRejections consecutive
// rejections.
func (l *limiter) recordRejection(now ident.MonotonicTime) {
	l.rejections++
	if excess := l.rejections - maxImmediateRejections; excess > 0 {
		l.pausedUntil = now.Add(rejectionPause(excess))
	}
}

// rejectionPause returns the pause after n rejections beyond maxImmediateRejections. It doubles with each rejection
// up to maxRejectionPause.
func rejectionPause(n int) time.Duration {
	return min(initialRejectionPause<<min(n, maxPauseDoublings), maxRejectionPause)
}
