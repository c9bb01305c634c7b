// Package fleet decides which machines the cluster has. The autoscaler provisions machines for the
// waiting and the expected work, and terminates those that are not needed; the health monitor fences
// machines that are no longer reachable. All of it belongs to one term of a leader and runs on that
// leader's event loop.
package fleet

import (
	"math/rand/v2"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/placement"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// Port is the environment of a manager: its clock, timers and the provider's API.
type Port interface {
	// Now reads the monotonic clock.
	Now() ident.MonotonicTime
	// After calls a function on the event loop once a time has passed.
	After(time.Duration, func())
	// Cloud sends a request to the provider and calls back with the response.
	Cloud(cloud.Request, func(cloud.Response))
}

// Config is what a manager is made from. The functions are called on the leader's event loop.
type Config struct {
	Term    ident.Term
	Tuning  settings.Tuning
	Cloud   settings.CloudLimits
	Workers settings.WorkerTimes

	// Catalog returns the machine types that the provider offers; none until they are known.
	Catalog func() []cloud.MachineType

	// ReachableViaPeer is called when most of the fleet is unreachable. It reports whether workers
	// could reach the leader through a peer; if not, the fault is more likely the leader's own.
	ReachableViaPeer func() bool
	// DirectContact reports whether machines reach this node, or it reaches them. If none does, the
	// fault is more likely the leader's own.
	DirectContact func() bool
	// ZonePeersSilent reports whether a zone has peers and all of them are unreachable.
	ZonePeersSilent func(zone string) bool
	// ZoneUnreachable reports whether no controller reaches the machines of a zone, so that they
	// may all be running behind a network partition. Nil if that is not known of any zone.
	ZoneUnreachable func(zone string) bool
	// LocallyUnreachable reports whether a peer reaches the machines of a zone and this node does
	// not, so that the fault is its own. Nil if that is not known of any zone.
	LocallyUnreachable func(zone string) bool

	// Objective returns the shortest time within which jobs of a class should be done; 0 for a
	// class without an objective.
	Objective func(class string) time.Duration
	// Movable reports whether a replica would find room, and its image, on another machine.
	Movable func(t *jobs.Task, from *workers.Worker) bool
	// Drain is called in each tick for each machine with a reclaim notice.
	Drain func(w *workers.Worker)
	// SetServiceHeadroom is called in each tick with the CPUs that batch jobs must leave free on the
	// on-demand machines of a zone.
	SetServiceHeadroom func(zone string, cpus float64)
}

// Counters count the events of a manager in its term.
type Counters struct {
	Provisioned uint64 // machines that the provider has begun to start
	Terminated  uint64 // machines whose termination the provider has confirmed
	Fenced      uint64 // machines terminated for being unreachable
	NoCapacity  uint64 // requests rejected because a pool had no capacity
}

// Manager manages the fleet during one term.
type Manager struct {
	Counters

	cfg         *Config
	requester   *requester
	terminator  *terminator
	inventory   *inventory
	provisioner *provisioner
	health      *healthMonitor
	autoscaler  *autoscaler
}

// New returns the manager of a term.
func New(port Port, machines *workers.Table, jobTable *jobs.Table, teams *placement.Teams, rng *rand.Rand, cfg Config) *Manager {
	if cfg.ZoneUnreachable == nil {
		cfg.ZoneUnreachable = func(string) bool { return false }
	}
	if cfg.LocallyUnreachable == nil {
		cfg.LocallyUnreachable = func(string) bool { return false }
	}
	m := &Manager{cfg: &cfg}
	m.requester = &requester{port: port, rng: rng, limiter: newRateLimiter(cfg.Cloud.RPS, port.Now())}
	m.terminator = &terminator{requester: m.requester, machines: machines, counters: &m.Counters}
	m.inventory = newInventory(m.cfg, m.requester, machines, m.terminator)
	m.provisioner = newProvisioner(cfg.Term, m.requester, machines, &m.Counters)
	m.health = newHealthMonitor(m.cfg, port, machines, m.terminator, &m.Counters)
	m.autoscaler = &autoscaler{
		cfg:         m.cfg,
		port:        port,
		machines:    machines,
		jobs:        jobTable,
		teams:       teams,
		zones:       m.health.zones,
		provisioner: m.provisioner,
		terminator:  m.terminator,
		arrivals:    arrivals{teams: teams, since: port.Now()},
	}
	return m
}

// Close ends the manager with its term: it sends no more requests, and ignores responses to
// those that are in flight.
func (m *Manager) Close() { m.requester.closed = true }

// Tick checks the machines and scales the fleet. The leader calls it at a fixed interval.
func (m *Manager) Tick() {
	m.health.check()
	if m.requester.closed {
		return // the health check may have ended the term
	}
	m.inventory.refresh()
	m.autoscaler.run()
	m.terminator.flush()
}

// Terminate requests the termination of a machine from the provider, with the next tick. Its tasks
// stay allocated to it until the provider confirms the termination, or its lease expires.
func (m *Manager) Terminate(w *workers.Worker, reason workers.Reason) {
	m.terminator.terminate(w, reason)
}

// RecordArrival records the submission of a job, in this term or an earlier one, for the prediction
// of further arrivals.
func (m *Manager) RecordArrival(spec *api.Spec, at ident.MonotonicTime) {
	m.autoscaler.arrivals.record(spec, at)
}

// ResumeFromPriorTerm marks the cluster as running before this term, so that recorded arrivals count
// towards the arrival rate and not as a backlog.
func (m *Manager) ResumeFromPriorTerm() { m.autoscaler.arrivals.resume() }
