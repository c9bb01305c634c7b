// Package authority says what a node may decide at a moment, in one place: from its part in
// the election, from whether what it decides can be recorded, and from a handover that is
// under way. It is pure: facts come in, a state with its permissions comes out.
package authority

import "fmt"

// State is the extent of a node's authority.
type State uint8

// The states, from none to all.
const (
	None        State = iota // the node doesn't lead, or its grace is over
	Grace                    // its leadership is not sure any more, but workers' leases may be kept
	Loading                  // it leads, and has not read what earlier terms left
	HandingOver              // it leads, and hands the lead over
	StoreDown                // it leads, and can't record what it would decide
	Active                   // it leads
)

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

var stateNames = [...]string{"none", "grace", "loading", "yielding", "holding", "deciding"}

// Action is something that only a node with authority may do.
type Action uint8

// The actions.
const (
	// Place chooses machines for tasks, stops others for them, and writes that down.
	Place Action = iota
	// Launch sends the command that starts a task whose placement is durable.
	Launch
	// AcceptSubmissions takes submissions and cancellations, which are durable before they are
	// confirmed.
	AcceptSubmissions
	// ServeReads tells users what is in memory.
	ServeReads
	// CommandWorkers answers workers' reports with commands that start and stop tasks.
	CommandWorkers
	// RenewWorkerLeases answers workers' reports without starting anything.
	RenewWorkerLeases
	// Scale asks the cloud for machines, and returns those that nobody needs.
	Scale
	// Fence returns machines for their silence.
	Fence

	actionCount
)

func (a Action) String() string {
	if int(a) < len(actionNames) {
		return actionNames[a]
	}
	return fmt.Sprintf("action %d", uint8(a))
}

var actionNames = [...]string{"place", "launch", "accept", "answer", "command", "keep leases", "rent", "fence"}

// actionSet is a set of actions.
type actionSet uint16

func newActionSet(list ...Action) actionSet {
	result := actionSet(0)
	for _, a := range list {
		result |= 1 << a
	}
	return result
}

// permissions is the whole of what each state allows. What is stopped or kept alive in
// Yielding and Holding needs nothing recorded: a command to stop a task is safe whoever
// leads, and one to start a task is for a placement that is durable.
var permissions = [...]actionSet{
	None:        newActionSet(),
	Grace:       newActionSet(RenewWorkerLeases),
	Loading:     newActionSet(),
	HandingOver: newActionSet(ServeReads, RenewWorkerLeases, CommandWorkers),
	StoreDown:   newActionSet(Launch, AcceptSubmissions, ServeReads, RenewWorkerLeases, CommandWorkers),
	Active:      newActionSet(Place, Launch, AcceptSubmissions, ServeReads, RenewWorkerLeases, CommandWorkers, Scale, Fence),
}

// Allows says whether a node in that state may do something.
func (s State) Allows(a Action) bool {
	return int(s) < len(permissions) && a < actionCount && permissions[s]&(1<<a) != 0
}

// Leadership is how sure a node can be that no other node leads.
type Leadership uint8

// The degrees of leadership, from none to full.
const (
	NotLeader    Leadership = iota // the node leads no term, or its term has ended
	LeaseExpired                   // it led, and the grace after the expiry of its lease is over
	LeaseInGrace                   // its lease has expired at most the grace ago
	LeaseValid                     // no other node can lead at this moment
)

// Facts are what a node's authority follows from.
type Facts struct {
	Leadership    Leadership
	StateLoaded   bool // what earlier terms stored has been read
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

// Tracker follows a node's authority from one state to the next.
type Tracker struct {
	state State
}

// State returns the state that was last moved to.
func (t *Tracker) State() State { return t.state }

// Update is the one place where the state changes. It returns the states before and after.
func (t *Tracker) Update(f Facts) (from, to State) {
	from = t.state
	t.state = Evaluate(f)
	return from, t.state
}
