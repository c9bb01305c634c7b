// Package load keeps the load of machines, zones and teams: how even the use of the machines
// is, and which teams ask for far more than they are entitled to. It is pure: changes and
// times come in, by updates alone, and nothing walks over the machines.
package load

import (
	"math"
	"time"

	"opaldale/internal/ident"
)

// Average is the decayed average of a level that changes in steps: what lay one half-life
// ago counts half.
type Average struct {
	current, mean float64
	updated       ident.MonotonicTime
	initialized   bool
}

// Set notes that the level changes at a time. The first level is the average.
func (a *Average) Set(level float64, now ident.MonotonicTime, halfLife time.Duration) {
	if !a.initialized {
		*a = Average{current: level, mean: level, updated: now, initialized: true}
		return
	}
	a.mean = a.Value(now, halfLife)
	a.current, a.updated = level, max(a.updated, now)
}

// Value returns the average at a time.
func (a *Average) Value(now ident.MonotonicTime, halfLife time.Duration) float64 {
	if now <= a.updated {
		return a.mean
	}
	return a.current + (a.mean-a.current)*math.Exp2(-float64(now.Sub(a.updated))/float64(halfLife))
}

// Config holds the times and bounds of a model.
type Config struct {
	// HalfLife is that of all averages.
	HalfLife time.Duration
	// OverloadAt is the demand, as a multiple of what a team is entitled to, from which it is
	// hot, and RecoverAt that below which it isn't any more.
	OverloadAt, RecoverAt float64
	// MinDuration is for how long a team must be beyond either bound.
	MinDuration time.Duration
}

// DefaultConfig returns the values used where the operators name none.
func DefaultConfig() Config {
	return Config{HalfLife: 10 * time.Second, OverloadAt: 2, RecoverAt: 1.2, MinDuration: 5 * time.Second}
}

// machineUse is one machine's use.
type machineUse struct {
	zone string
	cpus float64 // 0 while its size is not known
	used float64
}

func (m *machineUse) utilization() float64 { return m.used / m.cpus }

// distribution is what the imbalance of some machines is worked out from.
type distribution struct {
	machines        int
	sum, sumSquares float64 // of the shares in use
}

func (s *distribution) add(share float64, sign float64) {
	s.machines += int(sign)
	s.sum += sign * share
	s.sumSquares += sign * share * share
}

// Imbalance returns the coefficient of variation of the shares in use: the standard
// deviation as a part of the mean; 0 if all are alike, or nothing is in use.
func (s *distribution) imbalance() float64 {
	if s.machines < 2 || s.sum < negligible {
		return 0
	}
	n := float64(s.machines)
	mean := s.sum / n
	variance := max(0, s.sumSquares/n-mean*mean)
	return math.Sqrt(variance) / mean
}

// negligible forgives rounding in sums of shares.
const negligible = 1e-9

// Model is the load of a cluster.
type Model struct {
	config          Config
	machines        map[ident.MachineID]*machineUse
	cluster         distribution
	zones           map[string]*distribution
	teams           map[string]*team
	overloadedTeams int     // teams
	totalCPUs       float64 // of all machines
}

// New makes a model without machines. entitled says how many CPUs each team may count on.
func New(config Config, entitled map[string]float64) *Model {
	m := &Model{config: config, machines: map[ident.MachineID]*machineUse{}, zones: map[string]*distribution{}, teams: map[string]*team{}}
	for name, cpus := range entitled {
		m.teams[name] = &team{entitled: cpus}
	}
	return m
}

// update takes a machine out of the sums, changes it, and puts it back.
func (m *Model) update(machine *machineUse, apply func()) {
	m.addToTotals(machine, -1)
	apply()
	m.addToTotals(machine, 1)
}

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

func (m *Model) ensureMachine(id ident.MachineID) *machineUse {
	machine := m.machines[id]
	if machine == nil {
		machine = &machineUse{}
		m.machines[id] = machine
	}
	return machine
}

// SetMachine notes that a machine is there, with its size.
func (m *Model) SetMachine(id ident.MachineID, zone string, cpus float64) {
	machine := m.ensureMachine(id)
	if machine.zone == zone && machine.cpus == cpus {
		return
	}
	m.update(machine, func() { machine.zone, machine.cpus = zone, cpus })
}

// RemoveMachine notes that a machine is gone.
func (m *Model) RemoveMachine(id ident.MachineID) {
	if machine := m.machines[id]; machine != nil {
		m.addToTotals(machine, -1)
		delete(m.machines, id)
	}
}

// AddUsage notes that tasks of so many CPUs have come to a machine, or left it. What leaves a
// machine that is gone changes nothing.
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

// Imbalance returns how uneven the use of all machines is.
func (m *Model) Imbalance() float64 { return m.cluster.imbalance() }

// ZoneImbalance returns how uneven the use of a zone's machines is.
func (m *Model) ZoneImbalance(zone string) float64 {
	if z := m.zones[zone]; z != nil {
		return z.imbalance()
	}
	return 0
}
