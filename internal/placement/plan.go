package placement

import (
	"time"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// The bound on the tasks that a plan covers, and with it on its time: so many, or a few
// for each machine where the fleet is larger.
const (
	minPlanned        = 4000
	plannedPerMachine = 2
)

// planLimit returns the number of tasks that a plan may cover.
func planLimit(machines int) int { return max(minPlanned, plannedPerMachine*machines) }

// demand is what a plan is made for: tasks of jobs, each group with the machines that hold its
// image.
type demand struct {
	groups []Group
	tasks  [][]*jobs.Task // of each group
}

// plan joins the waiting array tasks within their teams' limits to the machines
// that hold their image and could fit them, and runs ASM1.
func (p *Planner) plan() {
	began := time.Now()
	p.Stats.Rounds++
	p.clearPlans()
	if !p.asm1 {
		return
	}
	d := p.demand()
	for g, owners := range ASM1(len(p.order), d.groups) {
		// Tasks come by priority, then arrival, and so does each plan.
		at := 0
		for _, o := range owners {
			w := p.order[o.Machine]
			for _, t := range d.tasks[g][at : at+o.Tasks] {
				w.PlannedTasks = append(w.PlannedTasks, t)
				t.PlannedMachine = w.ID
			}
			at += o.Tasks
		}
	}
	p.Stats.Took += time.Since(began)
}

// clearPlans takes the plan before back.
func (p *Planner) clearPlans() {
	for _, w := range p.fleet.Workers {
		for _, t := range w.PlannedTasks {
			t.PlannedMachine = ""
		}
		w.PlannedTasks = nil
	}
}

// demand gathers the waiting tasks, as many as a plan may cover and their teams' limits admit.
func (p *Planner) demand() demand {
	place := make(map[*workers.Worker]int32, len(p.order))
	for i, w := range p.order {
		place[w] = int32(i)
	}
	var d demand
	room := map[string]int{} // by team
	left := planLimit(len(p.order))
	for _, j := range p.arrays {
		admitted, ok := room[j.Spec.Team]
		if !ok {
			admitted = p.teams.Room(j.Spec)
		}
		tasks := j.WaitingTasks(min(admitted, left))
		room[j.Spec.Team] = admitted - len(tasks)
		left -= len(tasks)
		if len(tasks) == 0 {
			continue
		}
		g := Group{Tasks: len(tasks)}
		for _, w := range p.holding(j.Spec.Image) {
			if w.Allows(j.Spec) && !j.AvoidedMachines[w.ID] {
				g.Machines = append(g.Machines, place[w])
			}
		}
		d.groups = append(d.groups, g)
		d.tasks = append(d.tasks, tasks)
	}
	return d
}
