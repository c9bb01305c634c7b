package handover

import (
	"slices"
	"time"

	"opaldale/internal/ident"
)

// History is what a node remembers of changes of the lead, from one term to the next. It
// bounds how often the lead is given up by choice: the time for which it is kept at least
// doubles with each change of the last minutes.
type History struct {
	changes []change
}

type change struct {
	term ident.Term
	at   ident.Mono
}

const (
	// window is how long a change of the lead counts.
	window = 5 * time.Minute
	// maxDoublings bounds the hold to sixteen times the configured one.
	maxDoublings = 4
	// maxChanges bounds the changes remembered.
	maxChanges = 64
	// freeChanges is how many changes of the window are of no consequence: the one that
	// made the present leader, and one before.
	freeChanges = 2
)

// Saw notes a term that somebody leads in.
func (h *History) Saw(t ident.Term, now ident.Mono) {
	if n := len(h.changes); n > 0 && t <= h.changes[n-1].term {
		return
	}
	h.changes = append(h.changes, change{t, now})
	if len(h.changes) > maxChanges {
		h.changes = slices.Delete(h.changes, 0, len(h.changes)-maxChanges)
	}
}

// Gave notes that this node has given the lead up by choice.
func (h *History) Gave(now ident.Mono) {
	if n := len(h.changes); n > 0 {
		// Counts again, beside the term that ends.
		h.changes = append(h.changes, change{h.changes[n-1].term, now})
	}
}

// Recent counts the changes of the window.
func (h *History) Recent(now ident.Mono) int {
	n := 0
	for _, c := range h.changes {
		if now.Sub(c.at) < window {
			n++
		}
	}
	return n
}

// Hold returns for how long a lead is kept at the least.
func (h *History) Hold(least time.Duration, now ident.Mono) time.Duration {
	doublings := min(max(0, h.Recent(now)-freeChanges), maxDoublings)
	return least << doublings
}

// MaxPerMinute returns how many times in a minute the lead can be given up by choice, at
// the most, in a cluster whose nodes see each other's terms: each holder keeps it for the
// least time first.
func MaxPerMinute(c Config) int { return 1 + int(time.Minute/max(c.Hold, time.Second)) }
