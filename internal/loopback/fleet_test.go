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
	// narrowCPUs is the size of the tasks that fill the machines, narrowTasks to each, and wideCPUs that of the tasks that
	// then fit on no machine.
	narrowCPUs  = 2
	narrowTasks = 4
	wideCPUs    = 4
	wideJobs    = 30
	// narrowTaskDuration is how long the narrow tasks run, except the first of each job: longer than the test on a busy
	// machine, so that the test does not depend on it.
	narrowTaskDuration = time.Hour
	// maxImbalance is the imbalance that the fleet must fall below.
	maxImbalance = 0.35
)

// tuneFleet has moves begin soon, as the test is short.
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

// fleet is a cluster of fifty workers.
type fleet struct {
	*Cluster
	rng  *rand.Rand
	next int
}

// spec returns an array of a team.
func (f *fleet) spec(team string, tasks int, cpus, runtime float64) api.Spec {
	f.next++
	return api.Spec{
		ID:               ident.JobID(fmt.Sprintf("j-%06d", f.next)),
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

// askUntil asks nodes in turn until one gives an accepted answer.
func (f *fleet) askUntil(t *testing.T, ask func(node int) Answer, accepted func(Answer) bool) bool {
	t.Helper()
	for end := time.Now().Add(userTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for node := range fleetNodes {
			if a := ask(node); accepted(a) {
				return true
			}
		}
	}
	t.Error("no accepted answer")
	return false
}

func (f *fleet) submit(t *testing.T, s api.Spec, w Workload) {
	t.Helper()
	f.askUntil(t, func(n int) Answer {
		return f.Submit(n, s, w)
	}, func(a Answer) bool { return a.Status == 200 || a.Status == 201 })
}

// fill fills all machines with jobs whose first tasks end soon, so that each machine then has capacity for half of a wide
// task.
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

// waitUntil waits for a condition, within a generous timeout.
func (f *fleet) waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(userTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			machines, tasks, imbalance := f.Load()
			t.Fatalf("%d machines with %d tasks, imbalance %.2f, %d moves", machines, tasks, imbalance, f.Moves())
		}
	}
}

// minFaults is the minimum number of controllers that are killed and of links that are broken.
const minFaults = 3

// injectFaults kills controllers, which restart after half a second, and breaks links in turn, until stop is closed and
// there were minFaults of both.
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
				t.Errorf("restart: %v", err)
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

// TestFleetLoadConverges: three real controllers and fifty workers on sockets. One team submits many wide tasks that fit on
// no machine, while controllers are killed and links break. Running tasks are moved for them, all of them complete, no job
// is moved more than twice, no task runs twice by the workers' own record, and the load evens out.
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
	stop, disturbed := make(chan struct{}), sync.WaitGroup{}
	killed, broken := 0, 0
	disturbed.Go(func() { killed, broken = f.injectFaults(t, stop) })
	var wide []ident.JobID
	for range wideJobs {
		s := f.spec("red", 1, wideCPUs, 4)
		wide = append(wide, s.ID)
		f.submit(t, s, Workload{FirstDuration: 4 * time.Second})
	}
	f.waitUntil(t, func() bool { return f.Moves() > 0 })
	for _, id := range wide {
		f.askUntil(t, func(n int) Answer { return f.Get(n, id) }, func(a Answer) bool { return a.Job.Status == "done" })
		if !f.Recorder.complete(id, 1) {
			t.Errorf("%s is reported as done, and is not", id)
		}
	}
	close(stop)
	disturbed.Wait()
	f.waitUntil(t, func() bool {
		_, tasks, imbalance := f.Load()
		return tasks >= fleetWorkers*(narrowTasks-1) && imbalance < maxImbalance
	})
	for _, id := range narrow {
		f.askUntil(t, func(n int) Answer { return f.Cancel(n, id) }, func(a Answer) bool { return a.Job.Status == "cancelled" })
	}
	if rules := c.Violations(); len(rules) > 0 {
		t.Errorf("rules broken: %v", rules)
	}
	t.Logf("%d moves, %d controllers ended, %d links broken", c.Moves(), killed, broken)
}
