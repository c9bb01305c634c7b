package rebalance

import (
	"cmp"
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

const (
	// maxWaiting bounds the waiting tasks that one plan looks at: the next plan has the next.
	maxWaiting = 32
	// maxCandidates bounds the cheapest moves off a machine for which a destination is looked
	// for, and maxDestinations the machines with room that are looked at for each.
	maxCandidates   = 32
	maxDestinations = 64
	// unknownWait stands for a wait whose end nobody knows.
	unknownWait = 5 * time.Minute
)

// planner makes one plan.
type planner struct {
	config        Config
	cluster       *Cluster
	byFree        []*Machine // most room first
	moves         []Move
	usage         budgetUse
	beneficiaries map[ident.TaskID]bool // waiting tasks that a move is for
}

// budgetUse is what of the budgets is in use.
type budgetUse struct {
	cluster  int
	machines map[ident.MachineID]int // moves from and to a machine
	zones    map[string]int
	teams    map[string]int
	jobs     map[ident.JobID]int
}

// Plan proposes the moves that pay, in the order of the tasks that wait. The same picture has
// the same plan; it is used up by that. Its cost grows with the machines and their tasks, for
// each task that waits.
func Plan(config Config, cluster *Cluster) []Move {
	x := newPlanner(config, cluster)
	for i := range cluster.Waiting[:min(len(cluster.Waiting), maxWaiting)] {
		if x.usage.cluster >= config.Budgets.Cluster {
			break
		}
		w := &cluster.Waiting[i]
		if w.WaitedFor < config.MinWait || x.beneficiaries[w.ID] {
			continue
		}
		if best, ok := x.cheapestMove(w); ok {
			x.applyRoomMove(best)
		}
	}
	x.planSlowMachines()
	return x.moves
}

func newPlanner(config Config, cluster *Cluster) *planner {
	x := &planner{
		config:        config,
		cluster:       cluster,
		byFree:        slices.Clone(cluster.Machines),
		beneficiaries: map[ident.TaskID]bool{},
		usage:         newBudgetUse(),
	}
	for _, a := range cluster.ActiveMoves {
		x.usage.count(a)
		x.beneficiaries[a.BeneficiaryID] = true
	}
	x.sortByFree()
	return x
}

func newBudgetUse() budgetUse {
	return budgetUse{machines: map[ident.MachineID]int{}, zones: map[string]int{}, teams: map[string]int{}, jobs: map[ident.JobID]int{}}
}

// count takes a move under way, or one that is proposed, into account.
func (u *budgetUse) count(a ActiveMove) {
	u.cluster++
	u.machines[a.From]++
	u.machines[a.To]++
	u.zones[a.Zone]++
	u.teams[a.Team]++
	u.jobs[a.Job]++
}

// sortByFree brings the machines into the order of their room.
func (x *planner) sortByFree() {
	slices.SortFunc(x.byFree, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(b.Free.VCPUs, a.Free.VCPUs), cmp.Compare(a.ID, b.ID))
	})
}

// candidate is a task that would make room by leaving its machine.
type candidate struct {
	task         *Task
	from         *Machine
	expectedWait time.Duration // of the waiting task, without the move
	remaining    time.Duration // until the task ends by itself; 0: that doesn't matter
	gain         time.Duration
	cost         time.Duration // without the fetch at the destination
}

// cheapestMove finds the move that lets a waiting task start for the least cost, if there is one that
// pays and no machine has room without it.
func (x *planner) cheapestMove(w *WaitingTask) (Move, bool) {
	for _, m := range x.byFree {
		if m.Free.Covers(w.Need) && w.Allowed(m) {
			return Move{}, false
		}
	}
	var found Move
	ok := false
	for _, c := range x.candidates(w) {
		if ok && found.Cost <= c.cost {
			break // a fetch only adds to the cost
		}
		if m, pays := x.bestDestination(c); pays && (!ok || m.Cost < found.Cost) {
			found, ok = m, true
			found.BeneficiaryID = w.ID
		}
	}
	return found, ok
}

// candidates lists the tasks by whose leaving a waiting one would find room, the cheapest first.
func (x *planner) candidates(w *WaitingTask) []candidate {
	var list []candidate
	for _, m := range x.byFree {
		if x.usage.machines[m.ID] >= x.config.Budgets.Machine || x.usage.zones[m.Zone] >= x.config.Budgets.Zone || !w.Allowed(m) {
			continue
		}
		wait := time.Duration(-1) // not worked out yet
		for i := range m.Tasks {
			t := &m.Tasks[i]
			if !x.wouldMakeRoom(w, m, t) {
				continue
			}
			if wait < 0 {
				wait = x.expectedWait(w, m)
			}
			c := candidate{task: t, from: m, expectedWait: wait, remaining: t.Remaining, gain: wait - t.CheckpointTime - x.config.StartOverhead, cost: x.moveCost(t)}
			if x.pays(c.gain, c.cost) {
				list = insertCheapest(list, c)
			}
		}
	}
	return list
}

// insertCheapest keeps the cheapest candidates in their order.
func insertCheapest(list []candidate, c candidate) []candidate {
	at, _ := slices.BinarySearchFunc(list, c, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.from.ID, b.from.ID), cmp.Compare(a.task.ID.Job, b.task.ID.Job),
			cmp.Compare(a.task.ID.Index, b.task.ID.Index))
	})
	if at >= maxCandidates {
		return list
	}
	list = slices.Insert(list, at, c)
	return list[:min(len(list), maxCandidates)]
}

// wouldMakeRoom says whether a task may be moved for a waiting one, and makes enough room by it.
func (x *planner) wouldMakeRoom(w *WaitingTask, from *Machine, t *Task) bool {
	budgets := x.config.Budgets
	switch {
	case t.Need.VCPUs <= 0 || !from.Free.Add(t.Need).Covers(w.Need):
		return false
	case t.Need.Covers(w.Need):
		return false // it would need no less room elsewhere
	case t.ID.Job == w.ID.Job || t.PriorityLevel < w.PriorityLevel || t.RunningFor < x.config.MinRuntime:
		return false
	}
	return x.usage.teams[t.Team] < budgets.Team && t.MoveCount+x.usage.jobs[t.ID.Job] < budgets.Job
}

func (x *planner) pays(gain, cost time.Duration) bool {
	return float64(gain) >= x.config.GainMargin*float64(cost)
}

// bestDestination finds the machine to which a task goes with the least to fetch, if that pays.
func (x *planner) bestDestination(c candidate) (best Move, found bool) {
	looked := 0
	for _, to := range x.byFree {
		if to.Free.VCPUs < c.task.Need.VCPUs || looked >= maxDestinations {
			break // none after it has more
		}
		if to == c.from || x.usage.machines[to.ID] >= x.config.Budgets.Machine || !to.Free.Covers(c.task.Need) {
			continue
		}
		looked++
		fetch, ok := x.cluster.Fits(c.task, to)
		if !ok || found && fetch >= best.FetchTime || !x.pays(c.gain, c.cost+fetch) {
			continue
		}
		if c.remaining > 0 && c.remaining <= c.task.CheckpointTime+fetch+x.config.StartOverhead {
			continue // it ends before the move does
		}
		best, found = x.newMove(c, to, fetch), true
	}
	return best, found
}

func (x *planner) newMove(c candidate, to *Machine, fetch time.Duration) Move {
	save := time.Duration(0)
	if c.task.CheckpointInterval > 0 {
		save = c.task.CheckpointTime
	}
	return Move{
		Task:           c.task.ID,
		Team:           c.task.Team,
		Need:           c.task.Need,
		From:           c.from.ID,
		To:             to.ID,
		ExpectedWait:   c.expectedWait,
		Gain:           c.gain,
		Cost:           c.cost + fetch,
		CheckpointTime: save,
		FetchTime:      fetch,
	}
}

// expectedWait estimates for how long a task goes on waiting for a machine without a move: until
// enough of what runs there has ended by itself, or a machine that boots is there.
func (x *planner) expectedWait(w *WaitingTask, m *Machine) time.Duration {
	wait := unknownWait
	free := m.Free
	for _, e := range m.sortedCompletions() {
		if free = free.Add(e.Frees); free.Covers(w.Need) {
			wait = e.Remaining
			break
		}
	}
	if w.BootRemaining > 0 {
		wait = min(wait, w.BootRemaining)
	}
	return wait
}

// sortedCompletions lists what will leave a machine, the next to end first.
func (m *Machine) sortedCompletions() []Completion {
	if !m.completionsSorted {
		slices.SortFunc(m.Completions, func(a, b Completion) int { return cmp.Compare(a.Remaining, b.Remaining) })
		m.completionsSorted = true
	}
	return m.Completions
}

// moveCost is what a move loses beside the fetch: work since the last checkpoint, or all of it,
// the time to save and to start. A replica loses no work, and is missed for as long as it is
// away.
func (x *planner) moveCost(t *Task) time.Duration {
	lost := t.RunningFor
	if t.Replica || t.CheckpointInterval > 0 {
		lost = 0 // it has no progress, or saves it when it is stopped
	}
	return lost + t.CheckpointTime + x.config.StartOverhead
}

// applyRoomMove carries a move over into the picture, so that the next one sees it.
func (x *planner) applyRoomMove(m Move) {
	from := x.machine(m.From)
	x.addMove(m, from.Zone)
	x.beneficiaries[m.BeneficiaryID] = true
	from.Free = jobs.Resources{} // kept for the task that waits
	from.Tasks = nil
	x.sortByFree()
}

// addMove adds a move to the plan, and takes its room.
func (x *planner) addMove(m Move, zone string) {
	x.moves = append(x.moves, m)
	x.usage.count(ActiveMove{Job: m.Task.Job, Team: m.Team, From: m.From, To: m.To, Zone: zone})
	to := x.machine(m.To)
	to.Free = to.Free.Sub(m.Need)
}

func (x *planner) machine(h ident.MachineID) *Machine {
	i := slices.IndexFunc(x.byFree, func(m *Machine) bool { return m.ID == h })
	return x.byFree[i]
}
