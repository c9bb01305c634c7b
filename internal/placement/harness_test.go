package placement

import (
	"fmt"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/commit"
	"opaldale/internal/gang"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// instantEnv is a world in which everything is carried out at once.
type instantEnv struct{ now ident.MonotonicTime }

func (s *instantEnv) Now() ident.MonotonicTime    { return s.now }
func (s *instantEnv) After(time.Duration, func()) {}
func (s *instantEnv) Store(r kvstore.Request, f func(kvstore.Response)) {
	f(kvstore.Response{Outcome: kvstore.OK, StoreRevision: 5})
}
func (s *instantEnv) Worker(workers.CommandCall, func(workers.CommandResult)) {}

// testCluster is a fleet with three waiting tasks a machine.
type testCluster struct {
	instantEnv
	jobs     *jobs.Table
	machines *workers.Table
	planner  *Planner
	commits  *commit.Committer
	sequence ident.SequenceNumber
	jobCount int
}

// PlaceGang places the tasks of a gang; its attempts are not played.
func (c *testCluster) PlaceGang(j *jobs.Job, picks []gang.Placement) {
	for _, p := range picks {
		c.Place(p.Task, p.Worker)
	}
}
func (c *testCluster) GangUsedMachine(*jobs.Job, *workers.Worker) bool { return false }
func (c *testCluster) CanStopGang(*jobs.Job) bool                      { return false }
func (c *testCluster) StopGang(*jobs.Job) bool                         { return false }

func newTestCluster(machines int) *testCluster {
	c := &testCluster{instantEnv: instantEnv{now: ident.MonotonicTime(time.Hour)}}
	kind := cloud.MachineType{SKU: "m16", VCPUs: 16, MemoryGB: 32, LocalDiskGB: 25, PullGBPerS: 0.3}
	c.commits = commit.New(c, commit.Limits{MutationsPerTxn: 24, MutationsPerSecond: 1e9, MaxValueBytes: 16 << 10}, kvstore.Compare{Key: "leader"}, func(string) {})
	c.jobs = jobs.NewTable(c.commits, 16<<10, c.Now, func() int64 { return 0 })
	c.machines = workers.NewTable(c, c.jobs, workers.Config{Term: 1, LeaseDuration: time.Minute, Catalog: func(string) *cloud.MachineType { return &kind },
		OnDeposed: func() {}, OnCapacityChanged: func() {}, OnTaskFailed: func(*jobs.Task, *workers.Worker, api.Cause) {},
		Persist: func(w *workers.Worker) { w.Persisted = true }, OnCommandResult: func(*workers.Worker, bool) {}, LastPeerRenewal: func() ident.MonotonicTime { return 0 }})
	teams := NewTeams([]settings.Team{{Name: "red", CPUs: 1e6, CPUsMax: 1e6}})
	c.planner = NewPlanner(teams, c.jobs, c.machines, c, c.Now, Config{UseASM1: true, MaxWait: time.Hour, GangWait: time.Hour})
	c.jobs.OnStateChange = func(t *jobs.Task, from, to jobs.State) {
		w := c.machines.Workers[t.MachineID]
		if !from.Allocated() && to.Allocated() {
			c.machines.AddTask(w, t)
		} else if from.Allocated() && !to.Allocated() {
			c.machines.RemoveTask(w, t)
		}
	}
	for i := range machines {
		w := c.machines.Add(ident.MachineID(fmt.Sprintf("host-%06d", i)), "m16", "east", i%3 == 0, c.now)
		c.heartbeat(w)
	}
	for range 3 * machines / 20 {
		c.submit(api.Batch, 20, 4)
	}
	return c
}

func (c *testCluster) heartbeat(w *workers.Worker) {
	c.sequence++
	r := &api.Heartbeat{MachineID: w.ID, Addr: "a", Model: "m16", Zone: "east", Spot: w.Spot, Incarnation: 1, SequenceNumber: c.sequence}
	for _, t := range c.machines.SortedTasks(w) {
		r.Tasks = append(r.Tasks, api.TaskReport{TaskID: t.TaskID(), Attempt: t.Attempt, Status: api.Running})
	}
	c.machines.HandleHeartbeat(r)
}

func (c *testCluster) submit(shape api.Shape, tasks int, vcpus float64) {
	c.jobCount++
	c.jobs.Add(&api.Spec{ID: ident.JobID(fmt.Sprintf("j-%d", c.jobCount)), Team: "red", Shape: shape, Priority: api.Standard, Tasks: tasks,
		VCPUs: vcpus, MemoryGB: 2, Image: fmt.Sprintf("img-%d", c.jobCount%16), ImageGB: 1, Spot: shape == api.Batch, RuntimeS: 60}, func() {}, nil)
	c.commits.Flush()
}

// Place and Preempt carry out what the planner decides.
func (c *testCluster) Place(t *jobs.Task, w *workers.Worker) {
	c.jobs.Place(t, w.ID, 1, func() {})
}
func (c *testCluster) Preempt(t *jobs.Task, w *workers.Worker, d time.Duration) {
	if w.ID != t.MachineID {
		panic("a task is stopped on another machine than its own")
	}
	c.machines.StopTask(w, t, d)
}

// dispatchAll places all there is, in as many dispatches as it takes.
func (c *testCluster) dispatchAll() {
	for c.planner.Dispatch() {
		c.now = c.now.Add(time.Second)
		c.commits.Flush()
	}
	c.now = c.now.Add(time.Second)
	c.commits.Flush()
}

func (c *testCluster) cancel() {
	j := c.jobs.Jobs[ident.JobID(fmt.Sprintf("j-%d", c.jobCount))]
	c.now = c.now.Add(time.Second)
	c.commits.Flush()
	c.jobs.Cancel(j, func() {})
	for i := range j.Tasks {
		c.jobs.MarkGone(&j.Tasks[i], nil)
	}
	c.commits.Flush()
}

// newTwoZoneCluster is a fleet of ordinary machines with 16 CPUs in two zones, and no work.
func newTwoZoneCluster(east, west int) *testCluster {
	c := newTestCluster(0)
	onMove := c.jobs.OnStateChange
	c.jobs.OnStateChange = func(t *jobs.Task, from, to jobs.State) {
		onMove(t, from, to)
		if !from.Allocated() && to.Allocated() {
			c.planner.teams.AddUsage(t.Job.Spec, 1)
		} else if from.Allocated() && !to.Allocated() {
			c.planner.teams.AddUsage(t.Job.Spec, -1)
		}
	}
	for i := range east + west {
		zone := "east"
		if i >= east {
			zone = "west"
		}
		w := c.machines.Add(ident.MachineID(fmt.Sprintf("host-%06d", i)), "m16", zone, false, c.now)
		c.sequence++
		c.machines.HandleHeartbeat(&api.Heartbeat{MachineID: w.ID, Addr: "a", Model: "m16", Zone: zone, Incarnation: 1, SequenceNumber: c.sequence})
	}
	return c
}

func (c *testCluster) submitGang(tasks int, vcpus float64, oneZone bool) *jobs.Job {
	c.jobCount++
	id := ident.JobID(fmt.Sprintf("j-%d", c.jobCount))
	c.jobs.Add(&api.Spec{ID: id, Team: "red", Shape: api.Gang, Priority: api.High, Tasks: tasks, VCPUs: vcpus, MemoryGB: 2, Image: "img-gang",
		ImageGB: 1, OneZone: oneZone, RuntimeS: 30}, func() {}, nil)
	c.commits.Flush()
	return c.jobs.Jobs[id]
}

// newBorrowedCluster makes a fleet that a team without a guarantee has filled, but for what is
// left free on the first machine.
func newBorrowedCluster(machines, leftFree int) *testCluster {
	c := newTestCluster(0)
	c.planner.teams = NewTeams([]settings.Team{{Name: "red", CPUs: 1e6, CPUsMax: 1e6}, {Name: "guest"}})
	for i := range machines {
		c.heartbeat(c.machines.Add(ident.MachineID(fmt.Sprintf("host-%06d", i)), "m16", "east", true, c.now))
	}
	backlog := c.submitAs("guest", api.BestEffort, 16*machines+20)
	for i := range 16*machines - leftFree {
		c.Place(&backlog.Tasks[i], c.machines.Workers[ident.MachineID(fmt.Sprintf("host-%06d", (i+leftFree)/16))])
	}
	c.commits.Flush()
	for _, w := range c.machines.Sorted() {
		c.heartbeat(w)
	}
	return c
}

// submitAs submits an array of tasks of one CPU whose image is the team's own.
func (c *testCluster) submitAs(team string, priority api.Priority, tasks int) *jobs.Job {
	c.jobCount++
	j := c.jobs.Add(&api.Spec{ID: ident.JobID(fmt.Sprintf("j-%d", c.jobCount)), Team: team, Shape: api.Batch, Priority: priority, Tasks: tasks,
		VCPUs: 1, MemoryGB: 1, Image: "img-" + team, ImageGB: 1, Spot: true, RuntimeS: 60}, func() {}, nil)
	c.commits.Flush()
	return j
}

// newClusterWithHolders makes a fleet of which so many machines hold the image of a job to come.
func newClusterWithHolders(machines, holding int) *testCluster {
	c := newTestCluster(0)
	for i := range machines {
		w := c.machines.Add(ident.MachineID(fmt.Sprintf("host-%06d", i)), "m16", "east", true, c.now)
		c.heartbeat(w)
	}
	first := c.submitAs("red", api.Standard, holding)
	for i := range holding {
		c.Place(&first.Tasks[i], c.machines.Sorted()[i])
	}
	c.commits.Flush()
	for _, w := range c.machines.Sorted() {
		c.heartbeat(w)
	}
	return c
}

// newReservedCluster makes one empty machine whose room is kept for a job that can't be placed yet, and
// another job that waits.
func newReservedCluster() (c *testCluster, first, other *jobs.Job) {
	c = newTestCluster(0)
	c.heartbeat(c.machines.Add("host-000001", "m16", "east", true, c.now))
	first, other = c.submitAs("red", api.Standard, 1), c.submitAs("red", api.Standard, 1)
	first.Tasks[0].RetryAt = c.now.Add(time.Hour)
	c.planner.ReserveFor(c.machines.Sorted()[0], first, c.now.Add(10*time.Second))
	return c, first, other
}
