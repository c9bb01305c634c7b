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
	Steady      State = iota // the node leads, and nobody is better placed
	Considering              // a sibling is, for not long enough yet
	Draining                 // nothing is decided any more; writes in flight end
	Ended                    // the term has been ended
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
	// MinTermDuration is the least time that a lead is kept before it is given up by choice. It
	// doubles with each change of leader of the last minutes.
	MinTermDuration time.Duration
	// StabilizationWindow is for how long a sibling must be better placed.
	StabilizationWindow time.Duration
	// DrainTimeout is how long writes in flight may take to end.
	DrainTimeout time.Duration
}

// DefaultConfig returns the times used where the operators name none.
func DefaultConfig() Config {
	return Config{MinTermDuration: 15 * time.Second, StabilizationWindow: 3 * time.Second, DrainTimeout: time.Second}
}

// Event is what a handover is decided by.
type Event struct {
	Now           ident.MonotonicTime
	Successor     ident.NodeID // the peer that is better placed by a clear margin, "" if none is
	Isolated      bool
	WritesDrained bool // no write is in flight
	StoreWritable bool // the state service takes what is written
}

// Step is what the caller has to do.
type Step uint8

// The steps.
const (
	NoStep   Step = iota
	Announce      // stop deciding, and tell all siblings who should follow
	EndTerm       // end the term in one transaction
)

// Decision is who should lead next, and why leadership is given up. It is zero while nothing is decided.
type Decision struct {
	Successor ident.NodeID // "" if any node may follow
	Reason    Reason
}

// Coordinator takes one term of a node through a handover.
type Coordinator struct {
	config     Config
	history    *History
	startedAt  ident.MonotonicTime
	state      State
	stateSince ident.MonotonicTime // of the state
	decision   Decision
}

// New makes the machine of a term that began at a time.
func New(config Config, history *History, startedAt ident.MonotonicTime) *Coordinator {
	return &Coordinator{config: config, history: history, startedAt: startedAt, stateSince: startedAt}
}

// State returns where the handover stands.
func (c *Coordinator) State() State { return c.state }

// Decision returns what was decided when the handover began.
func (c *Coordinator) Decision() Decision { return c.decision }

// Begun says whether a handover has begun: nothing may be decided any more.
func (c *Coordinator) Begun() bool { return c.state == Draining || c.state == Ended }

// setState is the one place where the state changes.
func (c *Coordinator) setState(s State, now ident.MonotonicTime) {
	if c.state != s {
		c.state, c.stateSince = s, now
	}
}

// Handle takes an event and returns the step that follows from it.
func (c *Coordinator) Handle(e Event) Step {
	switch c.state {
	case Steady, Considering:
		return c.evaluate(e)
	case Draining:
		if e.WritesDrained || e.Now.Sub(c.stateSince) >= c.config.DrainTimeout {
			c.setState(Ended, e.Now)
			c.history.RecordHandover(e.Now)
			return EndTerm
		}
	}
	return NoStep
}

// evaluate decides whether a handover begins.
func (c *Coordinator) evaluate(e Event) Step {
	switch {
	case e.Successor == "" && !e.Isolated:
		c.setState(Steady, e.Now)
		return NoStep
	case c.state == Steady:
		c.setState(Considering, e.Now)
		return NoStep
	case e.Now.Sub(c.stateSince) < c.config.StabilizationWindow:
		return NoStep
	case !e.StoreWritable:
		// The term can't be ended by a transaction: it ends with its lease.
		return NoStep
	case e.Now.Sub(c.startedAt) < c.history.MinTermDuration(c.config.MinTermDuration, e.Now):
		return NoStep
	}
	c.decision = Decision{Successor: e.Successor, Reason: BetterPlaced}
	if e.Successor == "" {
		c.decision.Reason = Isolated
	}
	c.setState(Draining, e.Now)
	return Announce
}

// Request begins a handover because the node is being stopped; to may be empty.
func (c *Coordinator) Request(now ident.MonotonicTime, successor ident.NodeID) Step {
	if c.Begun() {
		return NoStep
	}
	c.decision = Decision{Successor: successor, Reason: Requested}
	c.setState(Draining, now)
	return Announce
}
