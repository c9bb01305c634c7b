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

// user submits a job, queries it until it has ended, and checks the answers.
type user struct {
	id                ident.JobID
	tasks             int
	cancels           bool
	accepted          bool
	finalStatus       api.Status // the first final state
	cancelConfirmedAt time.Time  // when that was confirmed
	violations        []string
}

// userTimeout bounds how long a user waits. It says nothing of how fast the cluster is, as all links heal long before.
const userTimeout = 4 * time.Minute

func (u *user) reportViolation(format string, args ...any) {
	u.violations = append(u.violations, fmt.Sprintf(format, args...))
}

// run runs the user. rng is used by no one else.
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
		switch a := c.Submit(rng.IntN(nodes), spec, Workload{FirstDuration: duration}); a.Status {
		case 200, 201:
			u.accepted = true
		case 400, 422:
			u.reportViolation("a valid submission got %d", a.Status)
			return
		default:
			time.Sleep(200 * time.Millisecond)
		}
	}
	if u.cancels {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	for u.finalStatus == "" && time.Now().Before(end) {
		var a Answer
		if u.cancels {
			a = c.Cancel(rng.IntN(nodes), u.id)
		} else {
			a = c.Get(rng.IntN(nodes), u.id)
		}
		u.checkAnswer(a)
		time.Sleep(150 * time.Millisecond)
	}
}

// checkAnswer checks an answer about the job against earlier ones.
func (u *user) checkAnswer(a Answer) {
	switch {
	case a.Status == 404:
		u.reportViolation("forgotten: 404")
	case a.Status != 200:
	case a.Job.Status == "cancelled" && !u.cancels:
		u.reportViolation("cancelled by nobody")
	case a.Job.Status == "done" || a.Job.Status == "cancelled":
		if u.finalStatus != "" && u.finalStatus != a.Job.Status {
			u.reportViolation("went back: %s, then %s", u.finalStatus, a.Job.Status)
		}
		if u.finalStatus == "" {
			u.finalStatus = a.Job.Status
			if u.finalStatus == "cancelled" {
				u.cancelConfirmedAt = time.Now()
			}
		}
	case u.finalStatus != "":
		u.reportViolation("went back: %s, then %s", u.finalStatus, a.Job.Status)
	}
}

// checkOutcome checks the final answer against what workers ran.
func (u *user) checkOutcome(c *Cluster) {
	switch u.finalStatus {
	case "":
		u.reportViolation("no final result")
	case "done":
		if !c.Recorder.complete(u.id, u.tasks) {
			u.reportViolation("done, though not all its tasks have completed")
		}
	case "cancelled":
		if n := c.Recorder.startsAfter(u.id, u.cancelConfirmedAt.Add(c.CancelDeadline())); n > 0 {
			u.reportViolation("%d tasks started after the time of its cancellation", n)
		}
	}
}

// breakLinks breaks directed links, one at a time, until a time. It returns how many it broke.
func breakLinks(c *Cluster, rng *rand.Rand, over time.Time) int {
	names := c.Names()
	broken := 0
	for time.Now().Before(over) {
		n := names[rng.IntN(len(names))]
		ends := append([]string{Store, Store, Cloud}, zones...)
		ends = append(ends, names...)
		other := ends[rng.IntN(len(ends))]
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

// TestUnidirectionalPartitionsOnSockets: real controllers on real sockets, whose directed links break one at a time during
// steady submissions and cancellations, while one node is killed as well. Every job has one final result, nothing starts
// after its cancellation, and no two nodes act in one term, by the record of workers and users.
func TestUnidirectionalPartitionsOnSockets(t *testing.T) {
	for _, nodes := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			t.Parallel()
			runWithPartitions(t, nodes, uint64(nodes))
		})
	}
}

// runWithPartitions runs a cluster while links break and a node is killed.
func runWithPartitions(t *testing.T, nodes int, seed uint64) {
	c, err := Start(Options{Nodes: nodes, Tune: func(s *settings.Settings) { s.Tuning.Links.Enabled = true }})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	const jobs, breaking = 60, 14 * time.Second
	rng := rand.New(rand.NewPCG(seed, 1))
	var all sync.WaitGroup
	users := make([]*user, jobs)
	for i := range users {
		users[i] = &user{id: ident.JobID(fmt.Sprintf("j-%06d", i)), tasks: 1 + i%4, cancels: i%3 == 0}
		own := rand.New(rand.NewPCG(seed, uint64(100+i)))
		all.Go(func() {
			time.Sleep(time.Duration(i) * breaking / jobs)
			users[i].run(c, own, nodes)
		})
	}
	all.Go(func() {
		time.Sleep(breaking / 2)
		c.Kill(0)
		time.Sleep(500 * time.Millisecond)
		if err := c.Restart(0); err != nil {
			t.Errorf("restart: %v", err)
		}
	})
	broken := breakLinks(c, rng, time.Now().Add(breaking))
	all.Wait()
	done := 0
	for _, u := range users {
		for i := range nodes { // no node may answer otherwise
			u.checkAnswer(c.Get(i, u.id))
		}
		u.checkOutcome(c)
		if len(u.violations) > 0 {
			t.Errorf("%s: %v", u.id, u.violations)
		}
		if u.finalStatus == "done" {
			done++
		}
	}
	if violations := c.Violations(); len(violations) > 0 {
		t.Errorf("violations: %v", violations)
	}
	if broken == 0 || c.Network.HeldCount() == 0 || done < jobs/2 || c.StartCount() < jobs/2 || c.Recorder.commandCount == 0 {
		t.Errorf("%d links were broken, %d messages held up, %d jobs done, %d tasks started, "+
			"%d commands: the test proves nothing",
			broken, c.Network.HeldCount(), done, c.StartCount(), c.Recorder.commandCount)
	}
}
