package rebalance

import "time"

// leaveSlow proposes moves of tasks off slow machines, for the largest gain on each.
func (x *planner) leaveSlow() {
	budgets := x.config.Budgets
	for _, s := range x.picture.Slow {
		if x.used.cluster >= budgets.Cluster {
			return
		}
		if x.used.machines[s.Host] >= budgets.Machine || x.used.zones[s.Zone] >= budgets.Zone {
			continue
		}
		if m, ok := x.bestOff(s); ok {
			x.count(m, s.Zone)
			x.sort()
		}
	}
}

// bestOff finds the task on a slow machine that gains most by going elsewhere, if any gains
// enough.
func (x *planner) bestOff(s *Slow) (best Move, found bool) {
	budgets := x.config.Budgets
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if t.Whole <= 0 || t.Ran < x.config.MinRan || x.used.teams[t.Team] >= budgets.Team || t.Moved+x.used.jobs[t.ID.Job] >= budgets.Job {
			continue
		}
		// What is lost of a task that doesn't save is in the gain: it begins anew.
		c := candidate{task: t, from: &s.Machine, gain: t.sooner(s.Slowness), cost: t.Save + x.config.Start}
		m, ok := x.destination(c)
		if ok && (!found || m.Gain-m.Cost > best.Gain-best.Cost) {
			best, found = m, true
			best.Source = LeavesSlow
		}
	}
	return best, found
}

// sooner estimates by how much a task would end sooner on a usual machine, the move itself
// aside.
func (t *Task) sooner(slowness float64) time.Duration {
	here := time.Duration(float64(t.Whole)*slowness) - t.Ran
	there := t.Whole
	if t.Saves > 0 {
		there -= time.Duration(float64(t.Ran) / slowness)
	}
	return here - there
}
