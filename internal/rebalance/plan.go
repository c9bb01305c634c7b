// Package rebalance decides which running tasks are worth moving: a task that waits for room
// on one machine, where no machine has enough, may start at once if a smaller one goes
// elsewhere. It is pure: a picture of the cluster comes in, proposals come out, and nothing is
// stopped by it.
package rebalance

import (
	"cmp"
	"slices"
	"time"

	"opaldale/internal/ident"
)

// Task is a running task that may be moved.
type Task struct {
	ID    ident.TaskID
	Team  string
	CPUs  float64
	Ran   time.Duration // since its last start
	Left  time.Duration // by its owner's estimate; 0: nothing is known, or it runs until it is cancelled
	Saves time.Duration // interval of its checkpoints, 0: it never saves
	Save  time.Duration // time to save when it is stopped
	// Replica says that it serves as long as it runs, so that a move costs its absence.
	Replica bool
	Moved   int // how often its job's tasks have been moved
}

// Machine is a machine that takes work.
type Machine struct {
	Host  ident.HostID
	Zone  string
	Free  float64 // CPUs
	Tasks []Task  // those on it that may be moved
}

// Waiting is a task that finds no room.
type Waiting struct {
	ID      ident.TaskID
	Team    string
	CPUs    float64
	Allowed func(*Machine) bool          // whether it may run there
	Fetch   func(*Machine) time.Duration // how long its image takes to come there
}

// Picture is what a plan is made from.
type Picture struct {
	Machines []*Machine
	Waiting  []Waiting // in the order of their right
	// Fits says whether a running task may go to a machine, and how long its image would
	// take to come there.
	Fits func(*Task, *Machine) (fetch time.Duration, ok bool)
}

// Budgets bound the moves of a plan.
type Budgets struct {
	Cluster, Zone, Team, Machine int
	Job                          int // moves of a job in its life
}

// Config holds what is needed to judge a move.
type Config struct {
	Budgets Budgets
	// Margin is how many times its cost a move must gain: estimates are often wrong by half.
	Margin float64
	// Start is how long a command and its confirmation take beside fetch and saving.
	Start time.Duration
}

// DefaultConfig returns what is used where the operators name nothing.
func DefaultConfig() Config {
	return Config{Budgets: Budgets{Cluster: 4, Zone: 2, Team: 2, Machine: 1, Job: 2}, Margin: 2, Start: 2 * time.Second}
}

// Move is a proposal.
type Move struct {
	Task     ident.TaskID
	Team     string
	From, To ident.HostID
	For      ident.TaskID  // which can start then
	Gain     time.Duration // by which that starts sooner
	Cost     time.Duration // work lost and time spent
}

const (
	// maxWaiting and maxMachines bound what a plan looks at for one round.
	maxWaiting  = 32
	maxMachines = 512
)

// planner makes one plan.
type planner struct {
	config  Config
	picture *Picture
	byFree  []*Machine // most room first
	moves   []Move
	used    map[ident.HostID]int // moves from and to a machine
	zones   map[string]int
	teams   map[string]int
	jobs    map[ident.JobID]int
}

// Plan proposes the moves that pay, in the order of the tasks that wait. The same picture has
// the same plan; it is used up by that.
func Plan(c Config, p *Picture) []Move {
	x := &planner{config: c, picture: p, byFree: slices.Clone(p.Machines), used: map[ident.HostID]int{},
		zones: map[string]int{}, teams: map[string]int{}, jobs: map[ident.JobID]int{}}
	x.sort()
	x.byFree = x.byFree[:min(len(x.byFree), maxMachines)]
	for i := range p.Waiting[:min(len(p.Waiting), maxWaiting)] {
		if len(x.moves) >= c.Budgets.Cluster {
			break
		}
		if best, ok := x.best(&p.Waiting[i]); ok {
			x.take(best)
		}
	}
	return x.moves
}

// sort brings the machines into the order of their room.
func (x *planner) sort() {
	slices.SortFunc(x.byFree, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Host, b.Host))
	})
}

// candidate is a move with the machines that it changes.
type candidate struct {
	Move
	from, to *Machine
	cpus     float64
}

// best finds the move that lets a waiting task start for the least cost.
func (x *planner) best(w *Waiting) (best candidate, found bool) {
	for _, m := range x.byFree {
		if !w.Allowed(m) {
			continue
		}
		if m.Free >= w.CPUs {
			return candidate{}, false // it finds room without a move
		}
		if x.used[m.Host] >= x.config.Budgets.Machine || x.zones[m.Zone] >= x.config.Budgets.Zone {
			continue
		}
		for i := range m.Tasks {
			c, ok := x.consider(w, m, &m.Tasks[i])
			if ok && (!found || c.Cost < best.Cost) {
				best, found = c, true
			}
		}
	}
	return best, found
}

// consider judges the move of one task off a machine.
func (x *planner) consider(w *Waiting, from *Machine, t *Task) (candidate, bool) {
	budgets := x.config.Budgets
	if t.CPUs <= 0 || from.Free+t.CPUs < w.CPUs || t.CPUs >= w.CPUs || t.ID.Job == w.ID.Job ||
		x.teams[t.Team] >= budgets.Team || t.Moved+x.jobs[t.ID.Job] >= budgets.Job {
		return candidate{}, false
	}
	gain := x.wait(w, from) - t.Save - x.config.Start
	for _, to := range x.byFree {
		if to.Free < t.CPUs {
			break // none after it has more
		}
		if to == from || x.used[to.Host] >= budgets.Machine {
			continue
		}
		fetch, ok := x.picture.Fits(t, to)
		if !ok {
			continue
		}
		cost := x.cost(t, fetch)
		if t.Left > 0 && t.Left <= t.Save+fetch+x.config.Start {
			return candidate{}, false // it ends before the move does
		}
		if float64(gain) < x.config.Margin*float64(cost) {
			continue
		}
		return candidate{Move: Move{Task: t.ID, Team: t.Team, From: from.Host, To: to.Host, For: w.ID, Gain: gain, Cost: cost},
			from: from, to: to, cpus: t.CPUs}, true
	}
	return candidate{}, false
}

// wait estimates for how long a task goes on waiting for a machine without a move: until
// enough of what runs there has ended by itself.
func (x *planner) wait(w *Waiting, m *Machine) time.Duration {
	left := make([]Task, 0, len(m.Tasks))
	for _, t := range m.Tasks {
		if t.Left > 0 {
			left = append(left, t)
		}
	}
	slices.SortFunc(left, func(a, b Task) int { return cmp.Compare(a.Left, b.Left) })
	free := m.Free
	for _, t := range left {
		if free += t.CPUs; free >= w.CPUs {
			return t.Left
		}
	}
	return foreverWait
}

// foreverWait stands for a wait whose end nobody knows.
const foreverWait = 5 * time.Minute

// cost is what a move loses: work since the last checkpoint, or all of it, the time to save,
// to fetch and to start. A replica loses no work, and is missed for as long as it is away.
func (x *planner) cost(t *Task, fetch time.Duration) time.Duration {
	lost := t.Ran
	if t.Replica || t.Saves > 0 {
		lost = 0 // it has no progress, or saves it when it is stopped
	}
	return lost + t.Save + fetch + x.config.Start
}

// take carries a move over into the picture, so that the next one sees it.
func (x *planner) take(c candidate) {
	x.moves = append(x.moves, c.Move)
	x.used[c.from.Host]++
	x.used[c.to.Host]++
	x.zones[c.from.Zone]++
	x.teams[c.Team]++
	x.jobs[c.Task.Job]++
	c.to.Free -= c.cpus
	c.from.Free = 0 // kept for the task that waits
	c.from.Tasks = nil
	x.sort()
}
