// Package load tracks the load of machines, zones and teams: how evenly the machines are used, which
// teams request far more than their entitled CPUs, and which machines are slow.
//
// The package does no I/O and reads no clock. Each change updates running sums, so that no query iterates
// over the machines. Its types are not safe for concurrent use.
package load

import (
	"math"
	"time"

	"opaldale/internal/ident"
)

// Average is the exponentially decaying average of a level that changes in steps. After one half-life,
// the weight of earlier levels has halved.
type Average struct {
	current     float64 // the level since updatedAt
	mean        float64 // the average at updatedAt
	updatedAt   ident.MonotonicTime
	initialized bool
}

// Set sets the level from now on. The first level is also the initial average.
func (a *Average) Set(level float64, now ident.MonotonicTime, halfLife time.Duration) {
	if !a.initialized {
		*a = Average{current: level, mean: level, updatedAt: now, initialized: true}
		return
	}
	a.mean = a.Value(now, halfLife)
	a.current, a.updatedAt = level, max(a.updatedAt, now)
}

// Value returns the average at now.
func (a *Average) Value(now ident.MonotonicTime, halfLife time.Duration) float64 {
	if now <= a.updatedAt {
		return a.mean
	}
	return a.current + (a.mean-a.current)*math.Exp2(-float64(now.Sub(a.updatedAt))/float64(halfLife))
}

// Config holds the time constants and thresholds of a Model.
type Config struct {
	// HalfLife is the half-life of all averages.
	HalfLife time.Duration
	// OverloadAt is the demand at or above which a team becomes overloaded, and RecoverAt the demand
	// below which it recovers. Both are multiples of the team's entitled CPUs, see Model.ratio.
	OverloadAt, RecoverAt float64
	// MinDuration is how long the demand of a team must stay beyond a threshold before the team
	// becomes overloaded, or normal again.
	MinDuration time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		HalfLife:    10 * time.Second,
		OverloadAt:  2,
		RecoverAt:   1.2,
		MinDuration: 5 * time.Second,
	}
}

// machineUse is the usage of one machine.
type machineUse struct {
	zone string
	cpus float64 // number of CPUs, 0 while unknown
	used float64 // CPUs in use
}

// utilization returns the fraction of the machine's CPUs that is in use.
func (m *machineUse) utilization() float64 { return m.used / m.cpus }

// distribution holds the sums from which the imbalance of a set of machines is computed.
type distribution struct {
	machines        int
	sum, sumSquares float64 // of the utilizations
}

// add adds the utilization of a machine if sign is 1, and subtracts it if sign is -1.
func (d *distribution) add(utilization float64, sign float64) {
	d.machines += int(sign)
	d.sum += sign * utilization
	d.sumSquares += sign * utilization * utilization
}

// imbalance returns the coefficient of variation of the utilizations, which is the standard deviation
// divided by the mean. It returns 0 if there are fewer than two machines or no CPU is in use.
func (d *distribution) imbalance() float64 {
	if d.machines < 2 || d.sum < roundingTolerance {
		return 0
	}
	n := float64(d.machines)
	mean := d.sum / n
	variance := max(0, d.sumSquares/n-mean*mean)
	return math.Sqrt(variance) / mean
}

// roundingTolerance is the absolute value below which a sum counts as 0, since sums have rounding errors.
const roundingTolerance = 1e-9

// Model tracks the load of a cluster.
type Model struct {
	config          Config
	machines        map[ident.MachineID]*machineUse
	cluster         distribution
	zones           map[string]*distribution
	teams           map[string]*team
	overloadedTeams int     // number of teams that are overloaded or recovering
	totalCPUs       float64 // of all machines
}

// New returns a model without machines. guaranteedCPUs holds the guaranteed CPUs of each team.
func New(config Config, guaranteedCPUs map[string]float64) *Model {
	m := &Model{
		config:   config,
		machines: map[ident.MachineID]*machineUse{},
		zones:    map[string]*distribution{},
		teams:    map[string]*team{},
	}
	for name, cpus := range guaranteedCPUs {
		m.teams[name] = &team{guaranteedCPUs: cpus}
	}
	return m
}

// update changes a machine by calling apply, and updates the sums.
func (m *Model) update(machine *machineUse, apply func()) {
	m.addToTotals(machine, -1)
	apply()
	m.addToTotals(machine, 1)
}

// addToTotals adds a machine to the sums if sign is 1, and subtracts it if sign is -1.
func (m *Model) addToTotals(machine *machineUse, sign float64) {
	if machine.cpus <= 0 {
		return
	}
	m.cluster.add(machine.utilization(), sign)
	m.totalCPUs += sign * machine.cpus
	z := m.zones[machine.zone]
	if z == nil {
		z = &distribution{}
		m.zones[machine.zone] = z
	}
	z.add(machine.utilization(), sign)
}

// ensureMachine returns the usage of a machine, which it adds if it is new.
func (m *Model) ensureMachine(id ident.MachineID) *machineUse {
	machine := m.machines[id]
	if machine == nil {
		machine = &machineUse{}
		m.machines[id] = machine
	}
	return machine
}

// SetMachine sets the zone and the number of CPUs of a machine, which it adds if it is new.
func (m *Model) SetMachine(id ident.MachineID, zone string, cpus float64) {
	machine := m.ensureMachine(id)
	if machine.zone == zone && machine.cpus == cpus {
		return
	}
	m.update(machine, func() { machine.zone, machine.cpus = zone, cpus })
}

// RemoveMachine removes a machine and its usage.
func (m *Model) RemoveMachine(id ident.MachineID) {
	if machine := m.machines[id]; machine != nil {
		m.addToTotals(machine, -1)
		delete(m.machines, id)
	}
}

// AddUsage adds a number of CPUs, negative when a task ends, to those in use on a machine. It adds an
// unknown machine with an unknown number of CPUs, except that a negative number is ignored: the machine
// has been removed.
func (m *Model) AddUsage(id ident.MachineID, cpus float64) {
	if m.machines[id] == nil && cpus < 0 {
		return
	}
	machine := m.ensureMachine(id)
	m.update(machine, func() {
		if machine.used += cpus; math.Abs(machine.used) < roundingTolerance {
			machine.used = 0
		}
	})
}

// Imbalance returns the coefficient of variation of the utilizations of all machines.
func (m *Model) Imbalance() float64 { return m.cluster.imbalance() }

// ZoneImbalance returns the coefficient of variation of the utilizations of a zone's machines.
func (m *Model) ZoneImbalance(zone string) float64 {
	if z := m.zones[zone]; z != nil {
		return z.imbalance()
	}
	return 0
}
