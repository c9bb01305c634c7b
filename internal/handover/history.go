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
	changes []leaderChange
}

type leaderChange struct {
	term ident.Term
	at   ident.MonotonicTime
}

const (
	// changeWindow is how long a change of the lead counts.
	changeWindow = 5 * time.Minute
	// maxDoublings bounds the hold to sixteen times the configured one.
	maxDoublings = 4
	// maxChanges bounds the changes remembered.
	maxChanges = 64
	// uncountedChanges is how many changes of the window are of no consequence: the one that
	// made the present leader, and one before.
	uncountedChanges = 2
)

// ObserveTerm notes a term that somebody leads in.
func (h *History) ObserveTerm(term ident.Term, now ident.MonotonicTime) {
	if n := len(h.changes); n > 0 && term <= h.changes[n-1].term {
		return
	}
	h.changes = append(h.changes, leaderChange{term, now})
	if len(h.changes) > maxChanges {
		h.changes = slices.Delete(h.changes, 0, len(h.changes)-maxChanges)
	}
}

// RecordHandover notes that this node has given the lead up by choice.
func (h *History) RecordHandover(now ident.MonotonicTime) {
	if n := len(h.changes); n > 0 {
		// Counts again, beside the term that ends.
		h.changes = append(h.changes, leaderChange{h.changes[n-1].term, now})
	}
}

// RecentChanges counts the changes of the window.
func (h *History) RecentChanges(now ident.MonotonicTime) int {
	n := 0
	for _, c := range h.changes {
		if now.Sub(c.at) < changeWindow {
			n++
		}
	}
	return n
}

// MinTermDuration returns for how long a lead is kept at the least.
func (h *History) MinTermDuration(base time.Duration, now ident.MonotonicTime) time.Duration {
	doublings := min(max(0, h.RecentChanges(now)-uncountedChanges), maxDoublings)
	return base << doublings
}
