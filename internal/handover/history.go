package handover

import (
	"slices"
	"time"

	"opaldale/internal/ident"
)

// History holds the recent changes of leader that a node has seen. It bounds how often nodes hand
// over: the minimum duration of a term doubles with each recent change. The zero History is empty.
type History struct {
	changes []leaderChange
}

type leaderChange struct {
	term ident.Term
	at   ident.MonotonicTime
}

const (
	// changeWindow is how long a change counts as recent.
	changeWindow = 5 * time.Minute
	// maxDoublings bounds the minimum duration of a term to sixteen times the configured one.
	maxDoublings = 4
	// maxChanges bounds the history's length.
	maxChanges = 64
	// uncountedChanges is how many recent changes do not double the duration: the one that began
	// the present term, and one before it.
	uncountedChanges = 2
)

// ObserveTerm records that some node leads a term. Terms not later than the newest are ignored.
func (h *History) ObserveTerm(term ident.Term, now ident.MonotonicTime) {
	if n := len(h.changes); n > 0 && term <= h.changes[n-1].term {
		return
	}
	h.changes = append(h.changes, leaderChange{term, now})
	if len(h.changes) > maxChanges {
		h.changes = slices.Delete(h.changes, 0, len(h.changes)-maxChanges)
	}
}

// RecordHandover records that this node has handed over.
func (h *History) RecordHandover(now ident.MonotonicTime) {
	if n := len(h.changes); n > 0 {
		// Counts as a change of its own, beside the beginning of the term that ends.
		h.changes = append(h.changes, leaderChange{h.changes[n-1].term, now})
	}
}

// RecentChanges returns the number of recent changes.
func (h *History) RecentChanges(now ident.MonotonicTime) int {
	n := 0
	for _, c := range h.changes {
		if now.Sub(c.at) < changeWindow {
			n++
		}
	}
	return n
}

// MinTermDuration returns how long a node leads at the least before it hands over, if base is the
// duration without recent changes.
func (h *History) MinTermDuration(base time.Duration, now ident.MonotonicTime) time.Duration {
	doublings := min(max(0, h.RecentChanges(now)-uncountedChanges), maxDoublings)
	return base << doublings
}
