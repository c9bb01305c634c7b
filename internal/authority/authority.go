// Package authority says what a node may decide at a moment, in one place: from its part in
// the election, from whether what it decides can be recorded, and from a handover that is
// under way. It is pure: facts come in, a state with its permissions comes out.
package authority

import "fmt"

// State is the extent of a node's authority.
type State uint8

// The states, from none to all.
const (
	None     State = iota // the node doesn't lead, or its grace is over
	Grace                 // its leadership is not sure any more, but workers' leases may be kept
	Loading               // it leads, and has not read what earlier terms left
	Yielding              // it leads, and hands the lead over
	Holding               // it leads, and can't record what it would decide
	Deciding              // it leads
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
	// Accept takes submissions and cancellations, which are durable before they are
	// confirmed.
	Accept
	// Answer tells users what is in memory.
	Answer
	// Command answers workers' reports with commands that start and stop tasks.
	Command
	// KeepLeases answers workers' reports without starting anything.
	KeepLeases
	// Rent asks the cloud for machines, and returns those that nobody needs.
	Rent
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

// actions is a set of actions.
type actions uint16

func set(list ...Action) actions {
	s := actions(0)
	for _, a := range list {
		s |= 1 << a
	}
	return s
}

// permissions is the whole of what each state allows. What is stopped or kept alive in
// Yielding and Holding needs nothing recorded: a command to stop a task is safe whoever
// leads, and one to start a task is for a placement that is durable.
var permissions = [...]actions{
	None:     set(),
	Grace:    set(KeepLeases),
	Loading:  set(),
	Yielding: set(Answer, KeepLeases, Command),
	Holding:  set(Launch, Accept, Answer, KeepLeases, Command),
	Deciding: set(Place, Launch, Accept, Answer, KeepLeases, Command, Rent, Fence),
}

// Allows says whether a node in that state may do something.
func (s State) Allows(a Action) bool {
	return int(s) < len(permissions) && a < actionCount && permissions[s]&(1<<a) != 0
}

// Facts are what a node's authority follows from.
type Facts struct {
	Leads     bool // the node has won an election, and the term has not been ended
	Sure      bool // nobody else can lead at this moment
	InGrace   bool // leadership was sure until at most the grace ago
	Loaded    bool // what earlier terms left has been read
	Recording bool // the state service takes what is written
	Yields    bool // a handover has begun
}

// Of returns the state that follows from the facts.
func Of(f Facts) State {
	switch {
	case !f.Leads:
		return None
	case !f.Loaded:
		if f.Sure {
			return Loading
		}
		return None
	case !f.Sure && f.InGrace:
		return Grace
	case !f.Sure:
		return None
	case f.Yields:
		return Yielding
	case !f.Recording:
		return Holding
	}
	return Deciding
}

// Machine follows a node's authority from one state to the next.
type Machine struct {
	state State
}

// State returns the state that was last moved to.
func (m *Machine) State() State { return m.state }

// Move is the one place where the state changes. It returns the state before, and whether
// it has changed.
func (m *Machine) Move(f Facts) (before State, changed bool) {
	before = m.state
	m.state = Of(f)
	return before, m.state != before
}
