// Package load tracks the load of machines, zones and teams: how evenly the machines are used, which
// teams demand far more than they are entitled to, and which machines are slow.
//
// It does no I/O and reads no clock. Each change updates the sums, so that no query iterates over the
// machines. Its types are not safe for concurrent use.
package load

import (
	"math"
	"time"

	"opaldale/internal/ident"
)

// Average is the exponentially decaying average of a level that changes in steps: after one half-life
// the previous average counts half.
type Average struct {
	current     float64 // level since updatedAt
	mean        float64 // average at updatedAt
	updatedAt   ident.MonotonicTime
	initialized bool
}

// Set changes the level at a time. The first level is the initial average as well.
func (a *Average) Set(level float64, now ident.MonotonicTime, halfLife time.Duration) {
	if !a.initialized {
		*a = Average{current: level, mean: level, updatedAt: now, initialized: true}
		return
	}
	a.mean = a.Value(now, halfLife)
	a.current, a.updatedAt = level, max(a.updatedAt, now)
}

// Value returns the average at a time.
func (a *Average) Value(now ident.MonotonicTime, halfLife time.Duration) float64 {
	if now <= a.updatedAt {
		return a.mean
	}
	return a.current + (a.mean-a.current)*math.Exp2(-float64(now.Sub(a.updatedAt))/float64(halfLife))
}

// Config holds the time constants and thresholds of a model.
type Config struct {
	// HalfLife is the half-life of all averages.
	HalfLife time.Duration
	// OverloadAt is the demand, as a multiple of what a team is entitled to, from which the team is
	// overloaded. RecoverAt is the demand below which it recovers.
	OverloadAt, RecoverAt float64
	// MinDuration is how long the demand of a team must be beyond either threshold before the team
	// counts as overloaded or as normal.
	MinDuration time.Duration
}

// DefaultConfig returns the values that are used unless the settings override them.
func DefaultConfig() Config {
	return Config{
		HalfLife:    10 * time.Second,
		OverloadAt:  2,
		RecoverAt:   1.2,
		MinDuration: 5 * time.Second,
	}
}

// machineUse is the use of one machine.
type machineUse struct {
	zone string
	cpus float64 // 0 while the size of the machine is unknown
	used float64 // CPUs
}

// utilization is the fraction of the machine's CPUs that is in use.
func (m *machineUse) utilization() float64 { return m.used / m.cpus }

// distribution keeps the sums from which the imbalance of a set of machines follows.
type distribution struct {
	machines        int
	sum, sumSquares float64 // of the utilizations
}

// add adds the utilization of a machine if sign is 1, and removes it if sign is -1.
func (d *distribution) add(utilization float64, sign float64) {
	d.machines += int(sign)
	d.sum += sign * utilization
	d.sumSquares += sign * utilization * utilization
}

// imbalance returns the coefficient of variation of the utilizations: the standard deviation divided
// by the mean; 0 if all are equal, or nothing is in use.
func (d *distribution) imbalance() float64 {
	if d.machines < 2 || d.sum < negligible {
		return 0
	}
	n := float64(d.machines)
	mean := d.sum / n
	variance := max(0, d.sumSquares/n-mean*mean)
	return math.Sqrt(variance) / mean
}

// negligible is the tolerance for rounding errors of sums.
const negligible = 1e-9

// Model is the load of a cluster.
type Model struct {
	config          Config
	machines        map[ident.MachineID]*machineUse
	cluster         distribution
	zones           map[string]*distribution
	teams           map[string]*team
	overloadedTeams int     // number of teams that are overloaded or recovering
	totalCPUs       float64 // of all machines
}

// New makes a model without machines. entitled holds the CPUs that each team is entitled to.
func New(config Config, entitled map[string]float64) *Model {
	m := &Model{
		config:   config,
		machines: map[ident.MachineID]*machineUse{},
		zones:    map[string]*distribution{},
		teams:    map[string]*team{},
	}
	for name, cpus := range entitled {
		m.teams[name] = &team{entitled: cpus}
	}
	return m
}

// update changes a machine with apply, and keeps the sums up to date.
func (m *Model) update(machine *machineUse, apply func()) {
	m.addToTotals(machine, -1)
	apply()
	m.addToTotals(machine, 1)
}

// addToTotals adds a machine to the sums if sign is 1, and removes it if sign is -1.
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

// ensureMachine returns the use of a machine, and adds it if it is new.
func (m *Model) ensureMachine(id ident.MachineID) *machineUse {
	machine := m.machines[id]
	if machine == nil {
		machine = &machineUse{}
		m.machines[id] = machine
	}
	return machine
}

// SetMachine sets the zone and the size of a machine, and adds it if it is new.
func (m *Model) SetMachine(id ident.MachineID, zone string, cpus float64) {
	machine := m.ensureMachine(id)
	if machine.zone == zone && machine.cpus == cpus {
		return
	}
	m.update(machine, func() { machine.zone, machine.cpus = zone, cpus })
}

// RemoveMachine removes a machine that is gone.
func (m *Model) RemoveMachine(id ident.MachineID) {
	if machine := m.machines[id]; machine != nil {
		m.addToTotals(machine, -1)
		delete(m.machines, id)
	}
}

// AddUsage adds the CPUs of a task to those in use on a machine, or subtracts them if negative. A
// machine that is not known yet is added, with an unknown size; a subtraction from one that was
// removed is ignored.
func (m *Model) AddUsage(id ident.MachineID, cpus float64) {
	if m.machines[id] == nil && cpus < 0 {
		return
	}
	machine := m.ensureMachine(id)
	m.update(machine, func() {
		if machine.used += cpus; math.Abs(machine.used) < negligible {
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
