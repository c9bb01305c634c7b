package simulator

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/election"
	"opaldale/internal/ident"
)

// TestGangsUnderFaults plays days of trouble with many gangs: tasks run together or not at all,
// and every gang comes to its end.
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

// TestGangsWithoutFaults start once each, and again only for those stopped in order.
func TestGangsWithoutFaults(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 3, MoreGangs: true, ActiveDuration: 250 * time.Second})
	sim.Run()
	requireClean(t, sim)
	if sim.GangRuns < 5 {
		t.Errorf("%d gangs ran", sim.GangRuns)
	}
}

// TestRollingUpgradeUnderFaults upgrades a cluster that serves, amid troubles: nodes of both versions
// read each other's data, no level is raised before all are new, and after it nothing
// is larger than the limits to come.
func TestRollingUpgradeUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		sim := New(Config{Seed: seed, RollingUpgrade: true, Faults: seed%4 > 0, MoreGangs: true,
			ActiveDuration: 300 * time.Second})
		sim.Run()
		requireClean(t, sim)
		if _, level, err := election.DecodeTerm(sim.store.keys[election.TermKey].value); err != nil ||
			level != ident.NewestFormatLevel {
			t.Errorf("seed %d: the format level ends as %d, %v", seed, level, err)
		}
		if sim.GangRuns == 0 {
			t.Errorf("seed %d: no gang ran", seed)
		}
	}
}

// TestGangMutationsAreDetected shows that the checks of gangs and of a rollout can fail.
func TestGangMutationsAreDetected(t *testing.T) {
	t.Parallel()
	for name, m := range map[string]Mutation{"a new attempt beside an old task": HideWaitingGangTasks,
		"an attempt's number is used again": ReuseGangAttempt,
		"level raised early":                RaiseFormatEarly, "new field early": WriteNewFieldsEarly} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				sim := New(Config{Seed: seed, Mutation: m, Faults: seed > 0, MoreGangs: true,
					RollingUpgrade: m == RaiseFormatEarly ||
						m == WriteNewFieldsEarly, ActiveDuration: 250 * time.Second})
				if sim.Run(); len(sim.Violations) > 0 {
					t.Logf("seed %d: %v", seed, sim.Violations)
					return
				}
			}
			t.Fatal("no seed noticed")
		})
	}
}

// runWithReclaimNotices plays a day on which nothing goes wrong but that spot machines on which a gang
// runs are taken, all with a notice.
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
					w.announceReclaim(14 * time.Second)
					sim.schedule(14*time.Second, func() { sim.cloud.terminate(w.machine) })
				}
			}
		})
	}
	sim.Run()
	return sim
}

// TestGangsCheckpointOnReclaimNotice: a gang with a machine that will be taken saves as a whole and
// goes on elsewhere. If only a part of it were told, the checks would say so.
func TestGangsCheckpointOnReclaimNotice(t *testing.T) {
	t.Parallel()
	stops := 0
	for seed := range uint64(20) {
		sim := runWithReclaimNotices(seed, None)
		requireClean(t, sim)
		stops += sim.GangStops
	}
	if stops < 3 {
		t.Errorf("%d gangs were stopped in order", stops)
	} else {
		t.Logf("%d gangs were stopped in order", stops)
	}
	for seed := range uint64(20) {
		if sim := runWithReclaimNotices(seed, StopPartOfGang); len(sim.Violations) > 0 {
			t.Logf("seed %d: %v", seed, sim.Violations)
			return
		}
	}
	t.Error("that a part of a gang is stopped was not noticed")
}
