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
	if !p.config.UseASM1 {
		return
	}
	d := p.demand()
	for g, owners := range ASM1(len(p.openMachines), d.groups) {
		// Tasks come by priority, then arrival, and so does each plan.
		at := 0
		for _, o := range owners {
			w := p.openMachines[o.Machine]
			for _, t := range d.tasks[g][at : at+o.Tasks] {
				w.PlannedTasks = append(w.PlannedTasks, t)
				t.PlannedMachine = w.ID
			}
			at += o.Tasks
		}
	}
	p.Stats.PlanTime += time.Since(began)
}

// clearPlans takes the plan before back.
func (p *Planner) clearPlans() {
	for _, w := range p.machineTable.Workers {
		for _, t := range w.PlannedTasks {
			t.PlannedMachine = ""
		}
		w.PlannedTasks = nil
	}
}

// demand gathers the waiting tasks, as many as a plan may cover and their teams' limits admit.
func (p *Planner) demand() demand {
	machineIndex := make(map[*workers.Worker]int32, len(p.openMachines))
	for i, w := range p.openMachines {
		machineIndex[w] = int32(i)
	}
	var result demand
	quotaLeft := map[string]int{} // by team
	remaining := planLimit(len(p.openMachines))
	for _, j := range p.batchJobs {
		admitted, ok := quotaLeft[j.Spec.Team]
		if !ok {
			admitted = p.teams.RemainingTasks(j.Spec)
		}
		tasks := j.WaitingTasks(min(admitted, remaining))
		quotaLeft[j.Spec.Team] = admitted - len(tasks)
		remaining -= len(tasks)
		if len(tasks) == 0 {
			continue
		}
		group := Group{Tasks: len(tasks)}
		for _, w := range p.holdersOf(j.Spec.Image) {
			if w.Allows(j.Spec) && !j.AvoidedMachines[w.ID] {
				group.Machines = append(group.Machines, machineIndex[w])
			}
		}
		result.groups = append(result.groups, group)
		result.tasks = append(result.tasks, tasks)
	}
	return result
}
