package simulator

import (
	"cmp"
	"time"

	"opaldale/internal/settings"
)

// Config configures a run. The zero value of a field means its default.
type Config struct {
	// Seed determines the run: two runs with the same configuration do the same.
	Seed uint64
	// Mutation is a safeguard that is switched off.
	Mutation Mutation
	// ActiveDuration is how long jobs arrive and faults are injected, and QuiescentDuration for how long the run goes on
	// after that, so that all work can end.
	ActiveDuration, QuiescentDuration time.Duration
	// Faults injects random faults; with ConcurrentFaults they are of more kinds, and several overlap.
	Faults, ConcurrentFaults bool
	// NoArrivals leaves all submissions to the scenario. MoreGangs has more gangs arrive, and Overload more work than
	// there is capacity for.
	NoArrivals, MoreGangs, Overload bool
	// RollingUpgrade starts all nodes with the version in production and replaces them one by one. LegacyNodes is how
	// many run that version otherwise.
	RollingUpgrade bool
	LegacyNodes    int
	// Nodes is the number of controllers, by default three.
	Nodes int
	// FleetSize is how many machines the cloud has in all, with limits of the teams to match, by default a few.
	// ZoneCapacity overrides how many it has of each zone and kind.
	FleetSize, ZoneCapacity int
	// SlowMachines is how many of the first machines are much slower than the others.
	SlowMachines int
	// Teams replaces the default teams.
	Teams []settings.Team
	// LinkMonitoring has the nodes monitor their links, and Rebalance sets what they do about uneven load.
	LinkMonitoring bool
	Rebalance      settings.Rebalance
	// Tune changes the tuning of each node.
	Tune func(*settings.Tuning)
	// Digest records what the controllers send.
	Digest *Digest
}

// defaultNodes is the number of controllers unless the configuration says otherwise.
const defaultNodes = 3

// clusterSettings returns the settings of the cluster.
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

// borrowers is the default team that has neither a guarantee nor a limit.
const borrowers = "guest"

// scaleToFleet sets limits of teams for a large fleet, and the longer intervals of heartbeats that go with it.
func scaleToFleet(s *settings.Cluster, machines int) {
	for i := range s.Teams {
		s.Teams[i].CPUs *= float64(machines)
		s.Teams[i].CPUsMax *= float64(machines)
	}
	s.Workers.HeartbeatS, s.Workers.LeaseS, s.Workers.CancelS = 8, 36, 70
}

// equalTeams returns the three teams that submit jobs, with the same guarantee and limit each.
func equalTeams(cpus, limit float64) (teams []settings.Team) {
	for _, name := range []string{"red", "blue", "grey"} {
		teams = append(teams, settings.Team{Name: name, CPUs: cpus, CPUsMax: limit})
	}
	return teams
}
