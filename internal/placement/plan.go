package placement

import (
	"time"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// The number of tasks in a plan is limited to minPlanned, or to plannedPerMachine tasks per machine if
// that is more. This bounds the time that a planning round takes.
const (
	minPlanned        = 4000
	plannedPerMachine = 2
)

// planLimit returns the maximum number of tasks in a plan.
func planLimit(machines int) int { return max(minPlanned, plannedPerMachine*machines) }

// planInput is the bipartite graph from which a plan is computed. Its nodes are the waiting tasks, in
// groups with the same edges, and the machines; each task has edges to the holders of its image.
type planInput struct {
	groups []Group
	tasks  [][]*jobs.Task // by group, indexed as groups
}

// makePlan replaces the plan. It runs ASM1 on a graph of machines and waiting batch tasks. The graph contains
// the tasks that fit into the limits of their teams.
func (d *dispatch) makePlan() {
	began := time.Now()
	d.Stats.Rounds++
	d.clearPlans()
	if !d.config.UseASM1 {
		return
	}
	input := d.buildPlanInput()
	// The groups are ordered by precedence. Therefore the tasks in the plan of each machine are, too.
	for g, shares := range ASM1(len(d.schedulableMachines), input.groups) {
		tasks := input.tasks[g]
		for _, share := range shares {
			w := d.schedulableMachines[share.Machine]
			for _, t := range tasks[:share.Tasks] {
				w.PlannedTasks = append(w.PlannedTasks, t)
				t.PlannedMachine = w.ID
			}
			tasks = tasks[share.Tasks:]
		}
	}
	d.Stats.PlanTime += time.Since(began)
}

// clearPlans removes the previous plan from all machines and tasks.
func (d *dispatch) clearPlans() {
	for _, w := range d.machineTable.Workers {
		for _, t := range w.PlannedTasks {
			t.PlannedMachine = ""
		}
		w.PlannedTasks = nil
	}
}

// buildPlanInput groups the waiting batch tasks by job. It includes tasks up to the limit of the plan
// and what remains of the limits of their teams.
func (d *dispatch) buildPlanInput() planInput {
	machineIndex := make(map[*workers.Worker]int32, len(d.schedulableMachines))
	for i, w := range d.schedulableMachines {
		machineIndex[w] = int32(i)
	}
	var result planInput
	quotaLeft := map[string]int{} // by team, in tasks of the size that its first job has
	remaining := planLimit(len(d.schedulableMachines))
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
