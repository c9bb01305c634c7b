package load

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/ident"
)

// runTasks records runs of jobs with tasks of different lengths on random machines, and returns the
// machines that count as slow. factor multiplies the run times on some of the machines.
func runTasks(seed uint64, machines int, factor map[int]float64) map[int]bool {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := NewSlownessEstimator()
	slow := map[int]bool{}
	machineID := func(i int) ident.MachineID { return ident.MachineID(fmt.Sprint("host-", i)) }
	for job := range 30 {
		typical := 6 + 60*rng.Float64()
		for range machines {
			i := rng.IntN(machines)
			took := typical * (0.5 + rng.Float64()) * (0.95 + 0.1*rng.Float64())
			if f, ok := factor[i]; ok {
				took *= f
			}
			s.RecordRun(ident.JobID(fmt.Sprint("j-", job)), "m8", machineID(i), time.Duration(took*float64(time.Second)))
		}
	}
	for i := range machines {
		if s.DetectSlow(machineID(i), machines) {
			slow[i] = true
		}
	}
	return slow
}

// TestSlowMachines: a machine with three times the usual run time is detected while run times on all
// machines vary by half in either direction, and no other machine counts as slow. If many machines are
// slow, at most 2 % count as slow.
func TestSlowMachines(t *testing.T) {
	for seed := range uint64(20) {
		slow := runTasks(seed, 100, map[int]float64{7: 3})
		if len(slow) != 1 || !slow[7] {
			t.Errorf("seed %d: got slow machines %v, want machine 7 only", seed, slow)
		}
		if slow := runTasks(seed, 100, map[int]float64{7: 1.3}); len(slow) != 0 {
			t.Errorf("seed %d: got slow machines %v with one slower by a factor of 1.3, want none", seed, slow)
		}
		many := map[int]float64{}
		for i := range 30 {
			many[i] = 4
		}
		if slow := runTasks(seed, 100, many); len(slow) > 2 {
			t.Errorf("seed %d: got slow machines %v with 30 slower by a factor of 4, want at most 2", seed, slow)
		}
	}
}

// TestSlownessNeedsEvidence: a machine with few or short runs, or runs without comparable ones on other
// machines, does not count as slow. The samples of a removed machine are dropped.
func TestSlownessNeedsEvidence(t *testing.T) {
	peers := func(s *SlownessEstimator, model string, took time.Duration) {
		for i := range 8 {
			s.RecordRun("j-1", model, ident.MachineID(fmt.Sprint("host-", i)), took)
		}
	}
	s := NewSlownessEstimator()
	peers(s, "m8", 10*time.Second)
	for range minSamples - 1 {
		s.RecordRun("j-1", "m8", "late", time.Minute)
	}
	if s.Slowness("late") != 1 || s.DetectSlow("late", 100) {
		t.Errorf("with fewer than %d samples: got slowness %v, want 1 and not slow", minSamples, s.Slowness("late"))
	}
	if s.RecordRun("j-1", "m8", "late", time.Minute); s.Slowness("late") < 5 || !s.DetectSlow("late", 100) {
		t.Errorf("with %d samples: got slowness %v, want at least 5 and slow", minSamples, s.Slowness("late"))
	}
	if s.RemoveMachine("late"); s.DetectSlow("late", 100) {
		t.Error("removed machine: got DetectSlow true, want false")
	}
	s = NewSlownessEstimator()
	peers(s, "m8", time.Second)
	peers(s, "m16", 10*time.Second)
	for range 2 * minSamples {
		s.RecordRun("j-1", "m8", "late", time.Minute)
		s.RecordRun("j-2", "m16", "late", time.Minute)
	}
	if s.DetectSlow("late", 100) {
		t.Error("short runs, another type, or no runs on other machines to compare with: got DetectSlow true, want false")
	}
}
