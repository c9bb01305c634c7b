package placement

import (
	"testing"
	"time"

	"opaldale/internal/api"
)

// BenchmarkBorrowerBacklog places one guaranteed job of 40 tasks on a fleet of 1,900 machines
// that a team without a guarantee has filled, and of which 25,000 tasks and 800 small jobs
// wait.
func BenchmarkBorrowerBacklog(b *testing.B) {
	l := newBorrowedCluster(1900, 0)
	l.submitAs("guest", api.BestEffort, 25_000)
	for range 800 {
		l.submitAs("guest", api.BestEffort, 1)
	}
	l.planner.Round()
	for b.Loop() {
		l.submitAs("red", api.Standard, 40)
		l.now = l.now.Add(time.Second)
		l.planner.Dispatch()
		b.StopTimer()
		l.cancel()
		b.StartTimer()
	}
}
