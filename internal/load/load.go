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
	level, mean float64
	at          ident.MonotonicTime
	known       bool
}

// Set notes that the level changes at a time. The first level is the average.
func (a *Average) Set(level float64, now ident.MonotonicTime, halfLife time.Duration) {
	if !a.known {
		*a = Average{level: level, mean: level, at: now, known: true}
		return
	}
	a.mean = a.Value(now, halfLife)
	a.level, a.at = level, max(a.at, now)
}

// Value returns the average at a time.
func (a *Average) Value(now ident.MonotonicTime, halfLife time.Duration) float64 {
	if now <= a.at {
		return a.mean
	}
	return a.level + (a.mean-a.level)*math.Exp2(-float64(now.Sub(a.at))/float64(halfLife))
}

// Config holds the times and bounds of a model.
type Config struct {
	// HalfLife is that of all averages.
	HalfLife time.Duration
	// HotAt is the demand, as a multiple of what a team is entitled to, from which it is
	// hot, and CoolAt that below which it isn't any more.
	HotAt, CoolAt float64
	// Persist is for how long a team must be beyond either bound.
	Persist time.Duration
}

// DefaultConfig returns the values used where the operators name none.
func DefaultConfig() Config {
	return Config{HalfLife: 10 * time.Second, HotAt: 2, CoolAt: 1.2, Persist: 5 * time.Second}
}

// machine is one machine's use.
type machine struct {
	zone string
	cpus float64 // 0 while its size is not known
	used float64
}

func (m *machine) share() float64 { return m.used / m.cpus }

// spread is what the imbalance of some machines is worked out from.
type spread struct {
	machines    int
	sum, square float64 // of the shares in use
}

func (s *spread) add(share float64, sign float64) {
	s.machines += int(sign)
	s.sum += sign * share
	s.square += sign * share * share
}

// Imbalance returns the coefficient of variation of the shares in use: the standard
// deviation as a part of the mean; 0 if all are alike, or nothing is in use.
func (s *spread) imbalance() float64 {
	if s.machines < 2 || s.sum < negligible {
		return 0
	}
	n := float64(s.machines)
	mean := s.sum / n
	variance := max(0, s.square/n-mean*mean)
	return math.Sqrt(variance) / mean
}

// negligible forgives rounding in sums of shares.
const negligible = 1e-9

// Model is the load of a cluster.
type Model struct {
	config   Config
	machines map[ident.MachineID]*machine
	all      spread
	zones    map[string]*spread
	teams    map[string]*team
	hot      int     // teams
	cpus     float64 // of all machines
}

// New makes a model without machines. entitled says how many CPUs each team may count on.
func New(config Config, entitled map[string]float64) *Model {
	m := &Model{config: config, machines: map[ident.MachineID]*machine{}, zones: map[string]*spread{}, teams: map[string]*team{}}
	for name, cpus := range entitled {
		m.teams[name] = &team{entitled: cpus}
	}
	return m
}

// change takes a machine out of the sums, changes it, and puts it back.
func (m *Model) change(k *machine, f func()) {
	m.count(k, -1)
	f()
	m.count(k, 1)
}

func (m *Model) count(k *machine, sign float64) {
	if k.cpus <= 0 {
		return
	}
	m.all.add(k.share(), sign)
	m.cpus += sign * k.cpus
	z := m.zones[k.zone]
	if z == nil {
		z = &spread{}
		m.zones[k.zone] = z
	}
	z.add(k.share(), sign)
}

func (m *Model) machine(h ident.MachineID) *machine {
	k := m.machines[h]
	if k == nil {
		k = &machine{}
		m.machines[h] = k
	}
	return k
}

// Machine notes that a machine is there, with its size.
func (m *Model) Machine(h ident.MachineID, zone string, cpus float64) {
	k := m.machine(h)
	if k.zone == zone && k.cpus == cpus {
		return
	}
	m.change(k, func() { k.zone, k.cpus = zone, cpus })
}

// Gone notes that a machine is gone.
func (m *Model) Gone(h ident.MachineID) {
	if k := m.machines[h]; k != nil {
		m.count(k, -1)
		delete(m.machines, h)
	}
}

// Use notes that tasks of so many CPUs have come to a machine, or left it. What leaves a
// machine that is gone changes nothing.
func (m *Model) Use(h ident.MachineID, cpus float64) {
	if m.machines[h] == nil && cpus < 0 {
		return
	}
	k := m.machine(h)
	m.change(k, func() {
		if k.used += cpus; math.Abs(k.used) < negligible {
			k.used = 0
		}
	})
}

// Imbalance returns how uneven the use of all machines is.
func (m *Model) Imbalance() float64 { return m.all.imbalance() }

// ZoneImbalance returns how uneven the use of a zone's machines is.
func (m *Model) ZoneImbalance(zone string) float64 {
	if z := m.zones[zone]; z != nil {
		return z.imbalance()
	}
	return 0
}
