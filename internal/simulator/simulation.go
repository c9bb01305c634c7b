// Package simulator tests the scheduler by deterministic simulation. It runs the real controllers in simulated time
// against simulated versions of the key-value store, the cloud, the workers, the users and the network, which implement
// the protocol on their own. Job arrivals and faults are drawn from a seeded generator, so a run can be repeated exactly
// from its seed. The invariants of the scheduler are checked throughout the run.
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

// Simulation is one run of the simulated cluster. It is not safe for concurrent use.
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
	sortedByID    []*worker // cache of sortedWorkers; nil after a worker was added or removed
	lastJobNumber int
	callsInFlight map[commandCallKey]bool // calls with commands to workers
	networkFaults
	activeFaults
	callCopier callCopier
	linkMonitor

	// Violations lists the violated invariants. Unfinished lists the work that had not ended by the end of the
	// quiescent part.
	Violations, Unfinished []string
	// Log holds one line for each fault and other notable event, prefixed with the simulated time in seconds.
	Log []string
	// TaskStarts counts the task attempts that started on a machine.
	TaskStarts int
	// GangRuns counts the gang attempts that ran. GangStops counts the gang attempts that received a command to
	// checkpoint and stop.
	GangRuns, GangStops int
	// TasksLostWithLease counts the tasks that ended because the lease of their machine expired.
	TasksLostWithLease int
	linkStudy          linkStudy
	slowMachineCount   int // slow machines created so far
	// Moves counts the moves of running tasks that were recorded in the store.
	Moves int
	// OversizedTransactions counts the transactions that the store rejected because they exceeded a size limit.
	OversizedTransactions int
}

// New returns a simulation whose nodes are started. A scenario schedules its events before it calls Run.
func New(cfg Config) *Simulation {
	sim := &Simulation{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(cfg.Seed, 7)),
		settings:      cfg.clusterSettings(),
		workers:       map[ident.MachineID]*worker{},
		jobs:          map[ident.JobID]*userJob{},
		callsInFlight: map[commandCallKey]bool{},
		gangs:         map[gangKey]*gangAttempt{},
		networkFaults: newNetworkFaults(),
		linkMonitor: linkMonitor{
			announcedTerms:   map[ident.Term]bool{},
			newestHeartbeat:  map[string]uint64{},
			handovers:        map[string]int{},
			sentTransactions: map[string]bool{},
		},
		activeFaults: activeFaults{eventCounts: map[eventName]int{}},
		callCopier:   newCallCopier(cfg.Seed),
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

// logf appends a line with the simulated time to Log.
func (sim *Simulation) logf(format string, a ...any) {
	sim.Log = append(sim.Log, fmt.Sprintf("%8.3f ", sim.now.Sub(0).Seconds())+fmt.Sprintf(format, a...))
}

// Run runs the simulation. Jobs arrive and faults are injected in the active part; all work must end in the quiescent
// part that follows. Run stops at the first violation.
func (sim *Simulation) Run() {
	switch {
	case sim.cfg.Overload:
		sim.generateOverload()
	case !sim.cfg.NoArrivals:
		sim.generateArrivals()
	}
	sim.checkWaitingJobs()
	if sim.cfg.Faults {
		sim.schedule(10*time.Second, sim.injectFault)
	}
	limitChange := limitChangeDelay
	if sim.cfg.RollingUpgrade {
		sim.schedule(upgradeStart, func() { sim.rollingUpgrade(0) })
		limitChange += upgradeStart
	}
	sim.schedule(limitChange, sim.store.applyAnnouncedLimits)
	end := ident.MonotonicTime(sim.cfg.ActiveDuration + cmp.Or(sim.cfg.QuiescentDuration, defaultQuiescence))
	violated := func() bool { return len(sim.Violations) > 0 }
	sim.run(end, violated)
	for extended := end; !violated() && extended < end.Add(sim.limitDelay()); {
		extended = extended.Add(livenessCheckInterval)
		sim.run(extended, violated)
	}
	if !violated() {
		sim.checkCompletion()
	}
}

// sortedWorkers returns the workers sorted by machine id.
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

// anyWorker returns a random worker, or nil if there is none.
func (sim *Simulation) anyWorker() *worker {
	all := sim.sortedWorkers()
	if len(all) == 0 {
		return nil
	}
	return all[sim.rng.IntN(len(all))]
}

// LogTail returns the last n lines of Log.
func (sim *Simulation) LogTail(n int) string {
	return strings.Join(sim.Log[max(0, len(sim.Log)-n):], "\n")
}
