package clocktest

import (
	"slices"
	"testing"
	"time"

	"opaldale/internal/ident"
)

// TestClock checks that timers run in the order of their due times, at their due times, and only when they are due.
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
		t.Errorf("RunUntil 2.5s: got timers run at %v, clock at %v; want %v and 2s", ran, c.Time.Sub(0), want)
	}
	c.Advance(4 * time.Second)
	if want := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}; !slices.Equal(ran, want) {
		t.Errorf("Advance by 4s: got timers run at %v, want %v", ran, want)
	}
	if c.Time.Sub(0) != 6*time.Second {
		t.Errorf("Advance by 4s: got clock at %v, want 6s", c.Time.Sub(0))
	}
}
