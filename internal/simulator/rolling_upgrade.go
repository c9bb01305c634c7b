package simulator

import "time"

const (
	// upgradeStart is when a rolling upgrade begins, and upgradeInterval the time between the upgrades of two nodes.
	upgradeStart    = 40 * time.Second
	upgradeInterval = 20 * time.Second
	// limitChangeDelay is the time after which the store applies its announced limits, counted from the start of the run or
	// of the rolling upgrade.
	limitChangeDelay = 90 * time.Second
)

// rollingUpgrade restarts the nodes from index i on with the new version, one at a time.
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

// gangsSupported reports whether all nodes support gangs, which the version in production does not.
func (sim *Simulation) gangsSupported() bool {
	for _, n := range sim.nodes {
		if n.legacy {
			return false
		}
	}
	return true
}
