package simulator

import "time"

const (
	upgradeStart    = 40 * time.Second
	upgradeInterval = 20 * time.Second
	// limitChangeDelay is when the state service lowers its limits, or so long after an upgrade
	// has begun.
	limitChangeDelay = 90 * time.Second
)

// rollingUpgrade replaces the nodes by new ones, one after the other.
func (sim *Simulation) rollingUpgrade(i int) {
	if i == len(sim.nodes) {
		return
	}
	n := sim.nodes[i]
	if !n.alive {
		sim.schedule(upgradeInterval/4, func() { sim.rollingUpgrade(i) })
		return
	}
	n.legacy = false
	n.crash(upgradeInterval / 4)
	sim.schedule(upgradeInterval, func() { sim.rollingUpgrade(i + 1) })
}

// gangsSupported says whether users may ask for what only new nodes know.
func (sim *Simulation) gangsSupported() bool {
	for _, n := range sim.nodes {
		if n.legacy {
			return false
		}
	}
	return true
}
