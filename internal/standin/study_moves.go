package standin

import (
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/settings"
)

// MovesOutcome is what came of a day on which wide tasks find no room on a fragmented fleet.
type MovesOutcome struct {
	Seed     uint64             `json:"seed"`
	Mode     settings.Rebalance `json:"mode"`
	Estimate float64            `json:"estimate"` // of run times, as a multiple of what is true
	Slow     int                `json:"slow"`     // machines that are much slower than the others
	// WideWaitS is from the submission of each wide task to its start, and NarrowDoneS from the
	// submission of each other job to its end.
	WideWaitS   []float64 `json:"wide_wait_s"`
	NarrowDoneS []float64 `json:"narrow_done_s"`
	// LostCPUS is the work thrown away by stops, in CPU seconds.
	LostCPUS float64        `json:"lost_cpu_s"`
	Moves    int            `json:"moves"`
	Ended    map[string]int `json:"ended"`
	// ExpectedS and RealisedS are the gains, less the costs, of the moves that arrived.
	ExpectedS []float64 `json:"expected_s"`
	RealisedS []float64 `json:"realised_s"`
	MostMoved int       `json:"most_moved"` // how often the job that was moved most was
	Broken    int       `json:"broken"`
	Undone    int       `json:"undone"`
}

const (
	// studiedCapacity is how many machines of each zone and kind the cloud has.
	studiedCapacity = 6
	studiedWideFor  = 50.0
	studiedWidePace = 2.0
)

// StudyMoves plays a day on which a fleet is fragmented by tasks of which one on each machine
// ends early, and wide tasks come every few seconds; a controller dies meanwhile.
func StudyMoves(seed uint64, mode settings.Rebalance, estimate float64) MovesOutcome {
	cfg := movingConfig(seed)
	cfg.Rebalance, cfg.Capacity, cfg.Calm = mode, studiedCapacity, 400*time.Second
	w := New(cfg)
	var wide, narrow []*userJob
	w.when(2, func() {
		for range 4 * cfg.Capacity {
			j := w.job(func(s *api.Spec) { w.narrow(s); s.RuntimeS *= estimate }, firstEnds)
			j.step = nextEnds
			narrow = append(narrow, j)
		}
	})
	for s := wideAt; s < wideAt+studiedWideFor; s += studiedWidePace {
		w.when(s, func() {
			wide = append(wide, w.job(func(s *api.Spec) {
				w.narrow(s)
				s.Tasks, s.VCPUs, s.CheckpointEveryS, s.RuntimeS = 1, 4, 0, wideRuns.Seconds()*estimate
			}, wideRuns))
		})
	}
	w.when(wideAt+35, func() {
		if l := w.leader(); l != nil {
			l.kill(3 * time.Second)
		}
	})
	return w.movesOutcome(MovesOutcome{Seed: seed, Mode: mode, Estimate: estimate}, &wide, &narrow)
}

// StudySlow plays a day on which one machine of eight takes four times as long as the others; its
// narrow jobs are the long ones.
func StudySlow(seed uint64, mode settings.Rebalance) MovesOutcome {
	w := slowDay(seed, mode, 1)
	var long []*userJob
	w.when(3, func() {
		for _, id := range w.order {
			if j := w.jobs[id]; j.runs == slowLong {
				long = append(long, j)
			}
		}
	})
	return w.movesOutcome(MovesOutcome{Seed: seed, Mode: mode, Estimate: 1, Slow: 1}, &[]*userJob{}, &long)
}

// movesOutcome plays a day and gathers what comes of it.
func (w *World) movesOutcome(out MovesOutcome, wide, narrow *[]*userJob) MovesOutcome {
	out.Ended, out.ExpectedS, out.RealisedS = map[string]int{}, []float64{}, []float64{}
	out.WideWaitS, out.NarrowDoneS = []float64{}, []float64{}
	gains := w.gatherGains()
	w.Run()
	for _, j := range *wide {
		out.WideWaitS = append(out.WideWaitS, j.begunAt.Sub(j.sentAt).Seconds())
	}
	for _, j := range *narrow {
		if j.told == "done" {
			out.NarrowDoneS = append(out.NarrowDoneS, j.toldAt.Sub(j.sentAt).Seconds())
		}
		out.LostCPUS += j.lost.Seconds() * j.spec.VCPUs
		out.MostMoved = max(out.MostMoved, j.stopCount())
	}
	for _, m := range *gains {
		out.Ended[m.Reason]++
		if m.Reason == "arrived" {
			out.ExpectedS = append(out.ExpectedS, m.ExpectedGainS-m.CostS)
			out.RealisedS = append(out.RealisedS, *m.RealisedGainS)
		}
	}
	out.Moves, out.Broken, out.Undone = w.Moves, len(w.Broken), len(w.Undone)
	return out
}

// gatherGains collects the moves that have ended, as they are told last by the leader that
// carried them out.
func (w *World) gatherGains() *[]controller.MoveEntry {
	var all []controller.MoveEntry
	same := func(a, b controller.MoveEntry) bool { return a.Task == b.Task && a.From == b.From && a.To == b.To }
	w.when(wideAt, func() {
		w.watchMoves(250*time.Millisecond, func(_ *node, m controller.MoveEntry) bool {
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
