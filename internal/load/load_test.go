package load

import (
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"opaldale/internal/ident"
	"opaldale/internal/propertytest"
)

func TestMain(m *testing.M) { os.Exit(propertytest.Main(m)) }

// referenceMachine is the usage of one machine in a reference model that keeps no sums.
type referenceMachine struct {
	zone       string
	cpus, used float64
}

// utilizationsOf returns the utilizations of the machines in a zone, or of all machines if zone is empty.
func utilizationsOf(model map[ident.MachineID]*referenceMachine, zone string) []float64 {
	var utilizations []float64
	for _, k := range model {
		if k.cpus > 0 && (zone == "" || k.zone == zone) {
			utilizations = append(utilizations, k.used/k.cpus)
		}
	}
	return utilizations
}

// TestImbalance compares the imbalance from the incremental sums with one computed over all machines of a
// reference model, while machines are added, resized, used and removed in random order.
func TestImbalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, model := New(DefaultConfig(), nil), map[ident.MachineID]*referenceMachine{}
		drawMachine := rapid.Custom(func(t *rapid.T) ident.MachineID {
			return ident.MachineID(fmt.Sprintf("host-%d", rapid.IntRange(0, 9).Draw(t, "host")))
		})
		get := func(h ident.MachineID) *referenceMachine {
			if model[h] == nil {
				model[h] = &referenceMachine{}
			}
			return model[h]
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			h := drawMachine.Draw(t, "machine")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				zone := rapid.SampledFrom([]string{"east", "west"}).Draw(t, "zone")
				cpus := float64(rapid.IntRange(1, 64).Draw(t, "cpus"))
				m.SetMachine(h, zone, cpus)
				get(h).zone, get(h).cpus = zone, cpus
			case 1:
				m.RemoveMachine(h)
				delete(model, h)
			default:
				cpus := float64(rapid.IntRange(-4, 8).Draw(t, "use"))
				m.AddUsage(h, cpus)
				if model[h] != nil || cpus >= 0 {
					get(h).used += cpus
				}
			}
		}
		for _, zone := range []string{"", "east", "west"} {
			utilizations := utilizationsOf(model, zone)
			got := m.Imbalance()
			if zone != "" {
				got = m.ZoneImbalance(zone)
			}
			if want := variation(utilizations); math.Abs(got-want) > 1e-3*max(1, want) && want < 1e3 {
				t.Fatalf("zone %q: got imbalance %v, want %v for utilizations %v", zone, got, want, utilizations)
			}
		}
	})
}

// variation computes the coefficient of variation.
func variation(utilizations []float64) float64 {
	sum := 0.0
	for _, x := range utilizations {
		sum += x
	}
	if len(utilizations) < 2 || sum < 1e-9 {
		return 0
	}
	mean, square := sum/float64(len(utilizations)), 0.0
	for _, x := range utilizations {
		square += (x - mean) * (x - mean)
	}
	return math.Sqrt(square/float64(len(utilizations))) / mean
}

// TestAverage: one half-life after a step, the average has changed by half of the step. Setting the same
// level again has no effect.
func TestAverage(t *testing.T) {
	var a Average
	now, half := ident.MonotonicTime(time.Hour), 10*time.Second
	a.Set(4, now, half)
	a.Set(8, now, half)
	if got := a.Value(now.Add(half), half); math.Abs(got-6) > 1e-9 {
		t.Errorf("got average %v one half-life after a step from 4 to 8, want 6", got)
	}
	a.Set(8, now.Add(half), half)
	if got := a.Value(now.Add(2*half), half); math.Abs(got-7) > 1e-9 {
		t.Errorf("got average %v two half-lives after a step from 4 to 8, want 7", got)
	}
}

// runDemand sets the demand of team red to a function of time for a duration, and returns the states that
// the team enters.
func runDemand(d time.Duration, demand func(time.Duration) float64) []DemandState {
	var states []DemandState
	m := New(DefaultConfig(), map[string]float64{"red": 100, "blue": 100})
	start := ident.MonotonicTime(time.Hour)
	for at := time.Duration(0); at < d; at += 500 * time.Millisecond {
		now := start.Add(at)
		m.SetDemand("red", demand(at), now)
		m.SetDemand("blue", 50, now)
		for _, c := range m.Evaluate(now) {
			if c.Team != "red" {
				panic("team " + c.Team + " with a constant demand below its guarantee changed to " + c.To.String())
			}
			states = append(states, c.To)
		}
		if m.AnyOverloaded() != m.IsOverloaded("red") {
			panic(fmt.Sprintf("AnyOverloaded is %v while IsOverloaded of the only varying team is %v",
				m.AnyOverloaded(), m.IsOverloaded("red")))
		}
	}
	return states
}

// TestDemandStates: a team with far too much demand becomes overloaded, and normal again after the demand
// ends. A short peak, or demand between the thresholds, doesn't make the state oscillate.
func TestDemandStates(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand func(time.Duration) float64
		states []DemandState
	}{
		{"within its share", func(time.Duration) float64 { return 90 }, nil},
		{"a hundred times its share for a minute", func(at time.Duration) float64 {
			if at < time.Minute {
				return 10_000
			}
			return 10
		}, []DemandState{Rising, Overloaded, Recovering, Normal}},
		{"a peak of two seconds", func(at time.Duration) float64 {
			if at > 20*time.Second && at < 22*time.Second {
				return 1000
			}
			return 50
		}, nil},
		{"overloaded, then between the thresholds", func(at time.Duration) float64 {
			if at < 20*time.Second {
				return 300
			}
			return 160 + 40*math.Sin(at.Seconds())
		}, []DemandState{Rising, Overloaded}},
	} {
		t.Run(c.name, func(t *testing.T) {
			states := runDemand(4*time.Minute, c.demand)
			if fmt.Sprint(states) != fmt.Sprint(c.states) {
				t.Errorf("got states %v, want %v", states, c.states)
			}
		})
	}
}

// TestPulsesDontOscillate: if the demand comes in short pulses, a team changes between overloaded and
// normal at most twice in all. With longer pulses, it changes at most twice per pulse.
func TestPulsesDontOscillate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		period := time.Duration(rapid.IntRange(1, 60).Draw(t, "period_s")) * time.Second
		high := rapid.Float64Range(100, 2000).Draw(t, "high")
		const long = 10 * time.Minute
		states := runDemand(long, func(at time.Duration) float64 {
			if at%period < period/2 {
				return high
			}
			return 20
		})
		flips := 0
		for i, h := range states {
			if h == Overloaded && (i == 0 || states[i-1] == Rising) || h == Normal && i > 0 && states[i-1] == Recovering {
				flips++
			}
		}
		most := 2 * (int(long/period) + 1)
		if period <= 2*DefaultConfig().MinDuration {
			most = 2
		}
		if flips > most {
			t.Fatalf("got %d changes between overloaded and normal with pulses every %v, want at most %d", flips, period, most)
		}
	})
}

// BenchmarkUse measures the time of a change of usage, which must not depend on the number of machines.
func BenchmarkUse(b *testing.B) {
	for _, machines := range []int{500, 4500} {
		b.Run(fmt.Sprintf("%d machines", machines), func(b *testing.B) {
			m := New(DefaultConfig(), nil)
			machineIDs := make([]ident.MachineID, machines)
			for i := range machineIDs {
				machineIDs[i] = ident.MachineID(fmt.Sprintf("host-%06d", i))
				m.SetMachine(machineIDs[i], "east", 16)
			}
			i := 0
			for b.Loop() {
				m.AddUsage(machineIDs[i%machines], 1)
				m.Imbalance()
				i++
			}
		})
	}
}
