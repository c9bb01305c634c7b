package loopback

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

// Troubles describes a run of real controllers under random troubles: late commands, copies of executed commands, slow links of
// some machines, late copies of heartbeats, directed links that break, controllers that are killed. Users submit arrays and
// urgent services and cancel some.
type Troubles struct {
	Seed uint64
	// Duration is how long there are troubles. The run goes on until all jobs have ended.
	Duration time.Duration
	// Record receives a line for each event; nil: none does.
	Record io.Writer
}

const (
	troubleNodes = 3
	// submissionInterval is short enough that urgent services preempt other work on the four machines.
	submissionInterval = 400 * time.Millisecond
	// killInterval is the time between two kills of a controller.
	killInterval = 11 * time.Second
	// killedFor is how long a killed controller is down.
	killedFor = 500 * time.Millisecond
)

// troubleDelays are the delays during the troubles. Commands may be held up for less than the lease.
var troubleDelays = Delays{
	SlowLink:       300 * time.Millisecond,
	LateCommands:   0.15,
	LateHeartbeats: 0.05,
	MaxHoldUp:      6 * time.Second,
	CopiedCommands: 0.4,
	MaxCopyDelay:   20 * time.Second,
}

// TroublesOutcome is the outcome of a run.
type TroublesOutcome struct {
	Jobs, Done, Cancelled          int
	Starts, Commands, LateCommands int
	CopiedCommands                 int
	LinksBroken, ControllersKilled int
	Violations                     []string
}

// Run runs the cluster and its users, and checks the invariants by the records of workers and users.
func (t Troubles) Run() (TroublesOutcome, error) {
	c, err := Start(Options{Nodes: troubleNodes, ZoneCapacity: 1, Seed: t.Seed, Tune: func(*settings.Settings) {}})
	if err != nil {
		return TroublesOutcome{}, err
	}
	defer c.Stop()
	c.Recorder.mu.Lock()
	c.Recorder.out = t.Record
	c.Recorder.mu.Unlock()
	c.SetDelays(troubleDelays)
	rng := rand.New(rand.NewPCG(t.Seed, 1))
	var running sync.WaitGroup
	users := t.startUsers(c, &running)
	var outcome TroublesOutcome
	until := time.Now().Add(t.Duration)
	running.Go(func() { outcome.ControllersKilled, err = killControllers(c, until) })
	outcome.LinksBroken = breakLinks(c, rng, until)
	c.SetDelays(Delays{})
	running.Wait()
	outcome.judge(c, users)
	return outcome, err
}

// startUsers starts users one after the other for the duration of the troubles.
func (t Troubles) startUsers(c *Cluster, running *sync.WaitGroup) []*user {
	users := make([]*user, int(t.Duration/submissionInterval))
	for i := range users {
		users[i] = newTroubleUser(i)
		rng := rand.New(rand.NewPCG(t.Seed, uint64(100+i)))
		running.Go(func() {
			time.Sleep(time.Duration(i) * submissionInterval)
			users[i].run(c, rng, troubleNodes)
		})
	}
	return users
}

// newTroubleUser returns a user with one of three kinds of jobs: an urgent service that is cancelled soon, an array of long tasks
// that is cancelled, or an array that runs to its end.
func newTroubleUser(i int) *user {
	u := &user{id: ident.JobID(fmt.Sprintf("j-%06d", i)), tasks: 1 + i%4, cancels: i%3 != 0}
	u.change = func(spec *api.Spec, workload *Workload) {
		spec.VCPUs = float64(1 + i%3)
		workload.FirstDuration *= 3
		if i%3 == 1 {
			spec.Shape, spec.Priority, spec.Tasks, spec.RuntimeS = api.Service, api.Critical, 1, 0
			workload.FirstDuration = 0
		}
	}
	return u
}

// killControllers kills the controllers in turn and restarts them, until a point in time. It returns how many it killed.
func killControllers(c *Cluster, until time.Time) (killed int, err error) {
	for time.Until(until) > killInterval {
		time.Sleep(killInterval)
		node := killed % troubleNodes
		c.Recorder.Log("node %d is killed", node)
		c.Kill(node)
		time.Sleep(killedFor)
		err = cmp.Or(err, c.Restart(node))
		killed++
	}
	return killed, err
}

// judge adds what the users and the workers have recorded.
func (o *TroublesOutcome) judge(c *Cluster, users []*user) {
	for _, u := range users {
		for i := range troubleNodes { // all nodes must report the same final status
			u.checkResponse(c.Get(i, u.id))
		}
		u.checkOutcome(c)
		for _, violation := range u.violations {
			o.Violations = append(o.Violations, fmt.Sprintf("job %s: %s", u.id, violation))
		}
		switch u.finalStatus {
		case api.StatusDone:
			o.Done++
		case api.StatusCancelled:
			o.Cancelled++
		}
	}
	o.Jobs, o.Starts, o.LateCommands = len(users), c.StartCount(), c.delayer.lateCommandCount()
	o.CopiedCommands = c.delayer.copiedCommandCount()
	o.Violations = append(o.Violations, c.Violations()...)
	c.Recorder.mu.Lock()
	defer c.Recorder.mu.Unlock()
	o.Commands = c.Recorder.commandCount
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
