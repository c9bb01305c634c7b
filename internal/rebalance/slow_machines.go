package rebalance

import "time"

// planSlowMachines proposes moves of tasks off slow machines, for the largest gain on each.
func (x *planner) planSlowMachines() {
	budgets := x.config.Budgets
	for _, s := range x.cluster.SlowMachines {
		if x.usage.cluster >= budgets.Cluster {
			return
		}
		if x.usage.machines[s.ID] >= budgets.Machine || x.usage.zones[s.Zone] >= budgets.Zone {
			continue
		}
		if m, ok := x.bestMoveOff(s); ok {
			x.addMove(m, s.Zone)
			x.sortByFree()
		}
	}
}

// bestMoveOff finds the task on a slow machine that gains most by going elsewhere, if any gains
// enough.
func (x *planner) bestMoveOff(s *SlowMachine) (best Move, found bool) {
	budgets := x.config.Budgets
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if t.EstimatedRuntime <= 0 || t.RunningFor < x.config.MinRuntime || x.usage.teams[t.Team] >= budgets.Team || t.MoveCount+x.usage.jobs[t.ID.Job] >= budgets.Job {
			continue
		}
		// What is lost of a task that doesn't save is in the gain: it begins anew.
		c := candidate{task: t, from: &s.Machine, gain: t.timeSaved(s.Slowness), cost: t.CheckpointTime + x.config.StartOverhead}
		m, ok := x.bestDestination(c)
		if ok && (!found || m.Gain-m.Cost > best.Gain-best.Cost) {
			best, found = m, true
			best.Purpose = LeavesSlowMachine
		}
	}
	return best, found
}

// timeSaved estimates by how much a task would end sooner on a usual machine, the move itself
// aside.
func (t *Task) timeSaved(slowness float64) time.Duration {
	here := time.Duration(float64(t.EstimatedRuntime)*slowness) - t.RunningFor
	there := t.EstimatedRuntime
	if t.CheckpointInterval > 0 {
		there -= time.Duration(float64(t.RunningFor) / slowness)
	}
	return here - there
}
