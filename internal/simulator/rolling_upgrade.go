package simulator

import "time"

const (
	upgradeStart    = 40 * time.Second
	upgradeInterval = 20 * time.Second
	// limitChangeDelay is how long after the start, or after that of a rolling upgrade, the store lowers its limits.
	limitChangeDelay = 90 * time.Second
)

// rollingUpgrade restarts the nodes from i on with the new version, one after the other.
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

// gangsSupported reports whether no node runs the version in production, which has no gangs.
func (sim *Simulation) gangsSupported() bool {
	for _, n := range sim.nodes {
		if n.legacy {
			return false
		}
	}
	return true
}
