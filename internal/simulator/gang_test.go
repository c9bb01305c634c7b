package simulator

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/election"
	"opaldale/internal/ident"
)

// TestGangsUnderFaults runs many gangs during faults: their tasks run together or not at all, and every gang ends.
func TestGangsUnderFaults(t *testing.T) {
	t.Parallel()
	runs := 0
	for seed := range uint64(20) {
		sim := New(Config{Seed: seed, Faults: true, MoreGangs: true, ActiveDuration: 300 * time.Second})
		sim.Run()
		requireClean(t, sim)
		runs += sim.GangRuns
	}
	if runs < 100 {
		t.Errorf("only %d gangs ran", runs)
	}
}

// TestGangsWithoutFaults: without faults gangs run, and nothing is violated.
func TestGangsWithoutFaults(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 3, MoreGangs: true, ActiveDuration: 250 * time.Second})
	sim.Run()
	requireClean(t, sim)
	if sim.GangRuns < 5 {
		t.Errorf("%d gangs ran", sim.GangRuns)
	}
}

// TestRollingUpgradeUnderFaults upgrades a cluster during faults: nodes of both versions read each other's data, the
// format level is not raised before all are new, and afterwards nothing exceeds the announced limits.
func TestRollingUpgradeUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		sim := New(Config{
			Seed:           seed,
			RollingUpgrade: true,
			Faults:         seed%4 > 0,
			MoreGangs:      true,
			ActiveDuration: 300 * time.Second,
		})
		sim.Run()
		requireClean(t, sim)
		if _, level, err := election.DecodeTerm(sim.store.keys[election.TermKey].value); err != nil ||
			level != ident.NewestFormatLevel {
			t.Errorf("seed %d: the format level is %d at the end, %v", seed, level, err)
		}
		if sim.GangRuns == 0 {
			t.Errorf("seed %d: no gang ran", seed)
		}
	}
}

// TestGangMutationsAreDetected shows that the checks of gangs and of a rolling upgrade can fail.
func TestGangMutationsAreDetected(t *testing.T) {
	t.Parallel()
	for name, m := range map[string]Mutation{"new attempt while an old task runs": HideWaitingGangTasks,
		"attempt number reused":     ReuseGangAttempt,
		"format level raised early": RaiseFormatEarly, "new field written early": WriteNewFieldsEarly} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				sim := New(Config{
					Seed:      seed,
					Mutation:  m,
					Faults:    seed > 0,
					MoreGangs: true,
					RollingUpgrade: m == RaiseFormatEarly ||
						m == WriteNewFieldsEarly,
					ActiveDuration: 250 * time.Second,
				})
				if sim.Run(); len(sim.Violations) > 0 {
					t.Logf("seed %d: %v", seed, sim.Violations)
					return
				}
			}
			t.Fatal("no seed detects it")
		})
	}
}

// runWithReclaimNotices runs a simulation without faults in which spot machines with running gangs are reclaimed after
// a notice.
func runWithReclaimNotices(seed uint64, m Mutation) *Simulation {
	sim := New(Config{Seed: seed, Mutation: m, MoreGangs: true, ActiveDuration: 250 * time.Second})
	for at := 40 * time.Second; at < 240*time.Second; at += 3 * time.Second {
		sim.schedule(at, func() {
			for _, w := range sim.sortedWorkers() {
				runningGangTasks := 0
				w.forEachTask(func(t *task) {
					if sim.jobs[t.id.Job].spec.Shape == api.Gang && t.status == api.Running {
						runningGangTasks++
					}
				})
				if w.machine.spot && w.reclaimAt == 0 && runningGangTasks > 0 {
					w.announceReclaim(reclaimNotice)
					sim.schedule(reclaimNotice, func() { sim.cloud.terminate(w.machine) })
				}
			}
		})
	}
	sim.Run()
	return sim
}

// TestGangsCheckpointOnReclaimNotice: a gang on a machine that will be reclaimed checkpoints as a whole and continues
// elsewhere. The checks detect that only a part of it is told to stop.
func TestGangsCheckpointOnReclaimNotice(t *testing.T) {
	t.Parallel()
	stops := 0
	for seed := range uint64(20) {
		sim := runWithReclaimNotices(seed, None)
		requireClean(t, sim)
		stops += sim.GangStops
	}
	if stops < 3 {
		t.Errorf("%d gangs were stopped to checkpoint", stops)
	} else {
		t.Logf("%d gangs were stopped to checkpoint", stops)
	}
	for seed := range uint64(20) {
		if sim := runWithReclaimNotices(seed, StopPartOfGang); len(sim.Violations) > 0 {
			t.Logf("seed %d: %v", seed, sim.Violations)
			return
		}
	}
	t.Error("no seed detects that only a part of a gang is stopped")
}
