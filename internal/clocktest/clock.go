// Package clocktest provides a clock with timers that a test advances. Only tests may import it.
package clocktest

import (
	"slices"
	"time"

	"opaldale/internal/ident"
)

// Clock is a clock whose timers run when a test advances it. It is not safe for concurrent use.
type Clock struct {
	Time   ident.MonotonicTime // set it to let time pass without running timers
	timers []timer
}

type timer struct {
	due ident.MonotonicTime
	run func()
}

// Now returns the time.
func (c *Clock) Now() ident.MonotonicTime { return c.Time }

// After has f run when the clock is advanced by d.
func (c *Clock) After(d time.Duration, f func()) {
	c.timers = append(c.timers, timer{c.Time.Add(d), f})
}

// Advance runs the timers that are due within d, including those that they add, and advances the clock by d.
func (c *Clock) Advance(d time.Duration) {
	end := c.Time.Add(d)
	c.RunUntil(end)
	c.Time = end
}

// RunUntil runs the timers that are due by a time, including those that they add: the earliest first,
// and those of the same time in the order in which they were added. It advances the clock to the last
// one.
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

// earliest returns the index of the timer that runs next, if there is one.
func (c *Clock) earliest() (index int, ok bool) {
	for i, t := range c.timers {
		if t.due < c.timers[index].due {
			index = i
		}
	}
	return index, len(c.timers) > 0
}
