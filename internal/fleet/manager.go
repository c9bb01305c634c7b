// Package fleet rents and returns machines: for the work that waits, for the
// services to come, and to fence off machines that went silent.
package fleet

import (
	"math/rand/v2"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/placement"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// Port is what the fleet needs of the world.
type Port interface {
	Now() ident.MonotonicTime
	After(time.Duration, func())
	Cloud(cloud.Request, func(cloud.Response))
}

// pool is what can be rented in one request.
type pool struct {
	model, zone string
	spot        bool
}

// poolState is what is known of a pool.
type poolState struct {
	pending          int                 // asked for, not yet answered
	unavailableUntil ident.MonotonicTime // no capacity until then
	backoff          time.Duration
}

// Config is what a term's manager is made of.
type Config struct {
	Term    ident.Term
	Tuning  settings.Tuning
	Cloud   settings.CloudLimits
	Workers settings.WorkerTimes
	Catalog func() []cloud.MachineType
	// ReachableViaPeer is asked when most of the fleet is silent: whether workers could
	// reach us through a sibling. If not, the fault is more likely ours.
	ReachableViaPeer func() bool
	// DirectContact says whether machines reach this node, or it them. If none does, their
	// silence is rather our fault.
	DirectContact func() bool
	// ZonePeersSilent says whether all siblings in a zone are silent, and there are some.
	ZonePeersSilent func(zone string) bool
	// ZoneUnreachable says whether no node reaches the machines of a zone, so that they may all be
	// alive behind a broken link; nil if nobody can tell.
	ZoneUnreachable func(zone string) bool
	// LocallyUnreachable says whether a sibling reaches the machines of a zone, and this node doesn't:
	// their silence is its own fault; nil if nobody can tell.
	LocallyUnreachable func(zone string) bool
	// Objective is the shortest time within which jobs of a lane should be done, 0 if
	// nothing is said.
	Objective func(class string) time.Duration
	// Movable is asked whether a replica would find room, and its image, elsewhere.
	Movable func(t *jobs.Task, from *workers.Worker) bool
	// Drain is called for machines that will be taken.
	Drain func(w *workers.Worker)
	// Room is called when it changed how much arrays must leave free.
	SetServiceHeadroom func(zone string, cpus float64)
}

// Manager holds one term's dealings with the cloud.
type Manager struct {
	cfg      Config
	port     Port
	machines *workers.Table
	jobs     *jobs.Table
	teams    *placement.Teams
	rng      *rand.Rand
	closed   bool

	requestCount     uint64
	pools            map[pool]*poolState
	rateTokens       float64
	rateRefilled     ident.MonotonicTime
	terminating      []*workers.Worker // to be returned with the next request
	listInProgress   bool
	lastListed       ident.MonotonicTime
	recentFences     []ident.MonotonicTime // of late
	lastTick         ident.MonotonicTime
	lastStall        ident.MonotonicTime // when we were last found to have stalled
	excessSince      ident.MonotonicTime // since when there is more room than needed, 0: there isn't
	arrivalsSince    ident.MonotonicTime
	termStarted      ident.MonotonicTime            // of the term
	fenceTimeout     time.Duration                  // a worker not heard of for so long is fenced
	movesLeft        int                            // replicas that this tick may still look at
	heartbeatOverdue time.Duration                  // a worker not heard of for so long missed a report
	massProbeStarted ident.MonotonicTime            // when a late worker was last found not to answer
	partitionedZones map[string]bool                // zones from which nothing is heard, neither machines nor siblings
	zoneRecovered    map[string]ident.MonotonicTime // when a zone was last found not to be cut off any more

	unreachableZones map[string]*unreachableZone

	serviceArrivals arrivalHistory
	batchArrivals   arrivalHistory

	Provisioned, Terminated, Fenced, NoCapacity uint64
}

// New makes the manager of a term.
func New(port Port, machineTable *workers.Table, jobTable *jobs.Table, teams *placement.Teams, rng *rand.Rand, cfg Config) *Manager {
	now := port.Now()
	fenceTimeout := cfg.Tuning.UnreachableAfter
	if fenceTimeout == 0 {
		// Two reports at their latest (a quarter late) are missing, and a probe.
		fenceTimeout = settings.Seconds(2.2 * cfg.Workers.HeartbeatS)
	}
	// Reports come up to a quarter late.
	heartbeatOverdue := settings.Seconds(1.25*cfg.Workers.HeartbeatS) + 500*time.Millisecond
	return &Manager{fenceTimeout: fenceTimeout, heartbeatOverdue: heartbeatOverdue, massProbeStarted: now.Add(-time.Hour), cfg: cfg, port: port, machines: machineTable, jobs: jobTable, teams: teams, rng: rng, pools: map[pool]*poolState{}, zoneRecovered: map[string]ident.MonotonicTime{}, unreachableZones: map[string]*unreachableZone{},
		rateTokens: cfg.Cloud.RPS, rateRefilled: now, lastListed: now.Add(-time.Hour), arrivalsSince: now, termStarted: now, lastTick: now, lastStall: now.Add(-time.Hour)}
}

// Close ends the manager with its term.
func (m *Manager) Close() { m.closed = true }

// Tick looks after the fleet.
func (m *Manager) Tick() {
	m.checkHealth()
	if m.closed {
		return // watch may end the term
	}
	m.listMachines()
	m.autoscale()
	m.flushTerminations()
}
