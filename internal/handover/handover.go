// Package handover decides when a leader hands leadership over to a peer, for example because the peer has
// better network connectivity, and sequences the handover: the leader stops making scheduling decisions,
// announces its successor, waits up to Config.DrainTimeout for its writes to complete, and ends its term.
//
// The process may crash after any step: the term ends only with the transaction that deletes the leader
// key or with the expiry of the lease, and the next leader is elected in any case. Announcing a successor
// only shortens the election.
//
// The package performs no I/O and reads no clock.
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
	Considering              // there is a reason for a handover, but it may not begin yet
	Draining                 // the successor is announced; waiting for in-flight writes to complete
	Ended                    // Advance has returned EndTerm
)

// String returns the name of the state in reports, which must not change.
func (s State) String() string { return enum.Name(stateNames[:], s, "state") }

var stateNames = [...]string{"steady", "worse", "draining", "ended"}

// Reason is the reason why a leader hands over.
type Reason uint8

// The reasons for a handover.
const (
	NoReason     Reason = iota
	BetterPlaced        // a peer is better connected by more than the required margin
	Isolated            // the links to all peers and machines are down
	Requested           // the node is shutting down
)

// String returns the text of the reason in reports, which must not change.
func (r Reason) String() string { return enum.Name(reasonNames[:], r, "reason") }

var reasonNames = [...]string{"none", "a sibling is better placed", "neither siblings nor machines are reached", "requested"}

// Config holds the timing parameters of a handover.
type Config struct {
	// MinTermDuration is the minimum time that a node leads before it hands over, except at shutdown. It
	// increases with the number of recent leader changes; see History.MinTermDuration.
	MinTermDuration time.Duration
	// StabilizationWindow is how long a reason for a handover must persist before the handover begins.
	StabilizationWindow time.Duration
	// DrainTimeout is how long to wait for in-flight writes before the term is ended.
	DrainTimeout time.Duration
}

// DefaultConfig returns the default configuration. Settings may override it.
func DefaultConfig() Config {
	return Config{
		MinTermDuration:     15 * time.Second,
		StabilizationWindow: 3 * time.Second,
		DrainTimeout:        time.Second,
	}
}

// Conditions are the inputs of Coordinator.Advance, as observed by the leader at the time Now.
type Conditions struct {
	Now           ident.MonotonicTime
	Successor     ident.NodeID // peer that is better connected by more than the required margin, "" for none
	Isolated      bool         // the links to all peers and machines are down
	WritesDrained bool         // no write is in flight
	StoreWritable bool         // the key-value store accepts writes
}

// reason returns why the leader should hand over, or NoReason.
func (c Conditions) reason() Reason {
	switch {
	case c.Successor != "":
		return BetterPlaced
	case c.Isolated:
		return Isolated
	}
	return NoReason
}

// Step is the action that the caller must take next.
type Step uint8

// The steps.
const (
	NoStep   Step = iota
	Announce      // stop making scheduling decisions, and announce the successor to all peers
	EndTerm       // end the term by deleting the leader key in one transaction
)

// Decision holds the successor of a handover and its reason. It is zero until a handover begins.
type Decision struct {
	Successor ident.NodeID // "" if no peer is preferred
	Reason    Reason
}

// Coordinator decides on and sequences the handover of one term. It is not safe for concurrent use.
type Coordinator struct {
	config     Config
	history    *History
	startedAt  ident.MonotonicTime
	state      State
	stateSince ident.MonotonicTime
	decision   Decision
}

// New returns the coordinator of a term that began at startedAt. All terms of the node share one history.
func New(config Config, history *History, startedAt ident.MonotonicTime) *Coordinator {
	return &Coordinator{config: config, history: history, startedAt: startedAt, stateSince: startedAt}
}

// State returns the progress of the handover.
func (c *Coordinator) State() State { return c.state }

// Decision returns the successor and the reason that were decided when the handover began.
func (c *Coordinator) Decision() Decision { return c.decision }

// Begun reports whether a handover has begun. From then on the leader must make no scheduling decisions.
func (c *Coordinator) Begun() bool { return c.state == Draining || c.state == Ended }

// setState changes the state and records the time of the change. No other function changes the state.
func (c *Coordinator) setState(next State, now ident.MonotonicTime) {
	if c.state != next {
		c.state, c.stateSince = next, now
	}
}

// Advance evaluates the current conditions and returns the next step for the caller.
func (c *Coordinator) Advance(conditions Conditions) Step {
	switch c.state {
	case Steady, Considering:
		return c.consider(conditions)
	case Draining:
		return c.drain(conditions)
	}
	return NoStep
}

// consider begins a handover if there is a reason for it and it may begin.
func (c *Coordinator) consider(conditions Conditions) Step {
	reason := conditions.reason()
	switch {
	case reason == NoReason:
		c.setState(Steady, conditions.Now)
		return NoStep
	case c.state == Steady:
		c.setState(Considering, conditions.Now)
		return NoStep
	case !c.mayBegin(conditions):
		return NoStep
	}
	c.begin(Decision{Successor: conditions.Successor, Reason: reason}, conditions.Now)
	return Announce
}

// mayBegin reports whether a handover under consideration may begin.
func (c *Coordinator) mayBegin(conditions Conditions) bool {
	if conditions.Now.Sub(c.stateSince) < c.config.StabilizationWindow {
		return false
	}
	if !conditions.StoreWritable {
		return false // the transaction that ends the term would fail; the term ends when the leader lease expires
	}
	return conditions.Now.Sub(c.startedAt) >= c.history.MinTermDuration(c.config.MinTermDuration, conditions.Now)
}

// drain ends the term once no write is in flight, or after DrainTimeout.
func (c *Coordinator) drain(conditions Conditions) Step {
	if !conditions.WritesDrained && conditions.Now.Sub(c.stateSince) < c.config.DrainTimeout {
		return NoStep
	}
	c.setState(Ended, conditions.Now)
	c.history.RecordHandover(conditions.Now)
	return EndTerm
}

// Request begins a handover because the node is shutting down. successor is "" if no peer is
// preferred. It returns NoStep if a handover has already begun.
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
