// Package handover decides when a leader gives its lead to a sibling that is better placed,
// and takes it through the steps: it stops deciding, says to whom the lead should go, lets
// its writes end, and ends its term. The package is pure: assessments and times come in,
// steps come out.
//
// Each step is safe if it is the last one: nothing but the end of the term, which is a
// transaction on the leader key, takes the lead from the node, and whoever claims it next
// goes through an election. The wish for a successor only shortens that.
package handover

import (
	"fmt"
	"time"

	"opaldale/internal/ident"
)

// State is where a handover stands.
type State uint8

// The states of a handover.
const (
	Steady   State = iota // the node leads, and nobody is better placed
	Worse                 // a sibling is, for not long enough yet
	Draining              // nothing is decided any more; writes in flight end
	Ended                 // the term has been ended
)

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

var stateNames = [...]string{"steady", "worse", "draining", "ended"}

// Reason says why a lead is given up.
type Reason uint8

// The reasons.
const (
	NoReason     Reason = iota
	BetterPlaced        // a sibling is better placed by a clear margin
	Isolated            // neither siblings nor machines are reached
	Requested           // the node is being stopped
)

func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason %d", uint8(r))
}

var reasonNames = [...]string{"none", "a sibling is better placed", "neither siblings nor machines are reached", "requested"}

// Config holds the times of a handover.
type Config struct {
	// Hold is the least time that a lead is kept before it is given up by choice. It
	// doubles with each change of leader of the last minutes.
	Hold time.Duration
	// Persist is for how long a sibling must be better placed.
	Persist time.Duration
	// Drain is how long writes in flight may take to end.
	Drain time.Duration
}

// DefaultConfig returns the times used where the operators name none.
func DefaultConfig() Config {
	return Config{Hold: 15 * time.Second, Persist: 3 * time.Second, Drain: time.Second}
}

// Event is what a handover is decided by.
type Event struct {
	Now      ident.Mono
	Worse    bool         // a sibling is better placed by a clear margin
	To       ident.NodeID // that sibling
	Isolated bool
	Idle     bool // no write is in flight
	CanWrite bool // the state service takes what is written
}

// Step is what the caller has to do.
type Step uint8

// The steps.
const (
	Nothing  Step = iota
	Announce      // stop deciding, and tell all siblings who should follow
	End           // end the term in one transaction
)

// Machine takes one term of a node through a handover.
type Machine struct {
	config  Config
	history *History
	began   ident.Mono
	state   State
	since   ident.Mono // of the state
	to      ident.NodeID
	reason  Reason
}

// New makes the machine of a term that began at a time.
func New(config Config, history *History, began ident.Mono) *Machine {
	return &Machine{config: config, history: history, began: began, since: began}
}

// State returns where the handover stands.
func (m *Machine) State() State { return m.state }

// To returns who should follow, and why; empty while nobody is chosen.
func (m *Machine) To() (ident.NodeID, Reason) { return m.to, m.reason }

// Yields says whether a handover has begun: nothing may be decided any more.
func (m *Machine) Yields() bool { return m.state == Draining || m.state == Ended }

// move is the one place where the state changes.
func (m *Machine) move(s State, now ident.Mono) {
	if m.state != s {
		m.state, m.since = s, now
	}
}

// Handle takes an event and returns the step that follows from it.
func (m *Machine) Handle(e Event) Step {
	switch m.state {
	case Steady, Worse:
		return m.consider(e)
	case Draining:
		if e.Idle || e.Now.Sub(m.since) >= m.config.Drain {
			m.move(Ended, e.Now)
			m.history.Gave(e.Now)
			return End
		}
	}
	return Nothing
}

// consider decides whether a handover begins.
func (m *Machine) consider(e Event) Step {
	worse := e.Worse && e.To != ""
	switch {
	case !worse && !e.Isolated:
		m.move(Steady, e.Now)
		return Nothing
	case m.state == Steady:
		m.move(Worse, e.Now)
		return Nothing
	case e.Now.Sub(m.since) < m.config.Persist:
		return Nothing
	case !e.CanWrite:
		// The term can't be ended by a transaction: it ends with its lease.
		return Nothing
	case e.Now.Sub(m.began) < m.history.Hold(m.config.Hold, e.Now):
		return Nothing
	}
	m.to, m.reason = e.To, BetterPlaced
	if !worse {
		m.to, m.reason = "", Isolated
	}
	m.move(Draining, e.Now)
	return Announce
}

// Request begins a handover because the node is being stopped; to may be empty.
func (m *Machine) Request(now ident.Mono, to ident.NodeID) Step {
	if m.Yields() {
		return Nothing
	}
	m.to, m.reason = to, Requested
	m.move(Draining, now)
	return Announce
}
