// Package fleet manages the machines of the cluster. The autoscaler provisions machines for waiting and
// expected jobs, and terminates machines that are not needed. The health monitor probes the machines and
// fences those that are unreachable: it has the provider terminate them, so that their tasks can safely
// restart elsewhere. A machine is called silent while nothing is received from it. A Manager exists for
// one term of a leader, and runs on the leader's event loop.
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

// Port gives a manager access to its environment: the clock, timers and the cloud provider's API.
type Port interface {
	// Now returns the monotonic time.
	Now() ident.MonotonicTime
	// After calls a function on the event loop after a delay.
	After(time.Duration, func())
	// Cloud sends a request to the provider, and calls a function with the response.
	Cloud(cloud.Request, func(cloud.Response))
}

// Config configures a manager. Its functions are called on the leader's event loop.
type Config struct {
	Term    ident.Term
	Tuning  settings.Tuning
	Cloud   settings.CloudLimits
	Workers settings.WorkerTimes

	// Catalog returns the machine types that the provider offers, or none while they are not known yet.
	Catalog func() []cloud.MachineType

	// ReachableViaPeer reports whether workers could reach the leader through another controller. It is
	// called when most of the fleet is silent. If it returns false, the fault is more likely at the
	// leader.
	ReachableViaPeer func() bool
	// DirectContact reports whether this node communicates directly with any machine, in either
	// direction. If it does not, the fault is more likely at the leader.
	DirectContact func() bool
	// ZonePeersUnreachable reports whether a zone has other controllers and all of these are unreachable.
	ZonePeersUnreachable func(zone string) bool
	// ZoneUnreachable reports whether no controller can reach the machines of a zone, in which case
	// they may still be running behind a network partition. If nil, it is never the case.
	ZoneUnreachable func(zone string) bool
	// LocallyUnreachable reports whether another controller reaches the machines of a zone and this
	// node does not, in which case the fault is at this node. If nil, it is never the case.
	LocallyUnreachable func(zone string) bool

	// Objective returns the shortest target for the completion time of jobs of a class, or 0 if the
	// class has none.
	Objective func(class string) time.Duration
	// Movable reports whether another machine has the free capacity for a replica and already holds
	// its image.
	Movable func(t *jobs.Task, from *workers.Worker) bool
	// ReservationOn returns the reservation of a machine, which placement observes, or the zero reservation.
	ReservationOn func(w *workers.Worker) placement.Reservation
	// Drain is called in each tick for each machine with a reclaim notice.
	Drain func(w *workers.Worker)
	// SetServiceHeadroom is called in each tick and for each zone with the CPUs on on-demand machines
	// that batch jobs must leave free.
	SetServiceHeadroom func(zone string, cpus float64)
}

// Counters holds the numbers of events since the start of the term.
type Counters struct {
	Provisioned uint64 // machines that the provider has created
	Terminated  uint64 // machines whose termination the provider has confirmed
	Fenced      uint64 // machines terminated because they were unreachable
	NoCapacity  uint64 // provisioning requests rejected because the provider had no capacity in the pool
}

// Manager scales the fleet and monitors the health of its machines during one term of a leader.
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

// New returns a manager for one term.
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
		arrivals:    arrivals{teams: teams, historyStart: port.Now()},
	}
	return m
}

// Close stops the manager at the end of its term. From then on it sends no requests, and ignores the
// responses to requests in flight.
func (m *Manager) Close() { m.requester.closed = true }

// Tick checks the machines and scales the fleet. The leader calls it at a fixed interval.
func (m *Manager) Tick() {
	m.health.check()
	if m.requester.closed {
		return // the health check may make the leader resign, which closes the manager
	}
	m.inventory.refresh()
	m.autoscaler.run()
	m.terminator.flush()
}

// Terminate queues a machine for termination; the next tick sends the request to the provider. Its tasks
// stay allocated to it until the provider confirms the termination or its lease expires.
func (m *Manager) Terminate(w *workers.Worker, reason workers.Reason) {
	m.terminator.terminate(w, reason)
}

// RecordArrival records the submission of a job, in this term or an earlier one. Recorded arrivals are
// used to predict further ones.
func (m *Manager) RecordArrival(spec *api.Spec, at ident.MonotonicTime) {
	m.autoscaler.arrivals.record(spec, at)
}

// ResumeFromPriorTerm declares that the cluster was already running before this term, so that recorded
// arrivals count towards the arrival rate and not as a backlog.
func (m *Manager) ResumeFromPriorTerm() { m.autoscaler.arrivals.resume() }
