package rebalance

import (
	"cmp"
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

const (
	// maxWaiting bounds the waiting tasks that one plan considers.
	maxWaiting = 32
	// maxCandidates bounds the tasks for which a destination is searched, the cheapest to move first;
	// maxDestinations bounds the machines that are considered for each.
	maxCandidates   = 32
	maxDestinations = 64
	// unknownWait is the assumed wait if nothing is known to make room.
	unknownWait = 5 * time.Minute
)

// planner makes one plan.
type planner struct {
	config        Config
	cluster       *Cluster
	byFree        []*Machine // the most free CPUs first
	moves         []Move
	usage         budgetUse
	beneficiaries map[ident.TaskID]bool // waiting tasks that a move makes room for
}

// Plan proposes the moves whose gain is worth their cost: those that make room, in the order of the
// waiting tasks, then those off slow machines. It is deterministic. It modifies the cluster, which
// must not be used again. Its running time is proportional to the number of waiting tasks, bounded by
// maxWaiting, and to that of machines and their tasks.
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
			p.applyRoomMove(best)
		}
	}
	p.planSlowMachines()
	return p.moves
}

// newPlanner makes a planner whose budgets are used by the active moves only.
func newPlanner(config Config, cluster *Cluster) *planner {
	p := &planner{
		config:        config,
		cluster:       cluster,
		byFree:        slices.Clone(cluster.Machines),
		beneficiaries: map[ident.TaskID]bool{},
		usage:         newBudgetUse(config.Budgets),
	}
	for _, a := range cluster.ActiveMoves {
		p.usage.count(a)
		p.beneficiaries[a.BeneficiaryID] = true
	}
	p.sortByFree()
	return p
}

// sortByFree sorts the machines by their free CPUs, the most first.
func (p *planner) sortByFree() {
	slices.SortFunc(p.byFree, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(b.Free.VCPUs, a.Free.VCPUs), cmp.Compare(a.ID, b.ID))
	})
}

// candidate is a task that would make room by leaving its machine.
type candidate struct {
	task         *Task
	from         *Machine
	expectedWait time.Duration // of the waiting task, without the move
	remaining    time.Duration // until the task ends without a move; 0 if that doesn't matter
	gain         time.Duration
	cost         time.Duration // without the image pull at the destination
}

// cheapestMove finds the move of least cost that makes room for a waiting task, if there is one that
// pays and no machine has room without it.
func (p *planner) cheapestMove(w *WaitingTask) (Move, bool) {
	for _, m := range p.byFree {
		if m.Free.Covers(w.Need) && w.Allowed(m) {
			return Move{}, false
		}
	}
	var found Move
	ok := false
	for _, c := range p.candidates(w) {
		if ok && found.Cost <= c.cost {
			break // an image pull only adds to the cost
		}
		if m, pays := p.bestDestination(c); pays && (!ok || m.Cost < found.Cost) {
			found, ok = m, true
			found.BeneficiaryID = w.ID
		}
	}
	return found, ok
}

// candidates lists the tasks whose moves would make room for a waiting one, the cheapest first.
func (p *planner) candidates(w *WaitingTask) []candidate {
	var list []candidate
	for _, m := range p.byFree {
		if !p.usage.allowsSource(m) || !w.Allowed(m) {
			continue
		}
		wait := time.Duration(-1) // not known yet
		for i := range m.Tasks {
			t := &m.Tasks[i]
			if !p.wouldMakeRoom(w, m, t) {
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
			if p.pays(c.gain, c.cost) {
				list = insertCheapest(list, c)
			}
		}
	}
	return list
}

// insertCheapest inserts a candidate in the order of cost, and drops the last beyond maxCandidates.
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

// wouldMakeRoom reports whether a task may be moved for a waiting one, and its move makes enough room.
func (p *planner) wouldMakeRoom(w *WaitingTask, from *Machine, t *Task) bool {
	switch {
	case t.Need.VCPUs <= 0 || !from.Free.Add(t.Need).Covers(w.Need):
		return false
	case t.Need.Covers(w.Need):
		return false // any room for this task would do for the waiting one
	case t.ID.Job == w.ID.Job || t.PriorityLevel < w.PriorityLevel || t.RunningFor < p.config.MinRuntime:
		return false
	}
	return p.usage.allowsTask(t)
}

// pays reports whether a gain is worth its cost.
func (p *planner) pays(gain, cost time.Duration) bool {
	return float64(gain) >= p.config.GainMargin*float64(cost)
}

// bestDestination finds the move of a task to the machine with the shortest image pull, if it pays.
func (p *planner) bestDestination(c candidate) (best Move, found bool) {
	searched := 0
	for _, to := range p.byFree {
		if to.Free.VCPUs < c.task.Need.VCPUs || searched >= maxDestinations {
			break // the machines after it have no more room
		}
		if to == c.from || !p.usage.allowsMachine(to) || !to.Free.Covers(c.task.Need) {
			continue
		}
		searched++
		pullTime, ok := p.cluster.Fits(c.task, to)
		if !ok || found && pullTime >= best.ImagePullTime || !p.pays(c.gain, c.cost+pullTime) {
			continue
		}
		if c.remaining > 0 && c.remaining <= c.task.CheckpointTime+pullTime+p.config.StartOverhead {
			continue // the task ends before the move would
		}
		best, found = p.newMove(c, to, pullTime), true
	}
	return best, found
}

// newMove makes a proposal from a candidate and its destination.
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

// expectedWait estimates how much longer a task waits for room on a machine without a move: until
// enough tasks there have completed, or a machine has booted.
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

// sortedCompletions returns the expected completions on a machine, the next one first. It sorts them
// once.
func (m *Machine) sortedCompletions() []Completion {
	if !m.completionsSorted {
		slices.SortFunc(m.Completions, func(a, b Completion) int { return cmp.Compare(a.Remaining, b.Remaining) })
		m.completionsSorted = true
	}
	return m.Completions
}

// moveCost returns the cost of a move without the image pull: the work that is lost if the task writes
// no checkpoints, and the time for the checkpoint and the start. A replica loses no work, but is down
// for that time.
func (p *planner) moveCost(t *Task) time.Duration {
	lost := t.RunningFor
	if t.Replica || t.CheckpointInterval > 0 {
		lost = 0 // it has no progress, or writes a checkpoint when it is stopped
	}
	return lost + t.CheckpointTime + p.config.StartOverhead
}

// applyRoomMove adds a move that makes room to the plan. The room is reserved for the beneficiary, and
// the plan moves no other task off the machine.
func (p *planner) applyRoomMove(m Move) {
	from := p.machine(m.From)
	p.addMove(m, from.Zone)
	p.beneficiaries[m.BeneficiaryID] = true
	from.Free = jobs.Resources{}
	from.Tasks = nil
	p.sortByFree()
}

// addMove adds a move to the plan and takes its room at the destination.
func (p *planner) addMove(m Move, zone string) {
	p.moves = append(p.moves, m)
	p.usage.count(ActiveMove{Job: m.Task.Job, Team: m.Team, From: m.From, To: m.To, Zone: zone})
	to := p.machine(m.To)
	to.Free = to.Free.Sub(m.Need)
}

// machine returns the machine with an ID, which must be in the cluster.
func (p *planner) machine(id ident.MachineID) *Machine {
	i := slices.IndexFunc(p.byFree, func(m *Machine) bool { return m.ID == id })
	return p.byFree[i]
}
