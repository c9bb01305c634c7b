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
	// maxSources bounds the cheapest moves off a machine for which a destination is looked
	// for, and maxDestinations the machines with room that are looked at for each.
	maxSources      = 32
	maxDestinations = 64
	// foreverWait stands for a wait whose end nobody knows.
	foreverWait = 5 * time.Minute
)

// planner makes one plan.
type planner struct {
	config  Config
	picture *Picture
	byFree  []*Machine // most room first
	moves   []Move
	used    budgetUse
	served  map[ident.TaskID]bool // waiting tasks that a move is for
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
func Plan(c Config, p *Picture) []Move {
	x := newPlanner(c, p)
	for i := range p.Waiting[:min(len(p.Waiting), maxWaiting)] {
		if x.used.cluster >= c.Budgets.Cluster {
			break
		}
		w := &p.Waiting[i]
		if w.Waited < c.Patience || x.served[w.ID] {
			continue
		}
		if best, ok := x.best(w); ok {
			x.take(best)
		}
	}
	x.leaveSlow()
	return x.moves
}

func newPlanner(c Config, p *Picture) *planner {
	x := &planner{
		config:  c,
		picture: p,
		byFree:  slices.Clone(p.Machines),
		served:  map[ident.TaskID]bool{},
		used:    newUse(),
	}
	for _, a := range p.Active {
		x.used.count(a)
		x.served[a.For] = true
	}
	x.sort()
	return x
}

func newUse() budgetUse {
	return budgetUse{machines: map[ident.MachineID]int{}, zones: map[string]int{}, teams: map[string]int{}, jobs: map[ident.JobID]int{}}
}

// count takes a move under way, or one that is proposed, into account.
func (u *budgetUse) count(a Active) {
	u.cluster++
	u.machines[a.From]++
	u.machines[a.To]++
	u.zones[a.Zone]++
	u.teams[a.Team]++
	u.jobs[a.Job]++
}

// sort brings the machines into the order of their room.
func (x *planner) sort() {
	slices.SortFunc(x.byFree, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(b.Free.VCPUs, a.Free.VCPUs), cmp.Compare(a.Host, b.Host))
	})
}

// candidate is a task that would make room by leaving its machine.
type candidate struct {
	task *Task
	from *Machine
	wait time.Duration // of the waiting task, without the move
	left time.Duration // until the task ends by itself; 0: that doesn't matter
	gain time.Duration
	cost time.Duration // without the fetch at the destination
}

// best finds the move that lets a waiting task start for the least cost, if there is one that
// pays and no machine has room without it.
func (x *planner) best(w *Waiting) (Move, bool) {
	for _, m := range x.byFree {
		if m.Free.Covers(w.Need) && w.Allowed(m) {
			return Move{}, false
		}
	}
	var found Move
	ok := false
	for _, c := range x.sources(w) {
		if ok && found.Cost <= c.cost {
			break // a fetch only adds to the cost
		}
		if m, pays := x.destination(c); pays && (!ok || m.Cost < found.Cost) {
			found, ok = m, true
			found.For = w.ID
		}
	}
	return found, ok
}

// sources lists the tasks by whose leaving a waiting one would find room, the cheapest first.
func (x *planner) sources(w *Waiting) []candidate {
	var list []candidate
	for _, m := range x.byFree {
		if x.used.machines[m.Host] >= x.config.Budgets.Machine || x.used.zones[m.Zone] >= x.config.Budgets.Zone || !w.Allowed(m) {
			continue
		}
		wait := time.Duration(-1) // not worked out yet
		for i := range m.Tasks {
			t := &m.Tasks[i]
			if !x.movable(w, m, t) {
				continue
			}
			if wait < 0 {
				wait = x.wait(w, m)
			}
			c := candidate{task: t, from: m, wait: wait, left: t.Left, gain: wait - t.Save - x.config.Start, cost: x.cost(t)}
			if x.pays(c.gain, c.cost) {
				list = insert(list, c)
			}
		}
	}
	return list
}

// insert keeps the cheapest candidates in their order.
func insert(list []candidate, c candidate) []candidate {
	at, _ := slices.BinarySearchFunc(list, c, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.from.Host, b.from.Host), cmp.Compare(a.task.ID.Job, b.task.ID.Job),
			cmp.Compare(a.task.ID.Index, b.task.ID.Index))
	})
	if at >= maxSources {
		return list
	}
	list = slices.Insert(list, at, c)
	return list[:min(len(list), maxSources)]
}

// movable says whether a task may be moved for a waiting one, and makes enough room by it.
func (x *planner) movable(w *Waiting, from *Machine, t *Task) bool {
	budgets := x.config.Budgets
	switch {
	case t.Need.VCPUs <= 0 || !from.Free.Add(t.Need).Covers(w.Need):
		return false
	case t.Need.Covers(w.Need):
		return false // it would need no less room elsewhere
	case t.ID.Job == w.ID.Job || t.Level < w.Level || t.Ran < x.config.MinRan:
		return false
	}
	return x.used.teams[t.Team] < budgets.Team && t.Moved+x.used.jobs[t.ID.Job] < budgets.Job
}

func (x *planner) pays(gain, cost time.Duration) bool {
	return float64(gain) >= x.config.Margin*float64(cost)
}

// destination finds the machine to which a task goes with the least to fetch, if that pays.
func (x *planner) destination(c candidate) (best Move, found bool) {
	looked := 0
	for _, to := range x.byFree {
		if to.Free.VCPUs < c.task.Need.VCPUs || looked >= maxDestinations {
			break // none after it has more
		}
		if to == c.from || x.used.machines[to.Host] >= x.config.Budgets.Machine || !to.Free.Covers(c.task.Need) {
			continue
		}
		looked++
		fetch, ok := x.picture.Fits(c.task, to)
		if !ok || found && fetch >= best.Fetch || !x.pays(c.gain, c.cost+fetch) {
			continue
		}
		if c.left > 0 && c.left <= c.task.Save+fetch+x.config.Start {
			continue // it ends before the move does
		}
		best, found = x.move(c, to, fetch), true
	}
	return best, found
}

func (x *planner) move(c candidate, to *Machine, fetch time.Duration) Move {
	save := time.Duration(0)
	if c.task.Saves > 0 {
		save = c.task.Save
	}
	return Move{
		Task:  c.task.ID,
		Team:  c.task.Team,
		Need:  c.task.Need,
		From:  c.from.Host,
		To:    to.Host,
		Wait:  c.wait,
		Gain:  c.gain,
		Cost:  c.cost + fetch,
		Save:  save,
		Fetch: fetch,
	}
}

// wait estimates for how long a task goes on waiting for a machine without a move: until
// enough of what runs there has ended by itself, or a machine that boots is there.
func (x *planner) wait(w *Waiting, m *Machine) time.Duration {
	wait := foreverWait
	free := m.Free
	for _, e := range m.byEnd() {
		if free = free.Add(e.Need); free.Covers(w.Need) {
			wait = e.Left
			break
		}
	}
	if w.Arriving > 0 {
		wait = min(wait, w.Arriving)
	}
	return wait
}

// byEnd lists what will leave a machine, the next to end first.
func (m *Machine) byEnd() []End {
	if !m.sorted {
		slices.SortFunc(m.Ends, func(a, b End) int { return cmp.Compare(a.Left, b.Left) })
		m.sorted = true
	}
	return m.Ends
}

// cost is what a move loses beside the fetch: work since the last checkpoint, or all of it,
// the time to save and to start. A replica loses no work, and is missed for as long as it is
// away.
func (x *planner) cost(t *Task) time.Duration {
	lost := t.Ran
	if t.Replica || t.Saves > 0 {
		lost = 0 // it has no progress, or saves it when it is stopped
	}
	return lost + t.Save + x.config.Start
}

// take carries a move over into the picture, so that the next one sees it.
func (x *planner) take(m Move) {
	from := x.machine(m.From)
	x.count(m, from.Zone)
	x.served[m.For] = true
	from.Free = jobs.Resources{} // kept for the task that waits
	from.Tasks = nil
	x.sort()
}

// count adds a move to the plan, and takes its room.
func (x *planner) count(m Move, zone string) {
	x.moves = append(x.moves, m)
	x.used.count(Active{Job: m.Task.Job, Team: m.Team, From: m.From, To: m.To, Zone: zone})
	to := x.machine(m.To)
	to.Free = to.Free.Sub(m.Need)
}

func (x *planner) machine(h ident.MachineID) *Machine {
	i := slices.IndexFunc(x.byFree, func(m *Machine) bool { return m.Host == h })
	return x.byFree[i]
}
