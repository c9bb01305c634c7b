package clocktest

import (
	"slices"
	"testing"
	"time"

	"opaldale/internal/ident"
)

// TestClock: timers run in the order of their times, at their times, and only if they are due.
func TestClock(t *testing.T) {
	var c Clock
	var ran []time.Duration
	record := func() { ran = append(ran, c.Now().Sub(0)) }
	c.After(3*time.Second, record)
	c.After(time.Second, func() {
		record()
		c.After(time.Second, record)
	})
	c.After(9*time.Second, record)
	c.RunUntil(ident.MonotonicTime(2500 * time.Millisecond))
	if want := []time.Duration{time.Second, 2 * time.Second}; !slices.Equal(ran, want) || c.Time.Sub(0) != 2*time.Second {
		t.Errorf("ran at %v, is at %v", ran, c.Time.Sub(0))
	}
	c.Advance(4 * time.Second)
	if want := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}; !slices.Equal(ran, want) {
		t.Errorf("ran at %v", ran)
	}
	if c.Time.Sub(0) != 6*time.Second {
		t.Errorf("is at %v", c.Time.Sub(0))
	}
}
