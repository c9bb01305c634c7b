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
	model, site string
	standby     bool
}

// market is what is known of a pool.
type market struct {
	pending int                 // asked for, not yet answered
	closed  ident.MonotonicTime // no capacity until then
	backoff time.Duration
}

// Config is what a term's manager is made of.
type Config struct {
	Term    ident.Term
	Tuning  settings.Tuning
	Cloud   settings.CloudLimits
	Workers settings.WorkerTimes
	Catalog func() []cloud.MachineType
	// Reached is asked when most of the fleet is silent: whether workers could
	// reach us through a sibling. If not, the fault is more likely ours.
	Reached func() bool
	// Direct says whether machines reach this node, or it them. If none does, their
	// silence is rather our fault.
	Direct func() bool
	// Stranded says whether all siblings in a zone are silent, and there are some.
	Stranded func(site string) bool
	// Unheard says whether no node reaches the machines of a zone, so that they may all be
	// alive behind a broken link; nil if nobody can tell.
	Unheard func(zone string) bool
	// Blind says whether a sibling reaches the machines of a zone, and this node doesn't:
	// their silence is its own fault; nil if nobody can tell.
	Blind func(zone string) bool
	// Aim is the shortest time within which jobs of a lane should be done, 0 if
	// nothing is said.
	Aim func(lane string) time.Duration
	// Movable is asked whether a replica would find room, and its image, elsewhere.
	Movable func(t *jobs.Task, from *workers.Worker) bool
	// Drain is called for machines that will be taken.
	Drain func(w *workers.Worker)
	// Room is called when it changed how much arrays must leave free.
	Reserve func(site string, cpus float64)
}

// Manager holds one term's dealings with the cloud.
type Manager struct {
	cfg     Config
	port    Port
	machine *workers.Table
	jobs    *jobs.Table
	teams   *placement.Teams
	rng     *rand.Rand
	dead    bool

	hires   uint64
	markets map[pool]*market
	tokens  float64
	filled  ident.MonotonicTime
	leaving []*workers.Worker // to be returned with the next request
	listing bool
	listed  ident.MonotonicTime
	fences  []ident.MonotonicTime // of late
	ticked  ident.MonotonicTime
	stalled ident.MonotonicTime // when we were last found to have stalled
	excess  ident.MonotonicTime // since when there is more room than needed, 0: there isn't
	began   ident.MonotonicTime
	started ident.MonotonicTime            // of the term
	silent  time.Duration                  // a worker not heard of for so long is fenced
	moves   int                            // replicas that this tick may still look at
	missed  time.Duration                  // a worker not heard of for so long missed a report
	alarm   ident.MonotonicTime            // when a late worker was last found not to answer
	cut     map[string]bool                // zones from which nothing is heard, neither machines nor siblings
	back    map[string]ident.MonotonicTime // when a zone was last found not to be cut off any more

	unheard map[string]*unheardZone

	services arrivals
	arrays   arrivals

	Rented, Returned, Fenced, NoCapacity uint64
}

// New makes the manager of a term.
func New(port Port, m *workers.Table, j *jobs.Table, t *placement.Teams, rng *rand.Rand, cfg Config) *Manager {
	now := port.Now()
	silent := cfg.Tuning.UnreachableAfter
	if silent == 0 {
		// Two reports at their latest (a quarter late) are missing, and a probe.
		silent = settings.Seconds(2.2 * cfg.Workers.HeartbeatS)
	}
	// Reports come up to a quarter late.
	late := settings.Seconds(1.25*cfg.Workers.HeartbeatS) + 500*time.Millisecond
	return &Manager{silent: silent, missed: late, alarm: now.Add(-time.Hour), cfg: cfg, port: port, machine: m, jobs: j, teams: t, rng: rng, markets: map[pool]*market{}, back: map[string]ident.MonotonicTime{}, unheard: map[string]*unheardZone{},
		tokens: cfg.Cloud.RPS, filled: now, listed: now.Add(-time.Hour), began: now, started: now, ticked: now, stalled: now.Add(-time.Hour)}
}

// Close ends the manager with its term.
func (m *Manager) Close() { m.dead = true }

// Tick looks after the fleet.
func (m *Manager) Tick() {
	m.watch()
	if m.dead {
		return // watch may end the term
	}
	m.list()
	m.size()
	m.flush()
}
