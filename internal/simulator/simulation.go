// Package simulator runs controllers in simulated time against a key-value store, a cloud, workers, users and a network,
// all implemented from the protocol. Faults and arrivals follow from a seed, so that a run can be repeated exactly.
// The invariants of the scheduler are checked at every step.
package simulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

// Simulation is one run. It is used by one goroutine.
type Simulation struct {
	eventLoop
	cfg Config
	rng *rand.Rand

	settings      settings.Cluster
	nodes         []*node
	store         *store
	cloud         *provider
	workers       map[ident.MachineID]*worker
	jobs          map[ident.JobID]*userJob
	gangs         map[gangKey]*gangAttempt
	jobOrder      []ident.JobID
	sortedByID    []*worker // the workers by name, nil when they have changed
	lastJobNumber int
	networkFaults
	activeFaults
	linkMonitor

	// Violations lists the invariants that were violated, and Unfinished the work that did not end in the quiescent part.
	Violations, Unfinished []string
	// Log has a line for each event worth noting, with its time.
	Log []string
	// TaskStarts counts the starts of tasks.
	TaskStarts int
	// GangRuns counts the attempts of gangs that ran, and GangStops those that were stopped to checkpoint.
	GangRuns, GangStops int
	// TasksLostWithLease counts the tasks that ended with their machines' leases.
	TasksLostWithLease int
	linkStudy          linkStudy
	slowMachineCount   int // slow machines so far
	// Moves counts the moves of running tasks that were recorded in the store.
	Moves int
	// OversizedTransactions counts the transactions that the store rejected for its limits.
	OversizedTransactions int
}

// New makes a simulation with its nodes started. The scenario adds what shall happen before Run.
func New(cfg Config) *Simulation {
	sim := &Simulation{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(cfg.Seed, 7)),
		settings:      cfg.clusterSettings(),
		workers:       map[ident.MachineID]*worker{},
		jobs:          map[ident.JobID]*userJob{},
		gangs:         map[gangKey]*gangAttempt{},
		networkFaults: newNetworkFaults(),
		linkMonitor: linkMonitor{
			announcedTerms:   map[ident.Term]bool{},
			newestHeartbeat:  map[string]uint64{},
			handovers:        map[string]int{},
			sentTransactions: map[string]bool{},
		},
		activeFaults: activeFaults{eventCounts: map[eventName]int{}},
	}
	sim.store = newStore(sim)
	sim.cloud = newProvider(sim)
	for i := range sim.settings.Nodes {
		sim.nodes = append(sim.nodes, &node{
			sim:    sim,
			name:   fmt.Sprintf(nodePrefix+"%d", i),
			zone:   sim.settings.Zones[i%2],
			legacy: cfg.RollingUpgrade || i >= sim.settings.Nodes-cfg.LegacyNodes,
		})
	}
	for _, n := range sim.nodes {
		n.start()
	}
	return sim
}

// logf adds a line to the log.
func (sim *Simulation) logf(format string, a ...any) {
	sim.Log = append(sim.Log, fmt.Sprintf("%8.3f ", sim.now.Sub(0).Seconds())+fmt.Sprintf(format, a...))
}

// Run runs the simulation: the active part with arrivals and faults, then the quiescent part in which all work must end.
// It stops at the first violation.
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
	end := ident.MonotonicTime(sim.cfg.ActiveDuration + cmp.Or(sim.cfg.QuiescentDuration, defaultQuiescence))
	sim.run(end, func() bool { return len(sim.Violations) > 0 })
	if len(sim.Violations) == 0 {
		sim.checkCompletion()
	}
}

// sortedWorkers returns the workers in the order of their machines.
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

// anyWorker draws a worker, nil if there is none.
func (sim *Simulation) anyWorker() *worker {
	all := sim.sortedWorkers()
	if len(all) == 0 {
		return nil
	}
	return all[sim.rng.IntN(len(all))]
}

// LogTail returns the last n lines of the log.
func (sim *Simulation) LogTail(n int) string {
	return strings.Join(sim.Log[max(0, len(sim.Log)-n):], "\n")
}
