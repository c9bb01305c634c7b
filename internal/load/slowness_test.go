package load

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/ident"
)

// runTasks records runs of jobs with tasks of different lengths on machines, some of which are slower
// by a factor, and returns the machines that count as slow.
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

// TestSlowMachines: a machine that takes three times as long is detected among others whose run times
// vary by half in either direction, and no other counts as slow; if many seem slow, only a small
// fraction counts.
func TestSlowMachines(t *testing.T) {
	for seed := range uint64(20) {
		slow := runTasks(seed, 100, map[int]float64{7: 3})
		if len(slow) != 1 || !slow[7] {
			t.Errorf("seed %d: slow are %v", seed, slow)
		}
		if slow := runTasks(seed, 100, map[int]float64{7: 1.3}); len(slow) != 0 {
			t.Errorf("seed %d: with one a little slower: %v", seed, slow)
		}
		many := map[int]float64{}
		for i := range 30 {
			many[i] = 4
		}
		if slow := runTasks(seed, 100, many); len(slow) > 2 {
			t.Errorf("seed %d: with many slower: %v", seed, slow)
		}
	}
}

// TestSlownessNeedsEvidence: few or short runs, and runs without comparable ones on other machines,
// don't make a machine slow, and a removed machine is forgotten.
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
		t.Errorf("few ends: %v", s.Slowness("late"))
	}
	if s.RecordRun("j-1", "m8", "late", time.Minute); s.Slowness("late") < 5 || !s.DetectSlow("late", 100) {
		t.Errorf("enough ends: %v", s.Slowness("late"))
	}
	if s.RemoveMachine("late"); s.DetectSlow("late", 100) {
		t.Error("a machine that is gone is slow")
	}
	s = NewSlownessEstimator()
	peers(s, "m8", time.Second)
	peers(s, "m16", 10*time.Second)
	for range 2 * minSamples {
		s.RecordRun("j-1", "m8", "late", time.Minute)
		s.RecordRun("j-2", "m16", "late", time.Minute)
	}
	if s.DetectSlow("late", 100) {
		t.Error("slow beside short runs, another type, or nothing")
	}
}
