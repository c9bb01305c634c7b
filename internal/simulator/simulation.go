// Package simulator is a small world for tests, written from the protocol: a state
// service, a cloud, workers, users and a network with cuts, losses and late
// deliveries, all in simulated time and from a seed. It checks every rule at
// every step.
package simulator

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

// Simulation is one run.
type Simulation struct {
	eventLoop
	cfg Config
	rng *rand.Rand

	settings            settings.Cluster
	nodes               []*node
	store               *store
	cloud               *provider
	workers             map[ident.MachineID]*worker
	jobs                map[ident.JobID]*userJob
	gangs               map[gangKey]*gangAttempt
	jobOrder            []ident.JobID
	partitions          map[link]*networkPartition
	directedPartitions  map[link]*networkPartition     // links broken in one direction, from the first to the second
	sortedByID          []*worker                      // the workers by name, nil when they have changed
	zonePartitions      map[string]*networkPartition   // zones cut off from everything outside
	inboundBlockedUntil map[string]ident.MonotonicTime // machines that nothing reaches until then
	lastJobNumber       int
	activeFaults
	linkMonitor

	// Violations lists the rules broken, in words; Undone what was not brought to its
	// end in the calm; Log what happened.
	Violations []string
	Unfinished []string
	Log        []string
	TaskStarts int
	// GangRuns and GangStops count what gangs did.
	GangRuns, GangStops int
	// blockedOneWay counts the messages that a link broken in one direction has held up.
	blockedOneWay int
	// TasksLostWithLease counts the tasks that ended with their machines' leases.
	TasksLostWithLease int
	linkStudy          linkStudy
	slowMachineCount   int // machines that are slow, so far
	// Moves counts the moves of running tasks that were recorded.
	Moves int
	// OversizedTransactions counts the transactions that the state service refused for its limits.
	OversizedTransactions int
}

// New makes a world of three controllers in two zones.
func New(cfg Config) *Simulation {
	sim := &Simulation{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), workers: map[ident.MachineID]*worker{},
		jobs: map[ident.JobID]*userJob{}, gangs: map[gangKey]*gangAttempt{}, partitions: map[link]*networkPartition{},
		directedPartitions: map[link]*networkPartition{}, zonePartitions: map[string]*networkPartition{},
		inboundBlockedUntil: map[string]ident.MonotonicTime{},
		linkMonitor: linkMonitor{announcedTerms: map[ident.Term]bool{}, newestHeartbeat: map[string]uint64{},
			handovers: map[string]int{}, sentTransactions: map[string]bool{}},
		activeFaults: activeFaults{outboundBlockedUntil: map[string]ident.MonotonicTime{}, eventCounts: map[eventName]int{}}}
	sim.settings = settings.Cluster{
		Nodes: cfg.nodeCount(), Zones: []string{"east", "west"}, ClockErrorBoundMS: 200,
		Teams: []settings.Team{{Name: "red", CPUs: 12, CPUsMax: 28}, {Name: "blue", CPUs: 8, CPUsMax: 20},
			{Name: "grey", CPUs: 0, CPUsMax: 16}, {Name: "guest"}},
		Workers: settings.WorkerTimes{HeartbeatS: 3, LeaseS: 20, CancelS: 42, GangWaitS: 20, GangPeerS: 4},
		Store: settings.StoreLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16,
			Announced: &settings.AnnouncedStoreLimits{WriteRPS: 60, ValueKB: 2, TxnOps: 5}},
		Cloud:     settings.CloudLimits{RPS: 5, ListLagS: 4},
		Resources: settings.NodeResources{Cores: 1, MemoryMB: 256, Sockets: 1000},
	}
	if cfg.FleetSize > 0 {
		sim.configureLargeFleet()
	}
	if cfg.Teams != nil {
		sim.settings.Teams = cfg.Teams
	}
	sim.store = newStore(sim)
	sim.cloud = newProvider(sim)
	for i := range sim.settings.Nodes {
		n := &node{sim: sim, legacy: cfg.RollingUpgrade || i >= sim.settings.Nodes-cfg.LegacyNodes, name: fmt.Sprintf(nodePrefix+"%d", i),
			zone: sim.settings.Zones[i%2]}
		sim.nodes = append(sim.nodes, n)
	}
	for _, n := range sim.nodes {
		n.start()
	}
	return sim
}

func (sim *Simulation) logf(format string, a ...any) {
	sim.Log = append(sim.Log, fmt.Sprintf("%8.3f ", sim.now.Sub(0).Seconds())+fmt.Sprintf(format, a...))
}

// Run plays the world: cfg.Length with arrivals and faults, then a while of calm
// in which everything must come to its end.
func (sim *Simulation) Run() {
	switch {
	case sim.cfg.Overload:
		sim.generateOverload()
	case !sim.cfg.NoArrivals:
		sim.generateArrivals()
	}
	sim.checkIdleCapacity()
	if sim.cfg.Faults {
		sim.schedule(10*time.Second, sim.injectFault)
	}
	limitChange := limitChangeDelay
	if sim.cfg.RollingUpgrade {
		sim.schedule(upgradeStart, func() { sim.rollingUpgrade(0) })
		limitChange += upgradeStart
	}
	sim.schedule(limitChange, sim.store.lowerLimits)
	quiescence := defaultQuiescence
	if sim.cfg.QuiescentDuration > 0 {
		quiescence = sim.cfg.QuiescentDuration
	}
	end := ident.MonotonicTime(sim.cfg.ActiveDuration + quiescence)
	sim.run(end, func() bool { return len(sim.Violations) > 0 })
	if len(sim.Violations) == 0 {
		sim.checkCompletion()
	}
}

func (sim *Simulation) sortedWorkers() []*worker {
	if sim.sortedByID == nil {
		sim.sortedByID = make([]*worker, 0, len(sim.workers))
		for _, w := range sim.workers {
			sim.sortedByID = append(sim.sortedByID, w)
		}
		sort.Slice(sim.sortedByID, func(i, k int) bool { return sim.sortedByID[i].id < sim.sortedByID[k].id })
	}
	return sim.sortedByID
}

func (sim *Simulation) anyWorker() *worker {
	all := sim.sortedWorkers()
	if len(all) == 0 {
		return nil
	}
	return all[sim.rng.IntN(len(all))]
}

// LogTail returns the end of the log.
func (sim *Simulation) LogTail(n int) string {
	return strings.Join(sim.Log[max(0, len(sim.Log)-n):], "\n")
}
