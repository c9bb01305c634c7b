package loopback

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

func init() { slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil))) }

// user submits a job, polls its status or cancels it until it has a final status, and checks the responses.
type user struct {
	id                ident.JobID
	tasks             int
	cancels           bool
	accepted          bool
	finalStatus       api.Status // the first final status
	cancelConfirmedAt time.Time  // when a response first reported the job as cancelled
	violations        []string
}

// userTimeout bounds how long a user waits. It does not check the speed of the cluster, as all links heal long before.
const userTimeout = 4 * time.Minute

func (u *user) reportViolation(format string, args ...any) {
	u.violations = append(u.violations, fmt.Sprintf(format, args...))
}

// run submits the job and polls until it has a final status. No other goroutine may use rng.
func (u *user) run(c *Cluster, rng *rand.Rand, nodes int) {
	spec := api.Spec{
		ID:       u.id,
		Class:    "render",
		Team:     []string{"red", "blue"}[rng.IntN(2)],
		Shape:    api.Batch,
		Priority: api.Standard,
		Tasks:    u.tasks,
		VCPUs:    1,
		MemoryGB: 1,
		Image: fmt.Sprintf("img-%d",
			rng.IntN(3)),
		ImageGB:  0.1,
		Spot:     rng.IntN(2) == 0,
		RuntimeS: 1,
	}
	duration := time.Duration(300+rng.IntN(1500)) * time.Millisecond
	end := time.Now().Add(userTimeout)
	for !u.accepted && time.Now().Before(end) {
		switch response := c.Submit(rng.IntN(nodes), spec, Workload{FirstDuration: duration}); response.Status {
		case 200, 201:
			u.accepted = true
		case 400, 422:
			u.reportViolation("valid submission: got HTTP status %d, want 200 or 201", response.Status)
			return
		default:
			time.Sleep(200 * time.Millisecond)
		}
	}
	if u.cancels {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	for u.finalStatus == "" && time.Now().Before(end) {
		var response Response
		if u.cancels {
			response = c.Cancel(rng.IntN(nodes), u.id)
		} else {
			response = c.Get(rng.IntN(nodes), u.id)
		}
		u.checkResponse(response)
		time.Sleep(150 * time.Millisecond)
	}
}

// checkResponse checks a response about the job against earlier responses.
func (u *user) checkResponse(response Response) {
	switch {
	case response.Status == 404:
		u.reportViolation("accepted job: got HTTP status 404, want the job to be found")
	case response.Status != 200:
	case response.Job.Status == "cancelled" && !u.cancels:
		u.reportViolation("got status cancelled, though the user did not cancel the job")
	case response.Job.Status == "done" || response.Job.Status == "cancelled":
		if u.finalStatus != "" && u.finalStatus != response.Job.Status {
			u.reportViolation("final status changed: got %s, then %s", u.finalStatus, response.Job.Status)
		}
		if u.finalStatus == "" {
			u.finalStatus = response.Job.Status
			if u.finalStatus == "cancelled" {
				u.cancelConfirmedAt = time.Now()
			}
		}
	case u.finalStatus != "":
		u.reportViolation("final status changed: got %s, then %s", u.finalStatus, response.Job.Status)
	}
}

// checkOutcome checks the final status of the job against the record of the workers.
func (u *user) checkOutcome(c *Cluster) {
	switch u.finalStatus {
	case "":
		u.reportViolation("no final status within %v", userTimeout)
	case "done":
		if !c.Recorder.complete(u.id, u.tasks) {
			u.reportViolation("got status done, but not all %d tasks have completed on workers", u.tasks)
		}
	case "cancelled":
		if n := c.Recorder.startsAfter(u.id, u.cancelConfirmedAt.Add(c.CancelDeadline())); n > 0 {
			u.reportViolation("%d tasks started after the cancellation deadline, want 0", n)
		}
	}
}

// breakLinks breaks and heals random directed links, one at a time, until a point in time. It returns how many it broke.
func breakLinks(c *Cluster, rng *rand.Rand, until time.Time) int {
	names := c.Names()
	broken := 0
	for time.Now().Before(until) {
		n := names[rng.IntN(len(names))]
		parties := append([]string{Store, Store, Cloud}, zones...)
		parties = append(parties, names...)
		other := parties[rng.IntN(len(parties))]
		if other == n {
			continue
		}
		from, to := n, other
		if rng.IntN(2) == 0 {
			from, to = to, from
		}
		broken++
		c.Network.Break(from, to)
		time.Sleep(time.Duration(300+rng.IntN(2500)) * time.Millisecond)
		c.Network.Heal(from, to)
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
	}
	c.Network.HealAll()
	return broken
}

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
