package ident

import "time"

// MonotonicTime is a reading of the monotonic clock, as nanoseconds since the start of the process.
type MonotonicTime time.Duration

// Never is later than any reading of the monotonic clock.
const Never = MonotonicTime(1<<63 - 1)

// Add returns the time d after m.
func (m MonotonicTime) Add(d time.Duration) MonotonicTime { return m + MonotonicTime(d) }

// Sub returns the duration from an earlier reading to m.
func (m MonotonicTime) Sub(earlier MonotonicTime) time.Duration { return time.Duration(m - earlier) }

// maxClockDrift is the assumed upper bound on the relative difference between the rates of the monotonic
// clocks of two nodes. Each clock drifts by at most 0.05%, in either direction.
const maxClockDrift = 0.001

// ClockDriftFactor is the factor by which a duration on one node's clock must be extended to be sure that
// the duration has elapsed on the clock of another node or of a worker. It allows for twice maxClockDrift.
const ClockDriftFactor = 1.002

// LeastElapsed returns the minimum time that elapses on one node's clock while d elapses on the clock of
// another node.
func LeastElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - maxClockDrift))
}
