package links

import (
	"math"
	"time"
)

// detector is a phi accrual failure detector (Hayashibara et al., 2004) for one series of delays: the
// suspicion rises with the time for which a message is overdue, relative to the previous delays. The mean
// and the deviation are exponentially weighted moving averages, as in RFC 6298.
type detector struct {
	mean, deviation float64 // seconds
	samples         int
}

const (
	// meanGain and deviationGain are the weights of a new sample (RFC 6298).
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// minDeviation and minRelativeDeviation are the minimum deviations that are assumed, so that a
	// single scheduling delay does not raise the suspicion of a very regular series.
	minDeviation         = 0.05 // seconds
	minRelativeDeviation = 0.25 // of the mean
	// maxSuspicion is the upper bound of the suspicion, returned when the probability underflows to 0.
	maxSuspicion = 40
)

// sample adds a delay to the series.
func (d *detector) sample(delay time.Duration) {
	s := max(0, delay.Seconds())
	d.samples++
	if d.samples == 1 {
		d.mean, d.deviation = s, s/2
		return
	}
	d.deviation += deviationGain * (math.Abs(s-d.mean) - d.deviation)
	d.mean += meanGain * (s - d.mean)
}

// suspicion returns -log10 of the probability that an overdue message will still arrive. It assumes that
// delays are normally distributed, and adds grace to each. Without samples, the result is 0.
func (d *detector) suspicion(overdue, grace time.Duration) float64 {
	if d.samples == 0 {
		return 0
	}
	deviation := max(d.deviation, minDeviation, minRelativeDeviation*d.mean)
	deviations := ((overdue - grace).Seconds() - d.mean) / deviation
	tailProbability := math.Erfc(deviations/math.Sqrt2) / 2
	if tailProbability <= 0 {
		return maxSuspicion
	}
	return min(maxSuspicion, max(0, -math.Log10(tailProbability)))
}
