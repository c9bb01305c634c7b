package loopback

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

const (
	fleetNodes   = 3
	fleetWorkers = 50
	// narrowTasks tasks of narrowCPUs each fill a machine. When one of them has ended on each machine, a task of wideCPUs
	// still fits on none.
	narrowCPUs  = 2
	narrowTasks = 4
	wideCPUs    = 4
	wideJobs    = 30
	// narrowTaskDuration is the run time of narrow tasks, except the first task of each job. It is longer than the test takes
	// on a busy computer, so that they never end during the test.
	narrowTaskDuration = time.Hour
	// maxImbalance is the imbalance, as defined by Cluster.Load, below which the fleet must fall.
	maxImbalance = 0.35
)

// tuneFleet enables moves of running tasks and shortens the delays before them, as the test is short.
func tuneFleet(s *settings.Settings) {
	s.Tuning.Links.Enabled = true
	s.Tuning.Rebalance = settings.RebalanceMove
	s.Tuning.PlanInterval = time.Second
	s.Tuning.ScaleInDelay = time.Minute
	s.Tuning.Migration.LeaderSettleTime, s.Tuning.Migration.MinTaskWait, s.Tuning.Migration.MinRunTime = time.Second, time.Second,
		2*time.Second
	for i := range s.Cluster.Teams {
		s.Cluster.Teams[i].CPUs, s.Cluster.Teams[i].CPUsMax = 400, 500
	}
}

// fleet is a cluster with fleetWorkers workers.
type fleet struct {
	*Cluster
	rng      *rand.Rand
	jobCount int
}

// spec returns the specification of a new batch job of a team.
func (f *fleet) spec(team string, tasks int, cpus, runtime float64) api.Spec {
	f.jobCount++
	return api.Spec{
		ID:               ident.JobID(fmt.Sprintf("j-%06d", f.jobCount)),
		Class:            "render",
		Team:             team,
		Shape:            api.Batch,
		Priority:         api.Standard,
		Tasks:            tasks,
		VCPUs:            cpus,
		MemoryGB:         1,
		Image:            "img-0",
		ImageGB:          0.1,
		Spot:             true,
		RuntimeS:         runtime,
		CheckpointEveryS: 1,
		CheckpointS:      0.1,
	}
}

// requestUntil sends a request to the nodes in turn until a response is accepted, and fails the test after userTimeout.
func (f *fleet) requestUntil(t *testing.T, request func(node int) Response, accepted func(Response) bool) bool {
	t.Helper()
	for end := time.Now().Add(userTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for node := range fleetNodes {
			if a := request(node); accepted(a) {
				return true
			}
		}
	}
	t.Errorf("got no accepted response from any node within %v, want one", userTimeout)
	return false
}

func (f *fleet) submit(t *testing.T, s api.Spec, w Workload) {
	t.Helper()
	f.requestUntil(t, func(n int) Response {
		return f.Submit(n, s, w)
	}, func(a Response) bool { return a.Status == 200 || a.Status == 201 })
}

// fill fills all machines with jobs whose first task ends early. Each machine then has free capacity for half a wide task.
func (f *fleet) fill(t *testing.T) []ident.JobID {
	t.Helper()
	var jobs []ident.JobID
	for range fleetWorkers {
		s := f.spec("blue", narrowTasks, narrowCPUs, narrowTaskDuration.Seconds())
		jobs = append(jobs, s.ID)
		f.submit(t, s, Workload{FirstDuration: 8 * time.Second, DurationStep: narrowTaskDuration})
	}
	f.waitUntil(t, func() bool {
		machines, tasks, _ := f.Load()
		return machines >= fleetWorkers && tasks >= fleetWorkers*(narrowTasks-1)
	})
	return jobs
}

// waitUntil waits for a condition, and fails the test after userTimeout.
func (f *fleet) waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(userTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			machines, tasks, imbalance := f.Load()
			t.Fatalf("got %d machines with %d tasks, imbalance %.2f, %d moves, want the condition met within %v",
				machines, tasks, imbalance, f.Moves(), userTimeout)
		}
	}
}

// minFaults is the minimum number of controllers to kill and of links to break.
const minFaults = 3

// injectFaults alternately kills a controller, which restarts after half a second, and breaks a link for a while. It returns
// when stop is closed and it has injected at least minFaults faults of each kind.
func (f *fleet) injectFaults(t *testing.T, stop <-chan struct{}) (killed, broken int) {
	t.Helper()
	names := f.Names()
	for {
		select {
		case <-stop:
			if killed >= minFaults && broken >= minFaults {
				f.Network.HealAll()
				return killed, broken
			}
		default:
		}
		time.Sleep(time.Duration(1000+f.rng.IntN(2500)) * time.Millisecond)
		if killed <= broken {
			n := killed % fleetNodes
			f.Kill(n)
			time.Sleep(500 * time.Millisecond)
			if err := f.Restart(n); err != nil {
				t.Errorf("restarting node %d: got error %v, want none", n, err)
			}
			killed++
			continue
		}
		from, to := names[f.rng.IntN(fleetNodes)], append([]string{Store}, zones...)[f.rng.IntN(1+len(zones))]
		if f.rng.IntN(2) == 0 {
			from, to = to, from
		}
		f.Network.Break(from, to)
		time.Sleep(time.Duration(200+f.rng.IntN(1500)) * time.Millisecond)
		f.Network.Heal(from, to)
		broken++
	}
}

// TestFleetLoadConverges runs three real controllers and fifty workers on sockets. One team submits many wide tasks that fit
// on no machine, while controllers are killed and links break. The controllers must move running tasks to free capacity for
// them, and all wide tasks must complete. By the record of the workers, no task may run on two machines at a time. No job
// may be moved more than maxMovesPerJob times, and the imbalance must fall below maxImbalance.
func TestFleetLoadConverges(t *testing.T) {
	t.Parallel()
	const seed = 1
	c, err := Start(Options{Nodes: fleetNodes, ZoneCapacity: 13, Tune: tuneFleet})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	f := &fleet{Cluster: c, rng: rand.New(rand.NewPCG(seed, 1))}
	narrow := f.fill(t)
	stop, faults := make(chan struct{}), sync.WaitGroup{}
	killed, broken := 0, 0
	faults.Go(func() { killed, broken = f.injectFaults(t, stop) })
	var wide []ident.JobID
	for range wideJobs {
		s := f.spec("red", 1, wideCPUs, 4)
		wide = append(wide, s.ID)
		f.submit(t, s, Workload{FirstDuration: 4 * time.Second})
	}
	f.waitUntil(t, func() bool { return f.Moves() > 0 })
	for _, id := range wide {
		f.requestUntil(t, func(n int) Response { return f.Get(n, id) }, func(a Response) bool { return a.Job.Status == "done" })
		if !f.Recorder.complete(id, 1) {
			t.Errorf("job %s: got status done without a completed task on a worker, want the task completed", id)
		}
	}
	close(stop)
	faults.Wait()
	f.waitUntil(t, func() bool {
		_, tasks, imbalance := f.Load()
		return tasks >= fleetWorkers*(narrowTasks-1) && imbalance < maxImbalance
	})
	for _, id := range narrow {
		f.requestUntil(t, func(n int) Response {
			return f.Cancel(n, id)
		}, func(a Response) bool { return a.Job.Status == "cancelled" })
	}
	if violations := c.Violations(); len(violations) > 0 {
		t.Errorf("got invariant violations %q, want none", violations)
	}
	t.Logf("%d moves, %d controllers killed, %d links broken", c.Moves(), killed, broken)
}
