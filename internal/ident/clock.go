package ident

import "time"

// maxClockDrift bounds the share by which the monotonic clocks of two nodes differ in rate: each is
// off by at most 0.05%.
const maxClockDrift = 0.001

// LeastElapsed returns the least time that passes on one node's clock while d passes on another's.
func LeastElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - maxClockDrift))
}
