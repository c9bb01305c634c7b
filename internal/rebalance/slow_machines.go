package rebalance

import "time"

// planSlowMachines proposes moves of tasks off slow machines, on each the one with the largest net
// gain.
func (p *planner) planSlowMachines() {
	for _, s := range p.cluster.SlowMachines {
		if p.usage.clusterFull() {
			return
		}
		if !p.usage.allowsSource(&s.Machine) {
			continue
		}
		if m, ok := p.bestMoveOff(s); ok {
			p.addMove(m, s.Zone)
			p.sortByFree()
		}
	}
}

// bestMoveOff finds the task on a slow machine that gains most by moving elsewhere, if any gains
// enough.
func (p *planner) bestMoveOff(s *SlowMachine) (best Move, found bool) {
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if t.EstimatedRuntime <= 0 || t.RunningFor < p.config.MinRuntime || !p.usage.allowsTask(t) {
			continue
		}
		c := candidate{
			task: t,
			from: &s.Machine,
			gain: t.timeSaved(s.Slowness), // accounts for work lost without checkpoints
			cost: t.CheckpointTime + p.config.StartOverhead,
		}
		m, ok := p.bestDestination(c)
		if ok && (!found || m.Gain-m.Cost > best.Gain-best.Cost) {
			best, found = m, true
			best.Purpose = LeavesSlowMachine
		}
	}
	return best, found
}

// timeSaved estimates by how much a task would end sooner on a machine of usual speed, apart from
// the time for the move. Without checkpoints it starts over there.
func (t *Task) timeSaved(slowness float64) time.Duration {
	here := time.Duration(float64(t.EstimatedRuntime)*slowness) - t.RunningFor
	there := t.EstimatedRuntime
	if t.CheckpointInterval > 0 {
		there -= time.Duration(float64(t.RunningFor) / slowness)
	}
	return here - there
}
