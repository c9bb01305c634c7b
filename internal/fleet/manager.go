// Package fleet decides which machines the cluster has. The autoscaler provisions machines for
// the work that waits and for the services to be expected, and terminates those that are not
// needed; the health monitor fences machines that are no longer reachable. All of it belongs to
// one term of a leader and runs on that leader's event loop.
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

	// Catalog returns the machine types that the provider offers; none while they are not known.
	Catalog func() []cloud.MachineType

	// ReachableViaPeer is called when most of the fleet is unreachable. It says whether workers
	// could reach the leader through a peer; if not, the fault is more likely the leader's own.
	ReachableViaPeer func() bool
	// DirectContact says whether machines reach this node, or it reaches them. If none does, the
	// fault is more likely the leader's own.
	DirectContact func() bool
	// ZonePeersSilent says whether a zone has peers and none of them is reachable.
	ZonePeersSilent func(zone string) bool
	// ZoneUnreachable says whether no controller reaches the machines of a zone, so that they
	// may all be running behind a network partition. Nil if that is not known of any zone.
	ZoneUnreachable func(zone string) bool
	// LocallyUnreachable says whether a peer reaches the machines of a zone and this node does
	// not, so that the fault is its own. Nil if that is not known of any zone.
	LocallyUnreachable func(zone string) bool

	// Objective returns the shortest time within which jobs of a class should be done; 0 for a
	// class without an objective.
	Objective func(class string) time.Duration
	// Movable says whether a replica would find room, and its image, on another machine.
	Movable func(t *jobs.Task, from *workers.Worker) bool
	// Drain is called in each tick for each machine with a reclaim notice.
	Drain func(w *workers.Worker)
	// SetServiceHeadroom is called with the CPUs that batch jobs must leave free in a zone.
	SetServiceHeadroom func(zone string, cpus float64)
}

// Counters count what a manager has done in its term.
type Counters struct {
	Provisioned uint64 // machines that the provider has begun to start
	Terminated  uint64 // machines whose termination the provider has confirmed
	Fenced      uint64 // machines terminated for being unreachable
	NoCapacity  uint64 // requests refused for want of capacity
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

// Tick checks the machines and scales the fleet.
func (m *Manager) Tick() {
	m.health.check()
	if m.requester.closed {
		return // the health check may have ended the term
	}
	m.inventory.refresh()
	m.autoscaler.run()
	m.terminator.flush()
}

// Terminate has the provider terminate a machine. Its tasks count on it until the provider has
// confirmed that, or its lease has expired.
func (m *Manager) Terminate(w *workers.Worker, reason workers.Reason) {
	m.terminator.terminate(w, reason)
}

// RecordArrival notes that a job was submitted, in this term or an earlier one, as a sign of
// further jobs to come.
func (m *Manager) RecordArrival(spec *api.Spec, at ident.MonotonicTime) {
	m.autoscaler.arrivals.record(spec, at)
}

// ResumeFromPriorTerm says that the cluster was running before this term, so that the jobs on
// record arrived at a rate and are not a backlog.
func (m *Manager) ResumeFromPriorTerm() { m.autoscaler.arrivals.resume() }
