package loopback

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

func init() { slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil))) }

// TestUnidirectionalPartitionsOnSockets runs real controllers on real sockets. Directed links break one at a time while users
// submit and cancel jobs, and one node is killed and restarted. By the records of workers and users, each job must have one
// final status, no task may start after the deadline of a cancellation, and only one node may send commands in a term.
func TestUnidirectionalPartitionsOnSockets(t *testing.T) {
	for _, nodes := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			t.Parallel()
			runWithPartitions(t, nodes, uint64(nodes))
		})
	}
}

// runWithPartitions runs a cluster while links break and node 0 is killed and restarted.
func runWithPartitions(t *testing.T, nodes int, seed uint64) {
	c, err := Start(Options{Nodes: nodes, Tune: func(s *settings.Settings) { s.Tuning.Links.Enabled = true }})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	const jobs, faultDuration = 60, 14 * time.Second
	rng := rand.New(rand.NewPCG(seed, 1))
	var running sync.WaitGroup
	users := make([]*user, jobs)
	for i := range users {
		users[i] = &user{id: ident.JobID(fmt.Sprintf("j-%06d", i)), tasks: 1 + i%4, cancels: i%3 == 0}
		userRNG := rand.New(rand.NewPCG(seed, uint64(100+i)))
		running.Go(func() {
			time.Sleep(time.Duration(i) * faultDuration / jobs)
			users[i].run(c, userRNG, nodes)
		})
	}
	running.Go(func() {
		time.Sleep(faultDuration / 2)
		c.Kill(0)
		time.Sleep(500 * time.Millisecond)
		if err := c.Restart(0); err != nil {
			t.Errorf("restarting node 0: got error %v, want none", err)
		}
	})
	broken := breakLinks(c, rng, time.Now().Add(faultDuration))
	running.Wait()
	done := 0
	for _, u := range users {
		for i := range nodes { // all nodes must report the same final status
			u.checkResponse(c.Get(i, u.id))
		}
		u.checkOutcome(c)
		if len(u.violations) > 0 {
			t.Errorf("job %s: got violations %q, want none", u.id, u.violations)
		}
		if u.finalStatus == "done" {
			done++
		}
	}
	if violations := c.Violations(); len(violations) > 0 {
		t.Errorf("got invariant violations %q, want none", violations)
	}
	if broken == 0 || c.Network.DelayedCount() == 0 || done < jobs/2 || c.StartCount() < jobs/2 || c.Recorder.commandCount == 0 {
		t.Errorf("too little activity for a valid test: got %d links broken, %d reads and writes delayed, %d jobs done, "+
			"%d tasks started, %d command requests; want at least 1, 1, %d, %d and 1",
			broken, c.Network.DelayedCount(), done, c.StartCount(), c.Recorder.commandCount, jobs/2, jobs/2)
	}
}
