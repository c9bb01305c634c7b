package standin

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/election"
	"opaldale/internal/ident"
)

// whole checks that a run broke no rule and left nothing undone.
func whole(t *testing.T, seed uint64, w *World) {
	t.Helper()
	if len(w.Broken) > 0 || len(w.Undone) > 0 {
		t.Fatalf("seed %d: %v %v\n%s", seed, w.Broken, w.Undone, w.Tail(60))
	}
	if w.TooLarge > 0 {
		t.Errorf("seed %d: %d transactions were over the new limits", seed, w.TooLarge)
	}
}

// TestGangs plays days of trouble with many gangs: tasks run together or not at all,
// and every gang comes to its end.
func TestGangs(t *testing.T) {
	t.Parallel()
	runs := 0
	for seed := range uint64(20) {
		w := New(Config{Seed: seed, Faults: true, Gangs: true, Length: 300 * time.Second})
		w.Run()
		whole(t, seed, w)
		runs += w.GangRuns
	}
	if runs < 100 {
		t.Errorf("only %d gangs ran", runs)
	}
}

// TestGangsOfAQuietDay start once each, and again only for those stopped in order.
func TestGangsOfAQuietDay(t *testing.T) {
	t.Parallel()
	w := New(Config{Seed: 3, Gangs: true, Length: 250 * time.Second})
	w.Run()
	whole(t, 3, w)
	if w.GangRuns < 5 {
		t.Errorf("%d gangs ran", w.GangRuns)
	}
}

// TestRollout upgrades a cluster that serves, amid troubles: nodes of both versions
// read each other's data, no level is raised before all are new, and after it nothing
// is larger than the limits to come.
func TestRollout(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		w := New(Config{Seed: seed, Old: true, Faults: seed%4 > 0, Gangs: true, Length: 300 * time.Second})
		w.Run()
		whole(t, seed, w)
		if _, level, err := election.DecodeTerm(w.store.keys[election.TermKey].value); err != nil || level != ident.NewestFormatLevel {
			t.Errorf("seed %d: the format level ends as %d, %v", seed, level, err)
		}
		if w.GangRuns == 0 {
			t.Errorf("seed %d: no gang ran", seed)
		}
	}
}

// TestGangMutations shows that the checks of gangs and of a rollout can fail.
func TestGangMutations(t *testing.T) {
	t.Parallel()
	for name, m := range map[string]Mutation{"a new attempt beside an old task": HideGathering, "an attempt's number is used again": OneTry,
		"level raised early": RaiseEarly, "new field early": WriteEarly} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				w := New(Config{Seed: seed, Mutation: m, Faults: seed > 0, Gangs: true, Old: m == RaiseEarly || m == WriteEarly, Length: 250 * time.Second})
				if w.Run(); len(w.Broken) > 0 {
					t.Logf("seed %d: %v", seed, w.Broken)
					return
				}
			}
			t.Fatal("no seed noticed")
		})
	}
}

// notices plays a day on which nothing goes wrong but that spot machines on which a gang
// runs are taken, all with a notice.
func notices(seed uint64, m Mutation) *World {
	w := New(Config{Seed: seed, Mutation: m, Gangs: true, Length: 250 * time.Second})
	for at := 40 * time.Second; at < 240*time.Second; at += 3 * time.Second {
		w.at(at, func() {
			for _, k := range w.sortedWorkers() {
				gangs := 0
				for id, tries := range k.pieces {
					for _, p := range tries {
						if w.jobs[id.Job].spec.Shape == api.Gang && p.status == api.Running {
							gangs++
						}
					}
				}
				if k.m.standby && k.doomed == 0 && gangs > 0 {
					k.doom(14 * time.Second)
					w.at(14*time.Second, func() { w.cloud.take(k.m) })
				}
			}
		})
	}
	w.Run()
	return w
}

// TestGangsStopInOrder: a gang with a machine that will be taken saves as a whole and
// goes on elsewhere. If only a part of it were told, the checks would say so.
func TestGangsStopInOrder(t *testing.T) {
	t.Parallel()
	stops := 0
	for seed := range uint64(20) {
		w := notices(seed, None)
		whole(t, seed, w)
		stops += w.GangStops
	}
	if stops < 3 {
		t.Errorf("%d gangs were stopped in order", stops)
	} else {
		t.Logf("%d gangs were stopped in order", stops)
	}
	for seed := range uint64(20) {
		if w := notices(seed, StopPart); len(w.Broken) > 0 {
			t.Logf("seed %d: %v", seed, w.Broken)
			return
		}
	}
	t.Error("that a part of a gang is stopped was not noticed")
}
