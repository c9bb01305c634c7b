package rebalance

import "time"

// planSlowMachines proposes moves of tasks away from slow machines: for each machine the move with the
// largest net gain.
func (p *planner) planSlowMachines() {
	for _, s := range p.cluster.SlowMachines {
		if p.usage.clusterFull() {
			return
		}
		if !p.usage.allowsSource(&s.Machine) {
			continue
		}
		if m, ok := p.bestMoveFromSlowMachine(s); ok {
			p.addMove(m, s.Zone)
			p.sortByFreeCPUs()
		}
	}
}

// bestMoveFromSlowMachine returns the worthwhile move from a slow machine with the largest net gain, and
// false if there is none.
func (p *planner) bestMoveFromSlowMachine(s *SlowMachine) (best Move, found bool) {
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if t.EstimatedRuntime <= 0 || t.RunningFor < p.config.MinRuntime || !p.usage.allowsTask(t) {
			continue
		}
		c := candidate{
			task: t,
			from: &s.Machine,
			gain: t.timeSaved(s.Slowness), // includes the loss of work without checkpoints
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

// timeSaved estimates how much sooner a task would complete on a machine of normal speed, without the time
// for the move. A task without checkpoints starts from the beginning there.
func (t *Task) timeSaved(slowness float64) time.Duration {
	here := time.Duration(float64(t.EstimatedRuntime)*slowness) - t.RunningFor
	there := t.EstimatedRuntime
	if t.CheckpointInterval > 0 {
		there -= time.Duration(float64(t.RunningFor) / slowness)
	}
	return here - there
}
