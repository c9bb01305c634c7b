package simulator

import (
	"time"

	"opaldale/internal/settings"
)

// Config sets a run up.
type Config struct {
	Seed             uint64
	Mutation         Mutation
	Faults           bool
	ActiveDuration   time.Duration // of the part with faults and arrivals
	RollingUpgrade   bool          // all nodes are of the version in production at first, and replaced one by one
	MoreGangs        bool          // more gangs than otherwise
	Overload         bool          // small jobs of one team all the time, and large ones now and then
	NoArrivals       bool          // no jobs come by themselves
	ConcurrentFaults bool          // the faults are those of the page on two at once as well
	LinkMonitoring   bool          // the nodes watch their links
	// Rebalance is what the nodes do about uneven load.
	Rebalance settings.Rebalance
	// Tune changes the tuning of each node; nil: nothing more.
	Tune         func(*settings.Tuning)
	Nodes        int // controllers; 0: three
	LegacyNodes  int // so many of them are of the version in production, until they are replaced
	ZoneCapacity int // machines of each zone and kind that the cloud has; 0: by Fleet
	FleetSize    int // machines that the cloud has in all, with limits of teams to match; 0: a small one
	// SlowMachines is how many of the first machines are much slower than the others.
	SlowMachines int
	// Teams are those of the cluster; nil: four of different kinds.
	Teams             []settings.Team
	QuiescentDuration time.Duration // after the faults; 0: calm
	// Digest records what the controllers send; nil: nothing is recorded.
	Digest *Digest
}

// nodeCount returns how many controllers there are.
func (c Config) nodeCount() int {
	if c.Nodes > 0 {
		return c.Nodes
	}
	return 3
}

// configureLargeFleet sets the cluster up for a large fleet: as on the operators' largest, reports come
// less often.
func (sim *Simulation) configureLargeFleet() {
	for i := range sim.settings.Teams {
		sim.settings.Teams[i].CPUs *= float64(sim.cfg.FleetSize)
		sim.settings.Teams[i].CPUsMax *= float64(sim.cfg.FleetSize)
	}
	sim.settings.Workers.HeartbeatS, sim.settings.Workers.LeaseS, sim.settings.Workers.CancelS = 8, 36, 70
}
