package handover

import (
	"slices"
	"time"

	"opaldale/internal/ident"
)

// History holds the recent leader changes that a node has observed. It limits the rate of handovers: the
// minimum duration of a term doubles with each recent change beyond uncountedChanges, up to maxDoublings
// times. The zero History is empty and ready to use.
type History struct {
	changes []leaderChange
}

type leaderChange struct {
	term ident.Term
	at   ident.MonotonicTime
}

const (
	// changeWindow is the age up to which a change counts as recent.
	changeWindow = 5 * time.Minute
	// maxDoublings limits the minimum duration of a term to 16 times the configured duration.
	maxDoublings = 4
	// maxChanges is the maximum number of changes in the history.
	maxChanges = 64
	// uncountedChanges is the number of recent changes that do not double the duration: the change
	// that began the current term, and one change before it.
	uncountedChanges = 2
)

// ObserveTerm records the start of a term of any node. It ignores terms that are not later than the newest
// recorded term.
func (h *History) ObserveTerm(term ident.Term, now ident.MonotonicTime) {
	if n := len(h.changes); n > 0 && term <= h.changes[n-1].term {
		return
	}
	h.changes = append(h.changes, leaderChange{term, now})
	if len(h.changes) > maxChanges {
		h.changes = slices.Delete(h.changes, 0, len(h.changes)-maxChanges)
	}
}

// RecordHandover records that this node has handed over leadership.
func (h *History) RecordHandover(now ident.MonotonicTime) {
	if n := len(h.changes); n > 0 {
		// A handover counts as a change in addition to the change that began the term.
		h.changes = append(h.changes, leaderChange{h.changes[n-1].term, now})
	}
}

// recentChanges returns the number of changes that are less than changeWindow old.
func (h *History) recentChanges(now ident.MonotonicTime) int {
	n := 0
	for _, c := range h.changes {
		if now.Sub(c.at) < changeWindow {
			n++
		}
	}
	return n
}

// MinTermDuration returns the minimum time that a node leads before it may hand over. base is the minimum
// without recent leader changes.
func (h *History) MinTermDuration(base time.Duration, now ident.MonotonicTime) time.Duration {
	doublings := min(max(0, h.recentChanges(now)-uncountedChanges), maxDoublings)
	return base << doublings
}
