// Package authority derives which actions a node may take at a given moment from its leadership,
// from whether the key-value store accepts its writes, and from a handover in progress.
//
// The package performs no I/O and reads no clock.
package authority

import "opaldale/internal/enum"

// State is the extent of a node's authority.
type State uint8

// The states, from no authority to full authority.
const (
	None        State = iota // the node does not lead, or the grace period after its lease expiry is over
	Grace                    // its lease has expired, and only worker leases may be renewed
	Loading                  // it leads, but has not read the stored state yet
	HandingOver              // it leads, and is handing over to another node
	StoreDown                // it leads, but the key-value store does not accept its writes
	Active                   // it leads without restrictions
)

// String returns the state's name in reports and metrics, where it must not change. It differs from
// the constant's name.
func (s State) String() string { return enum.Name(stateNames[:], s, "state") }

var stateNames = [...]string{"none", "grace", "loading", "yielding", "holding", "deciding"}

// Action is an operation that only a node with authority may perform.
type Action uint8

// The actions.
const (
	// Place assigns tasks to machines, preempts other tasks for them, and records both.
	Place Action = iota
	// Launch sends the command that starts a task whose placement is durable.
	Launch
	// AcceptSubmissions accepts submissions and cancellations, and confirms them once durable.
	AcceptSubmissions
	// ServeReads answers users' queries from memory.
	ServeReads
	// CommandWorkers answers workers' heartbeats with commands that start and stop tasks.
	CommandWorkers
	// RenewWorkerLeases answers workers' heartbeats without starting anything.
	RenewWorkerLeases
	// Scale provisions machines, and terminates those that are not needed.
	Scale
	// Fence terminates machines that have stopped sending heartbeats.
	Fence

	actionCount
)

// String returns the action's name.
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

// permissions are the actions that each state allows. Commands to workers require no write to the
// store, and are allowed in HandingOver and StoreDown as well: a command that stops a task is safe
// whichever node leads, and a command that starts one belongs to a durable placement.
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

// Leadership is the certainty of a node that no other node leads.
type Leadership uint8

// The degrees of leadership, from none to full.
const (
	NotLeader    Leadership = iota // the node leads no term, or its term has ended
	LeaseExpired                   // its lease has expired, and the grace period after that is over
	LeaseInGrace                   // its lease has expired within the grace period
	LeaseValid                     // no other node can lead at this moment
)

// Facts are the inputs from which a node's authority is derived.
type Facts struct {
	Leadership    Leadership
	StateLoaded   bool // the state stored by earlier terms has been read
	StoreWritable bool // the key-value store accepts writes
	HandingOver   bool // a handover has begun
}

// Evaluate returns the state that follows from the facts.
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

// Tracker holds a node's present state. The zero Tracker is in state None. It is not safe for
// concurrent use.
type Tracker struct {
	state State
}

// State returns the state after the last Update.
func (t *Tracker) State() State { return t.state }

// Update is the only function that changes the state. It returns the states before and after.
func (t *Tracker) Update(f Facts) (from, to State) {
	from = t.state
	t.state = Evaluate(f)
	return from, t.state
}
