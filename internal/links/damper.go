package links

import (
	"math"
	"time"

	"opaldale/internal/ident"
)

// damper implements route flap damping (RFC 2439) for one direction of a link. Each break increases a
// penalty that decays exponentially. The direction is suppressed when the penalty reaches suppressAt, and
// reused when the penalty falls below reuseAt.
type damper struct {
	penalty    float64
	updatedAt  ident.MonotonicTime // when the penalty was last decayed
	suppressed bool
}

// The parameters of flap damping.
const (
	breakPenalty = 1000.0
	suppressAt   = 2500.0
	reuseAt      = 1000.0
	maxPenalty   = 4000.0
)

// decay reduces the penalty to its value at now, and ends the suppression if the penalty is below reuseAt.
func (d *damper) decay(now ident.MonotonicTime, halfLife time.Duration) {
	if now > d.updatedAt && d.penalty > 0 {
		d.penalty *= math.Exp2(-float64(now.Sub(d.updatedAt)) / float64(halfLife))
	}
	d.updatedAt = max(d.updatedAt, now)
	if d.penalty < reuseAt {
		d.suppressed = false
	}
}

// recordBreak adds the penalty of a break, and begins the suppression if the total reaches suppressAt.
func (d *damper) recordBreak(now ident.MonotonicTime, halfLife time.Duration) {
	d.decay(now, halfLife)
	d.penalty = min(maxPenalty, d.penalty+breakPenalty)
	if d.penalty >= suppressAt {
		d.suppressed = true
	}
}
