package simulator

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/election"
	"opaldale/internal/ident"
)

// TestGangsUnderFaults guards against gangs of which only some tasks run: during random faults the tasks of a gang run
// together or none of them does, and every gang ends.
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
		t.Errorf("got %d gang runs over all seeds, want at least 100", runs)
	}
}

// TestGangsWithoutFaults: without faults gangs run, and no invariant is violated.
func TestGangsWithoutFaults(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 3, MoreGangs: true, ActiveDuration: 250 * time.Second})
	sim.Run()
	requireClean(t, sim)
	if sim.GangRuns < 5 {
		t.Errorf("got %d gang runs, want at least 5", sim.GangRuns)
	}
}

// TestRollingUpgradeUnderFaults upgrades a cluster node by node during faults. It guards against data that the version in
// production cannot read: nodes of both versions read each other's data, and the format level is raised only once all nodes
// run the new version. After that, nothing exceeds the announced limits of the store.
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
			t.Errorf("seed %d: got format level %d at the end (error %v), want the newest", seed, level, err)
		}
		if sim.GangRuns == 0 {
			t.Errorf("seed %d: got no gang run, want at least 1", seed)
		}
	}
}

// TestGangMutationsAreDetected shows that the checks of gangs and of a rolling upgrade can fail: with a safeguard disabled,
// some seed violates an invariant.
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
			t.Fatalf("no seed of 40 detects mutation %d", m)
		})
	}
}

// runWithReclaimNotices runs a simulation without random faults in which spot machines with running gangs are reclaimed
// after a notice.
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

// TestGangsCheckpointOnReclaimNotice guards against the loss of a gang's progress when one of its machines is reclaimed: the
// whole gang checkpoints, stops and continues on other machines. If only some of its tasks are stopped, a check detects it.
func TestGangsCheckpointOnReclaimNotice(t *testing.T) {
	t.Parallel()
	stops := 0
	for seed := range uint64(20) {
		sim := runWithReclaimNotices(seed, None)
		requireClean(t, sim)
		stops += sim.GangStops
	}
	if stops < 3 {
		t.Errorf("got %d gangs stopped to checkpoint, want at least 3", stops)
	} else {
		t.Logf("%d gangs were stopped to checkpoint", stops)
	}
	for seed := range uint64(20) {
		if sim := runWithReclaimNotices(seed, StopPartOfGang); len(sim.Violations) > 0 {
			t.Logf("seed %d: %v", seed, sim.Violations)
			return
		}
	}
	t.Error("no seed of 20 detects that only a part of a gang is stopped")
}
