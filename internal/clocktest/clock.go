// Package clocktest provides a fake clock with timers, which a test advances. Only tests may import it.
package clocktest

import (
	"slices"
	"time"

	"opaldale/internal/ident"
)

// Clock is a fake clock whose timers run when a test advances it. It is not safe for concurrent use.
type Clock struct {
	Time   ident.MonotonicTime // current time; a test may set it to advance the clock without running timers
	timers []timer
}

type timer struct {
	due ident.MonotonicTime
	run func()
}

// Now returns the current time of the clock.
func (c *Clock) Now() ident.MonotonicTime { return c.Time }

// After adds a timer that calls f when the clock has advanced by d.
func (c *Clock) After(d time.Duration, f func()) {
	c.timers = append(c.timers, timer{c.Time.Add(d), f})
}

// Advance advances the clock by d and runs the timers that are due by then, including those that these timers add.
func (c *Clock) Advance(d time.Duration) {
	end := c.Time.Add(d)
	c.RunUntil(end)
	c.Time = end
}

// RunUntil runs the timers that are due at or before end, including those that these timers add. They
// run in the order of their due times, and timers with the same due time in the order in which they
// were added. RunUntil advances the clock to the due time of the last timer that it runs, not to end.
func (c *Clock) RunUntil(end ident.MonotonicTime) {
	for {
		next, ok := c.earliest()
		if !ok || c.timers[next].due > end {
			return
		}
		t := c.timers[next]
		c.timers = slices.Delete(c.timers, next, next+1)
		c.Time = max(c.Time, t.due)
		t.run()
	}
}

// earliest returns the index of the timer with the earliest due time. ok is false if there are no timers.
func (c *Clock) earliest() (index int, ok bool) {
	for i, t := range c.timers {
		if t.due < c.timers[index].due {
			index = i
		}
	}
	return index, len(c.timers) > 0
}
