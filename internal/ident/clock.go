package ident

import "time"

// MonotonicTime is a reading of the monotonic clock, in nanoseconds since the start of the process.
type MonotonicTime time.Duration

// Never is later than any reading of the monotonic clock.
const Never = MonotonicTime(1<<63 - 1)

// Add returns the reading d after m.
func (m MonotonicTime) Add(d time.Duration) MonotonicTime { return m + MonotonicTime(d) }

// Sub returns the time elapsed from an earlier reading to m.
func (m MonotonicTime) Sub(earlier MonotonicTime) time.Duration { return time.Duration(m - earlier) }

// maxClockDrift is the assumed bound on the relative difference in rate of the monotonic clocks of two
// nodes: twice the 0.05% by which clocks drift at most.
const maxClockDrift = 0.001

// ClockDriftFactor is the factor by which a duration on one node's clock is extended so that it has
// certainly elapsed on the clock of another node or of a worker. It allows for twice maxClockDrift.
const ClockDriftFactor = 1.002

// LeastElapsed returns the minimum time that elapses on one node's clock while d elapses on another's.
func LeastElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - maxClockDrift))
}
