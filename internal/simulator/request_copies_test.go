package simulator

import (
	"flag"
	"testing"
	"time"
)

var (
	copiesFirst = flag.Uint64("copies.first", 0, "first seed of TestCopiesOfAnsweredRequests")
	copiesSeeds = flag.Uint64("copies.seeds", 24, "number of seeds of TestCopiesOfAnsweredRequests")
)

// TestCopiesOfAnsweredRequests guards against a request that acts a second time: copies of a fifth of all answered requests (to
// the store, the cloud and the workers, of users and between controllers) arrive up to a minute late, beside random faults.
func TestCopiesOfAnsweredRequests(t *testing.T) {
	t.Parallel()
	for seed := *copiesFirst; seed < *copiesFirst+*copiesSeeds; seed++ {
		sim := New(Config{
			Seed:             seed,
			Faults:           true,
			ConcurrentFaults: seed%2 == 1,
			CopiedRequests:   true,
			MoreGangs:        seed%3 == 0,
			LinkMonitoring:   seed%4 == 3,
			ActiveDuration:   200 * time.Second,
		})
		sim.Run()
		requireClean(t, sim)
		requireEvents(t, sim, transactionCopiedEvent, leaseRequestCopiedEvent, cloudRequestCopiedEvent, frameCopiedEvent,
			userRequestCopiedEvent, copiedCallRejectedEvent)
	}
}
