package ident

import (
	"testing"
	"time"
)

// TestLeastElapsed: the minimum is 0.1% below the time that elapsed on the other clock.
func TestLeastElapsed(t *testing.T) {
	for _, c := range []struct{ elapsed, want time.Duration }{
		{0, 0},
		{2 * time.Second, 1998 * time.Millisecond},
		{-time.Second, -999 * time.Millisecond},
	} {
		if got := LeastElapsed(c.elapsed); got != c.want {
			t.Errorf("LeastElapsed(%v): got %v, want %v", c.elapsed, got, c.want)
		}
	}
}
