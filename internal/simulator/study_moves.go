package simulator

import (
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/settings"
)

// MovesOutcome is the outcome of a run of StudyMoves or StudySlow.
type MovesOutcome struct {
	Seed         uint64             `json:"seed"`
	Mode         settings.Rebalance `json:"mode"`
	Estimate     float64            `json:"estimate"` // estimated run times as a multiple of the true ones
	SlowMachines int                `json:"slow"`     // machines that are much slower than the others
	// WideWaitS has the time from submission to start of each wide task, in seconds. NarrowDoneS has the time from submission
	// to completion of each other job that completed, in seconds.
	WideWaitS   []float64 `json:"wide_wait_s"`
	NarrowDoneS []float64 `json:"narrow_done_s"`
	// LostCPUS is the work lost when tasks were stopped without a checkpoint, in CPU seconds.
	LostCPUS float64        `json:"lost_cpu_s"`
	Moves    int            `json:"moves"`
	Ended    map[string]int `json:"ended"`
	// ExpectedS has the expected gain minus the cost of each move that arrived, and RealisedS the realized gain, in seconds.
	ExpectedS  []float64 `json:"expected_s"`
	RealisedS  []float64 `json:"realised_s"`
	MostMoved  int       `json:"most_moved"` // largest number of stopped task attempts of a job
	Violations int       `json:"broken"`
	Unfinished int       `json:"undone"`
}

const (
	// studyZoneCapacity is the number of machines per zone and kind.
	studyZoneCapacity   = 6
	wideArrivalSeconds  = 50.0
	wideArrivalInterval = 2.0
)

// StudyMoves runs a fleet that becomes fragmented because one task on each machine ends early. Wide tasks are then submitted
// every two seconds, and the leader crashes once. The outcome shows how much moving running tasks helps the wide tasks.
func StudyMoves(seed uint64, mode settings.Rebalance, estimate float64) MovesOutcome {
	cfg := rebalancingConfig(seed)
	cfg.Rebalance, cfg.ZoneCapacity, cfg.QuiescentDuration = mode, studyZoneCapacity, 400*time.Second
	sim := New(cfg)
	var wide, narrow []*userJob
	sim.scheduleAt(2, func() {
		for range 4 * cfg.ZoneCapacity {
			j := sim.submitJob(func(s *api.Spec) { makeNarrow(s); s.RuntimeS *= estimate }, firstTaskDuration)
			j.durationStep = taskDurationStep
			narrow = append(narrow, j)
		}
	})
	for s := wideTasksAt; s < wideTasksAt+wideArrivalSeconds; s += wideArrivalInterval {
		sim.scheduleAt(s, func() {
			wide = append(wide, sim.submitJob(func(s *api.Spec) {
				makeWide(s, 4, wideTaskDuration.Seconds()*estimate)
			}, wideTaskDuration))
		})
	}
	sim.onLeader(wideTasksAt+35, func(l *node) { l.crash(3 * time.Second) })
	return sim.runMovesStudy(MovesOutcome{Seed: seed, Mode: mode, Estimate: estimate}, &wide, &narrow)
}

// StudySlow runs a fleet of eight machines, one of which is slower than the others by slowFactor. NarrowDoneS of the outcome
// covers the long jobs.
func StudySlow(seed uint64, mode settings.Rebalance) MovesOutcome {
	sim := slowMachineScenario(seed, mode, 1)
	var long []*userJob
	sim.scheduleAt(3, func() {
		for _, id := range sim.jobOrder {
			if j := sim.jobs[id]; j.duration == longTaskDuration {
				long = append(long, j)
			}
		}
	})
	return sim.runMovesStudy(MovesOutcome{Seed: seed, Mode: mode, Estimate: 1, SlowMachines: 1}, &[]*userJob{}, &long)
}

// runMovesStudy runs the simulation and fills in the measurements of the outcome.
func (sim *Simulation) runMovesStudy(out MovesOutcome, wide, narrow *[]*userJob) MovesOutcome {
	out.Ended, out.ExpectedS, out.RealisedS = map[string]int{}, []float64{}, []float64{}
	out.WideWaitS, out.NarrowDoneS = []float64{}, []float64{}
	gains := sim.collectFinishedMoves()
	sim.Run()
	for _, j := range *wide {
		out.WideWaitS = append(out.WideWaitS, j.firstStartAt.Sub(j.submittedAt).Seconds())
	}
	for _, j := range *narrow {
		if j.lastStatus == api.StatusDone {
			out.NarrowDoneS = append(out.NarrowDoneS, j.lastStatusAt.Sub(j.submittedAt).Seconds())
		}
		out.LostCPUS += j.lostWork.Seconds() * j.spec.VCPUs
		out.MostMoved = max(out.MostMoved, j.stopCount())
	}
	for _, m := range *gains {
		out.Ended[m.Reason]++
		if m.Reason == "arrived" {
			out.ExpectedS = append(out.ExpectedS, m.ExpectedGainS-m.CostS)
			out.RealisedS = append(out.RealisedS, *m.RealizedGainS)
		}
	}
	out.Moves, out.Violations, out.Unfinished = sim.Moves, len(sim.Violations), len(sim.Unfinished)
	return out
}

// collectFinishedMoves collects the moves that ended, each as last reported by a leader. The slice fills during the run.
func (sim *Simulation) collectFinishedMoves() *[]controller.MoveEntry {
	var all []controller.MoveEntry
	same := func(a, b controller.MoveEntry) bool { return a.Task == b.Task && a.From == b.From && a.To == b.To }
	sim.scheduleAt(wideTasksAt, func() {
		sim.pollMoves(250*time.Millisecond, func(_ *node, m controller.MoveEntry) bool {
			if m.Reason == "" {
				return false
			}
			if i := slices.IndexFunc(all, func(o controller.MoveEntry) bool { return same(o, m) }); i >= 0 {
				all[i] = m
			} else {
				all = append(all, m)
			}
			return false
		})
	})
	return &all
}
