package simulator

import (
	"cmp"
	"time"

	"opaldale/internal/settings"
)

// Config configures a run. The zero value of a field selects its default.
type Config struct {
	// Seed seeds the random number generator. Two runs with the same configuration behave identically.
	Seed uint64
	// Mutation disables one safeguard of the protocol, to test that the checks detect its absence.
	Mutation Mutation
	// ActiveDuration is the part of the run in which jobs arrive and faults are injected. QuiescentDuration is the part
	// after it, in which running work can complete.
	ActiveDuration, QuiescentDuration time.Duration
	// Faults enables random faults. ConcurrentFaults adds more kinds of faults and lets several of them overlap.
	Faults, ConcurrentFaults bool
	// CopiedRequests makes copies of answered requests to the store, the cloud and the controllers arrive late.
	CopiedRequests bool
	// NoArrivals disables random job arrivals, so that only the scenario submits jobs. MoreGangs raises the share of gangs
	// among the arrivals. Overload submits more work than the fleet has capacity for.
	NoArrivals, MoreGangs, Overload bool
	// RollingUpgrade starts all nodes on the version in production and upgrades them one by one. Without RollingUpgrade,
	// LegacyNodes is the number of nodes that run the version in production.
	RollingUpgrade bool
	LegacyNodes    int
	// Nodes is the number of controllers; the default is defaultNodes.
	Nodes int
	// FleetSize is the total number of machines that the cloud offers. It also scales the limits of the teams; the default
	// is a few machines. ZoneCapacity overrides the number of machines per zone and kind (spot or on-demand).
	FleetSize, ZoneCapacity int
	// SlowMachines is the number of machines, the first to boot, that run tasks much slower than the others.
	SlowMachines int
	// Teams replaces the default teams.
	Teams []settings.Team
	// LinkMonitoring makes the nodes monitor their network links. Rebalance selects how the nodes react to uneven load.
	LinkMonitoring bool
	Rebalance      settings.Rebalance
	// Tune, if set, modifies the tuning of each node.
	Tune func(*settings.Tuning)
	// Digest, if set, hashes all messages that the controllers send.
	Digest *Digest
}

// defaultNodes is the number of controllers if Config.Nodes is 0.
const defaultNodes = 3

// clusterSettings returns the cluster settings that the configuration selects.
func (c Config) clusterSettings() settings.Cluster {
	s := settings.Cluster{
		Nodes:             cmp.Or(c.Nodes, defaultNodes),
		Zones:             []string{"east", "west"},
		ClockErrorBoundMS: 200,
		Teams: []settings.Team{{Name: "red", CPUs: 12, CPUsMax: 28}, {Name: "blue", CPUs: 8, CPUsMax: 20},
			{Name: "grey", CPUs: 0, CPUsMax: 16}, {Name: borrowers}},
		Workers: settings.WorkerTimes{HeartbeatS: 3, LeaseS: 20, CancelS: 42, GangWaitS: 20, GangPeerS: 4},
		Store: settings.StoreLimits{
			RPS:       200,
			WriteRPS:  80,
			ValueKB:   16,
			TxnOps:    16,
			Announced: &settings.AnnouncedStoreLimits{WriteRPS: 60, ValueKB: 2, TxnOps: 5},
		},
		Cloud:     settings.CloudLimits{RPS: 5, ListLagS: 4},
		Resources: settings.NodeResources{Cores: 1, MemoryMB: 256, Sockets: 1000},
	}
	if c.FleetSize > 0 {
		scaleToFleet(&s, c.FleetSize)
	}
	if c.Teams != nil {
		s.Teams = c.Teams
	}
	return s
}

// borrowers is the default team with neither a guarantee nor a limit: it only borrows capacity that other teams leave free.
const borrowers = "guest"

// scaleToFleet scales the guarantees and limits of the teams to a large fleet, and sets the longer heartbeat interval,
// lease and cancellation time that such a fleet uses.
func scaleToFleet(s *settings.Cluster, machines int) {
	for i := range s.Teams {
		s.Teams[i].CPUs *= float64(machines)
		s.Teams[i].CPUsMax *= float64(machines)
	}
	s.Workers.HeartbeatS, s.Workers.LeaseS, s.Workers.CancelS = 8, 36, 70
}

// equalTeams returns the three teams that submit jobs, all with the same guarantee and the same limit.
func equalTeams(cpus, limit float64) (teams []settings.Team) {
	for _, name := range []string{"red", "blue", "grey"} {
		teams = append(teams, settings.Team{Name: name, CPUs: cpus, CPUsMax: limit})
	}
	return teams
}
