// Package authority decides which actions a node may perform at a given moment. The decision depends on
// whether the node leads, whether it has loaded the stored state, whether the key-value store accepts
// writes, and whether a handover is in progress.
//
// The package performs no I/O and reads no clock.
package authority

import "opaldale/internal/enum"

// State determines the actions that a node may perform.
type State uint8

// The states. None and Loading permit no action, Active permits all.
const (
	// None: the node does not lead, its lease and the grace period after it have expired, or it has not loaded
	// the stored state and only the lease has expired.
	None        State = iota
	Grace             // the leader lease has expired, but the grace period has not; only worker leases may be renewed
	Loading           // the node leads, but has not loaded the stored state yet
	HandingOver       // the node leads, and is handing over leadership to another node
	StoreDown         // the node leads, but the key-value store does not accept writes
	Active            // the node leads and may perform all actions
)

// String returns the name of the state in reports and metrics, which must not change. It differs from the
// name of the constant.
func (s State) String() string { return enum.Name(stateNames[:], s, "state") }

var stateNames = [...]string{"none", "grace", "loading", "yielding", "holding", "deciding"}

// Action is an operation that only the leader may perform.
type Action uint8

// The actions.
const (
	// Place assigns tasks to machines, preempts other tasks for them, and records both.
	Place Action = iota
	// Launch sends the command that starts a task once its placement is durable.
	Launch
	// AcceptSubmissions accepts job submissions and cancellations, and confirms them once they are durable.
	AcceptSubmissions
	// ServeReads answers users' queries from memory.
	ServeReads
	// CommandWorkers answers workers' heartbeats with commands that start and stop tasks.
	CommandWorkers
	// RenewWorkerLeases answers workers' heartbeats without starting anything.
	RenewWorkerLeases
	// Scale provisions machines and terminates machines that are not needed.
	Scale
	// Fence terminates machines that have stopped sending heartbeats.
	Fence

	actionCount
)

// String returns the name of the action.
func (a Action) String() string { return enum.Name(actionNames[:], a, "action") }

var actionNames = [...]string{"place", "launch", "accept", "answer", "command", "keep leases", "rent", "fence"}

// actionSet is a set of actions.
type actionSet uint16

func newActionSet(actions ...Action) actionSet {
	var set actionSet
	for _, a := range actions {
		set |= 1 << a
	}
	return set
}

func (s actionSet) contains(a Action) bool { return a < actionCount && s&(1<<a) != 0 }

// permissions holds the actions that each state allows. HandingOver and StoreDown allow commands to workers,
// because these need no write to the store: stopping a task is safe under any leader, and a task is
// started only if its placement is durable.
var permissions = [...]actionSet{
	None:        newActionSet(),
	Grace:       newActionSet(RenewWorkerLeases),
	Loading:     newActionSet(),
	HandingOver: newActionSet(ServeReads, RenewWorkerLeases, CommandWorkers),
	StoreDown:   newActionSet(Launch, AcceptSubmissions, ServeReads, RenewWorkerLeases, CommandWorkers),
	Active:      newActionSet(Place, Launch, AcceptSubmissions, ServeReads, RenewWorkerLeases, CommandWorkers, Scale, Fence),
}

// Allows reports whether a node in this state may perform an action. It is false for unknown states
// and actions.
func (s State) Allows(a Action) bool {
	return int(s) < len(permissions) && permissions[s].contains(a)
}

// Leadership describes how certain a node is that no other node leads.
type Leadership uint8

// The levels of leadership, in increasing order.
const (
	NotLeader    Leadership = iota // the node leads no term, or its term has ended
	LeaseExpired                   // the lease and the grace period after it have expired
	LeaseInGrace                   // the lease has expired, but the grace period has not
	LeaseValid                     // no other node can lead at this moment
)

// Facts are the inputs of Evaluate.
type Facts struct {
	Leadership    Leadership
	StateLoaded   bool // the node has loaded the state that earlier leaders stored
	StoreWritable bool // the key-value store accepts writes
	HandingOver   bool // a handover is in progress
}

// Evaluate returns the state for the given facts.
func Evaluate(f Facts) State {
	switch {
	case f.Leadership == LeaseInGrace && f.StateLoaded:
		return Grace
	case f.Leadership != LeaseValid:
		return None
	case !f.StateLoaded:
		return Loading
	case f.HandingOver:
		return HandingOver
	case !f.StoreWritable:
		return StoreDown
	}
	return Active
}

// Tracker holds the current state of a node. The zero Tracker is in state None. It is not safe for
// concurrent use.
type Tracker struct {
	state State
}

// State returns the state that the last Update set.
func (t *Tracker) State() State { return t.state }

// Update evaluates the facts and sets the state. It returns the previous and the new state. No other function
// changes the state.
func (t *Tracker) Update(f Facts) (from, to State) {
	from = t.state
	t.state = Evaluate(f)
	return from, t.state
}
