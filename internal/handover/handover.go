// Package handover decides when a leader hands over to a peer that is better placed to lead, and
// takes it through the steps: it stops making decisions, announces its successor, drains its
// writes, and ends its term.
//
// The process may stop after any step: the leader loses its leadership only by the transaction on
// the leader key that ends the term, and the next leader is elected. The announced successor only
// makes the election shorter.
//
// The package is pure: assessments and times come in, steps come out.
package handover

import (
	"time"

	"opaldale/internal/enum"
	"opaldale/internal/ident"
)

// State is the progress of a handover.
type State uint8

// The states of a handover.
const (
	Steady      State = iota // there is no reason for a handover
	Considering              // there is a reason, but a handover is not allowed yet
	Draining                 // the successor is announced, and writes in flight complete
	Ended                    // the term has been ended
)

// String returns the state's name in reports, where it must not change.
func (s State) String() string { return enum.Name(stateNames[:], s, "state") }

var stateNames = [...]string{"steady", "worse", "draining", "ended"}

// Reason says why a leader hands over.
type Reason uint8

// The reasons.
const (
	NoReason     Reason = iota
	BetterPlaced        // a peer is better placed by a clear margin
	Isolated            // the links to all peers and machines are broken
	Requested           // the node is being stopped
)

// String returns the reason in reports, where it must not change.
func (r Reason) String() string { return enum.Name(reasonNames[:], r, "reason") }

var reasonNames = [...]string{"none", "a sibling is better placed", "neither siblings nor machines are reached", "requested"}

// Config holds the times of a handover.
type Config struct {
	// MinTermDuration is how long a node leads at the least before it hands over. It doubles with
	// each recent change of leader; see History.MinTermDuration.
	MinTermDuration time.Duration
	// StabilizationWindow is how long the reason for a handover must have lasted.
	StabilizationWindow time.Duration
	// DrainTimeout is how long writes in flight may take to complete.
	DrainTimeout time.Duration
}

// DefaultConfig returns the times used unless the settings have others.
func DefaultConfig() Config {
	return Config{
		MinTermDuration:     15 * time.Second,
		StabilizationWindow: 3 * time.Second,
		DrainTimeout:        time.Second,
	}
}

// Event is a leader's situation at a time.
type Event struct {
	Now           ident.MonotonicTime
	Successor     ident.NodeID // the peer that is better placed by a clear margin, "" for none
	Isolated      bool         // the links to all peers and machines are broken
	WritesDrained bool         // no write is in flight
	StoreWritable bool         // the key-value store accepts writes
}

// reason returns why the leader should hand over.
func (e Event) reason() Reason {
	switch {
	case e.Successor != "":
		return BetterPlaced
	case e.Isolated:
		return Isolated
	}
	return NoReason
}

// Step is what the caller must do.
type Step uint8

// The steps.
const (
	NoStep   Step = iota
	Announce      // stop making decisions, and announce the successor to all peers
	EndTerm       // end the term in one transaction
)

// Decision is what a handover is for. It is zero until a handover has begun.
type Decision struct {
	Successor ident.NodeID // "" if no peer is preferred
	Reason    Reason
}

// Coordinator takes a node through the handover that ends one of its terms.
type Coordinator struct {
	config     Config
	history    *History
	startedAt  ident.MonotonicTime
	state      State
	stateSince ident.MonotonicTime
	decision   Decision
}

// New returns the coordinator of a term that began at startedAt. The history is the node's, for
// all of its terms.
func New(config Config, history *History, startedAt ident.MonotonicTime) *Coordinator {
	return &Coordinator{config: config, history: history, startedAt: startedAt, stateSince: startedAt}
}

// State returns the progress of the handover.
func (c *Coordinator) State() State { return c.state }

// Decision returns what was decided when the handover began.
func (c *Coordinator) Decision() Decision { return c.decision }

// Begun reports whether a handover has begun: the leader must not make decisions any more.
func (c *Coordinator) Begun() bool { return c.state == Draining || c.state == Ended }

// setState is the one place where the state changes.
func (c *Coordinator) setState(next State, now ident.MonotonicTime) {
	if c.state != next {
		c.state, c.stateSince = next, now
	}
}

// Handle takes an event and returns the step that it results in.
func (c *Coordinator) Handle(e Event) Step {
	switch c.state {
	case Steady, Considering:
		return c.consider(e)
	case Draining:
		return c.drain(e)
	}
	return NoStep
}

// consider decides whether a handover begins.
func (c *Coordinator) consider(e Event) Step {
	reason := e.reason()
	switch {
	case reason == NoReason:
		c.setState(Steady, e.Now)
		return NoStep
	case c.state == Steady:
		c.setState(Considering, e.Now)
		return NoStep
	case !c.mayBegin(e):
		return NoStep
	}
	c.begin(Decision{Successor: e.Successor, Reason: reason}, e.Now)
	return Announce
}

// mayBegin reports whether a handover that is being considered may begin.
func (c *Coordinator) mayBegin(e Event) bool {
	if e.Now.Sub(c.stateSince) < c.config.StabilizationWindow {
		return false
	}
	if !e.StoreWritable {
		return false // the transaction would fail; the term ends when its lease expires
	}
	return e.Now.Sub(c.startedAt) >= c.history.MinTermDuration(c.config.MinTermDuration, e.Now)
}

// drain ends the term once no write is in flight, or after a timeout.
func (c *Coordinator) drain(e Event) Step {
	if !e.WritesDrained && e.Now.Sub(c.stateSince) < c.config.DrainTimeout {
		return NoStep
	}
	c.setState(Ended, e.Now)
	c.history.RecordHandover(e.Now)
	return EndTerm
}

// Request begins a handover because the node is being stopped. successor is "" if no peer is
// preferred.
func (c *Coordinator) Request(now ident.MonotonicTime, successor ident.NodeID) Step {
	if c.Begun() {
		return NoStep
	}
	c.begin(Decision{Successor: successor, Reason: Requested}, now)
	return Announce
}

func (c *Coordinator) begin(decision Decision, now ident.MonotonicTime) {
	c.decision = decision
	c.setState(Draining, now)
}
