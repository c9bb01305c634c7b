package placement

import (
	"time"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// A plan covers at most minPlanned tasks, or plannedPerMachine tasks per machine where that is more.
// This bounds the time for making it.
const (
	minPlanned        = 4000
	plannedPerMachine = 2
)

// planLimit returns the number of tasks that a plan may cover.
func planLimit(machines int) int { return max(minPlanned, plannedPerMachine*machines) }

// demand is the input of a plan: the bipartite graph of waiting tasks, in groups with the same
// edges, and of the machines that hold their images.
type demand struct {
	groups []Group
	tasks  [][]*jobs.Task // of each group
}

// makePlan joins the waiting batch tasks within their teams' quota to the machines that hold their
// image, and runs ASM1 on that graph.
func (d *dispatch) makePlan() {
	began := time.Now()
	d.Stats.Rounds++
	d.clearPlans()
	if !d.config.UseASM1 {
		return
	}
	waiting := d.gatherDemand()
	// Groups are in the order of precedence, and so are the tasks in each machine's plan.
	for g, shares := range ASM1(len(d.openMachines), waiting.groups) {
		tasks := waiting.tasks[g]
		for _, share := range shares {
			w := d.openMachines[share.Machine]
			for _, t := range tasks[:share.Tasks] {
				w.PlannedTasks = append(w.PlannedTasks, t)
				t.PlannedMachine = w.ID
			}
			tasks = tasks[share.Tasks:]
		}
	}
	d.Stats.PlanTime += time.Since(began)
}

// clearPlans withdraws the previous plan.
func (d *dispatch) clearPlans() {
	for _, w := range d.machineTable.Workers {
		for _, t := range w.PlannedTasks {
			t.PlannedMachine = ""
		}
		w.PlannedTasks = nil
	}
}

// gatherDemand groups the waiting tasks by job, as many as a plan may cover and their teams' quotas
// admit.
func (d *dispatch) gatherDemand() demand {
	machineIndex := make(map[*workers.Worker]int32, len(d.openMachines))
	for i, w := range d.openMachines {
		machineIndex[w] = int32(i)
	}
	var result demand
	quotaLeft := map[string]int{} // by team
	remaining := planLimit(len(d.openMachines))
	for _, j := range d.batchJobs {
		admitted, ok := quotaLeft[j.Spec.Team]
		if !ok {
			admitted = d.teams.RemainingTasks(j.Spec)
		}
		tasks := j.WaitingTasks(min(admitted, remaining))
		quotaLeft[j.Spec.Team] = admitted - len(tasks)
		remaining -= len(tasks)
		if len(tasks) == 0 {
			continue
		}
		group := Group{Tasks: len(tasks)}
		for _, w := range d.holdersOf(j.Spec.Image) {
			if allows(w, j) {
				group.Machines = append(group.Machines, machineIndex[w])
			}
		}
		result.groups = append(result.groups, group)
		result.tasks = append(result.tasks, tasks)
	}
	return result
}
