package rebalance

import (
	"cmp"
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

const (
	// maxWaiting is the maximum number of waiting tasks that one plan considers.
	maxWaiting = 32
	// maxCandidates is the maximum number of running tasks, those with the lowest cost, for which a
	// destination is searched per waiting task. maxDestinations is the maximum number of machines
	// considered for each.
	maxCandidates   = 32
	maxDestinations = 64
	// unknownWait is the assumed wait if neither completions nor a booting machine are known to provide
	// enough capacity.
	unknownWait = 5 * time.Minute
)

// planner holds the state of one call of Plan.
type planner struct {
	config        Config
	cluster       *Cluster
	byFreeCPUs    []*Machine // sorted by free CPUs, the most first
	moves         []Move
	usage         budgetUse
	beneficiaries map[ident.TaskID]bool // waiting tasks for which a move frees capacity
}

// Plan proposes moves whose gain justifies their cost: first those that free capacity, in the order of the
// waiting tasks, then those away from slow machines. It is deterministic. It modifies the cluster, which
// must not be used again. Its running time is proportional to the number of waiting tasks, of which it
// considers at most maxWaiting, and to the number of machines and their tasks.
func Plan(config Config, cluster *Cluster) []Move {
	p := newPlanner(config, cluster)
	for i := range cluster.Waiting[:min(len(cluster.Waiting), maxWaiting)] {
		if p.usage.clusterFull() {
			break
		}
		w := &cluster.Waiting[i]
		if w.WaitedFor < config.MinWait || p.beneficiaries[w.ID] {
			continue
		}
		if best, ok := p.cheapestMove(w); ok {
			p.applyCapacityMove(best)
		}
	}
	p.planSlowMachines()
	return p.moves
}

// newPlanner returns a planner that has counted the active moves against the budgets.
func newPlanner(config Config, cluster *Cluster) *planner {
	p := &planner{
		config:        config,
		cluster:       cluster,
		byFreeCPUs:    slices.Clone(cluster.Machines),
		beneficiaries: map[ident.TaskID]bool{},
		usage:         newBudgetUse(config.Budgets),
	}
	for _, a := range cluster.ActiveMoves {
		p.usage.count(a)
		p.beneficiaries[a.BeneficiaryID] = true
	}
	p.sortByFreeCPUs()
	return p
}

// sortByFreeCPUs sorts the machines by their free CPUs in descending order.
func (p *planner) sortByFreeCPUs() {
	slices.SortFunc(p.byFreeCPUs, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(b.Free.VCPUs, a.Free.VCPUs), cmp.Compare(a.ID, b.ID))
	})
}

// candidate is a running task whose move is considered.
type candidate struct {
	task         *Task
	from         *Machine
	expectedWait time.Duration // remaining wait of the waiting task without the move
	remaining    time.Duration // until the candidate completes without a move; 0 if it is not taken into account
	gain         time.Duration
	cost         time.Duration // without the image pull at the destination
}

// cheapestMove returns the worthwhile move with the lowest cost that frees enough capacity for a waiting
// task. It returns false if there is none, or if a machine has enough free capacity without a move.
func (p *planner) cheapestMove(w *WaitingTask) (Move, bool) {
	for _, m := range p.byFreeCPUs {
		if m.Free.Covers(w.Need) && w.Allowed(m) {
			return Move{}, false
		}
	}
	var found Move
	ok := false
	for _, c := range p.candidates(w) {
		if ok && found.Cost <= c.cost {
			break // the image pull would add to a cost that is too high already
		}
		if m, pays := p.bestDestination(c); pays && (!ok || m.Cost < found.Cost) {
			found, ok = m, true
			found.BeneficiaryID = w.ID
		}
	}
	return found, ok
}

// candidates returns the tasks whose moves would free enough capacity for a waiting task and be worthwhile
// without an image pull, sorted by cost. It returns at most maxCandidates.
func (p *planner) candidates(w *WaitingTask) []candidate {
	var list []candidate
	for _, m := range p.byFreeCPUs {
		if !p.usage.allowsSource(m) || !w.Allowed(m) {
			continue
		}
		wait := time.Duration(-1) // not computed yet
		for i := range m.Tasks {
			t := &m.Tasks[i]
			if !p.wouldFreeEnough(w, m, t) {
				continue
			}
			if wait < 0 {
				wait = p.expectedWait(w, m)
			}
			c := candidate{
				task:         t,
				from:         m,
				expectedWait: wait,
				remaining:    t.Remaining,
				gain:         wait - t.CheckpointTime - p.config.StartOverhead,
				cost:         p.moveCost(t),
			}
			if p.isWorthwhile(c.gain, c.cost) {
				list = insertCheapest(list, c)
			}
		}
	}
	return list
}

// insertCheapest inserts a candidate into a list sorted by cost, and drops the most expensive one beyond
// maxCandidates.
func insertCheapest(list []candidate, c candidate) []candidate {
	at, _ := slices.BinarySearchFunc(list, c, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(a.from.ID, b.from.ID),
			cmp.Compare(a.task.ID.Job, b.task.ID.Job),
			cmp.Compare(a.task.ID.Index, b.task.ID.Index),
		)
	})
	if at >= maxCandidates {
		return list
	}
	list = slices.Insert(list, at, c)
	return list[:min(len(list), maxCandidates)]
}

// wouldFreeEnough reports whether a task may be moved for a waiting one, and the move would free enough
// capacity for the waiting task.
func (p *planner) wouldFreeEnough(w *WaitingTask, from *Machine, t *Task) bool {
	switch {
	case t.Need.VCPUs <= 0 || !from.Free.Add(t.Need).Covers(w.Need):
		return false
	case t.Need.Covers(w.Need):
		return false // any destination of this task could run the waiting task instead
	case t.ID.Job == w.ID.Job || t.PriorityLevel < w.PriorityLevel || t.RunningFor < p.config.MinRuntime:
		return false
	}
	return p.usage.allowsTask(t)
}

// isWorthwhile reports whether a gain is at least GainMargin times the cost.
func (p *planner) isWorthwhile(gain, cost time.Duration) bool {
	return float64(gain) >= p.config.GainMargin*float64(cost)
}

// bestDestination returns the worthwhile move of a candidate to the machine with the shortest image pull,
// and false if there is none.
func (p *planner) bestDestination(c candidate) (best Move, found bool) {
	searched := 0
	for _, to := range p.byFreeCPUs {
		if to.Free.VCPUs < c.task.Need.VCPUs || searched >= maxDestinations {
			break // the remaining machines have even fewer free CPUs
		}
		if to == c.from || !p.usage.allowsMachine(to) || !to.Free.Covers(c.task.Need) {
			continue
		}
		searched++
		pullTime, ok := p.cluster.Fits(c.task, to)
		if !ok || found && pullTime >= best.ImagePullTime || !p.isWorthwhile(c.gain, c.cost+pullTime) {
			continue
		}
		if c.remaining > 0 && c.remaining <= c.task.CheckpointTime+pullTime+p.config.StartOverhead {
			continue // the task would complete before the end of the move
		}
		best, found = p.newMove(c, to, pullTime), true
	}
	return best, found
}

// newMove returns the proposed move of a candidate to a destination.
func (p *planner) newMove(c candidate, to *Machine, pullTime time.Duration) Move {
	checkpointTime := time.Duration(0)
	if c.task.CheckpointInterval > 0 {
		checkpointTime = c.task.CheckpointTime
	}
	return Move{
		Task:           c.task.ID,
		Team:           c.task.Team,
		Need:           c.task.Need,
		From:           c.from.ID,
		To:             to.ID,
		ExpectedWait:   c.expectedWait,
		Gain:           c.gain,
		Cost:           c.cost + pullTime,
		CheckpointTime: checkpointTime,
		ImagePullTime:  pullTime,
	}
}

// expectedWait estimates the remaining wait of a task for capacity without a move: until enough tasks on
// the machine have completed, or a booting machine is up. It returns unknownWait if neither is known.
func (p *planner) expectedWait(w *WaitingTask, m *Machine) time.Duration {
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

// sortedCompletions returns the expected completions on a machine, the earliest first. It sorts them only
// once.
func (m *Machine) sortedCompletions() []Completion {
	if !m.completionsSorted {
		slices.SortFunc(m.Completions, func(a, b Completion) int { return cmp.Compare(a.Remaining, b.Remaining) })
		m.completionsSorted = true
	}
	return m.Completions
}

// moveCost returns the cost of a move without the image pull: the time for the checkpoint and the start,
// and the work that is lost if the task writes no checkpoints. A replica of a service loses no work, but
// is down during the move.
func (p *planner) moveCost(t *Task) time.Duration {
	lost := t.RunningFor
	if t.Replica || t.CheckpointInterval > 0 {
		lost = 0 // a replica has no work to lose, and other tasks write a checkpoint when they are stopped
	}
	return lost + t.CheckpointTime + p.config.StartOverhead
}

// applyCapacityMove adds a move that frees capacity to the plan. The source machine's capacity is reserved
// for the beneficiary, and the plan moves no other task from that machine.
func (p *planner) applyCapacityMove(m Move) {
	from := p.machine(m.From)
	p.addMove(m, from.Zone)
	p.beneficiaries[m.BeneficiaryID] = true
	from.Free = jobs.Resources{}
	from.Tasks = nil
	p.sortByFreeCPUs()
}

// addMove adds a move to the plan and subtracts its resources from the free capacity of the destination.
func (p *planner) addMove(m Move, zone string) {
	p.moves = append(p.moves, m)
	p.usage.count(ActiveMove{Job: m.Task.Job, Team: m.Team, From: m.From, To: m.To, Zone: zone})
	to := p.machine(m.To)
	to.Free = to.Free.Sub(m.Need)
}

// machine returns the machine with an ID, which must be in the cluster.
func (p *planner) machine(id ident.MachineID) *Machine {
	i := slices.IndexFunc(p.byFreeCPUs, func(m *Machine) bool { return m.ID == id })
	return p.byFreeCPUs[i]
}
