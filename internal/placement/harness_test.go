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
	"opaldale/internal/workerstest"
)

// instantEnv is an environment with a store that executes each request synchronously.
type instantEnv struct{ now ident.MonotonicTime }

func (e *instantEnv) Now() ident.MonotonicTime    { return e.now }
func (e *instantEnv) After(time.Duration, func()) {}
func (e *instantEnv) Store(_ kvstore.Request, reply func(kvstore.Response)) {
	reply(kvstore.Response{Outcome: kvstore.OK, StoreRevision: 5})
}
func (e *instantEnv) Worker(workers.CommandCall, func(workers.CommandResult)) {}

// testCluster is a planner with its tables. It implements Actions by executing decisions immediately.
type testCluster struct {
	instantEnv
	jobs     *jobs.Table
	machines *workers.Table
	planner  *Planner
	commits  *commit.Committer
	sequence ident.SequenceNumber
	jobCount int
}

// PlaceGang implements Actions. It places the tasks of a gang one by one, without an attempt.
func (c *testCluster) PlaceGang(_ *jobs.Job, placements []gang.Placement) {
	for _, p := range placements {
		c.Place(p.Task, p.Worker)
	}
}
func (c *testCluster) GangUsedMachine(*jobs.Job, *workers.Worker) bool { return false }
func (c *testCluster) CanStopGang(*jobs.Job) bool                      { return false }
func (c *testCluster) StopGang(*jobs.Job) bool                         { return false }

// machineID returns the ID of the i-th machine.
func machineID(i int) ident.MachineID { return ident.MachineID(fmt.Sprintf("host-%06d", i)) }

// newTestCluster returns a cluster of machines with 16 CPUs each, and with three waiting tasks per machine.
func newTestCluster(machines int) *testCluster {
	const maxValueBytes = 16 << 10
	c := &testCluster{instantEnv: instantEnv{now: ident.MonotonicTime(time.Hour)}}
	machineType := cloud.MachineType{SKU: "m16", VCPUs: 16, MemoryGB: 32, LocalDiskGB: 25, PullGBPerS: 0.3}
	limits := commit.Limits{MutationsPerTxn: 24, MutationsPerSecond: 1e9, MaxValueBytes: maxValueBytes}
	c.commits = commit.New(c, limits, kvstore.Compare{Key: "leader"}, func(error) {})
	c.jobs = jobs.NewTable(c.commits, maxValueBytes, c.Now, func() int64 { return 0 })
	workersConfig := workerstest.Config(1, machineType)
	workersConfig.LeaseDuration = time.Minute
	c.machines = workers.NewTable(c, c.jobs, workersConfig)
	teams := NewTeams([]settings.Team{{Name: "red", CPUs: 1e6, CPUsMax: 1e6}})
	config := Config{UseASM1: true, MaxWait: time.Hour, GangWait: time.Hour}
	c.planner = NewPlanner(teams, c.jobs, c.machines, c, c.Now, config)
	c.jobs.OnStateChange = workerstest.TrackAllocation(c.machines)
	for i := range machines {
		c.addMachine(i, "east", i%3 == 0)
	}
	for range 3 * machines / 20 {
		c.submit(api.Batch, 20, 4)
	}
	return c
}

// addMachine adds the i-th machine and delivers its first heartbeat.
func (c *testCluster) addMachine(i int, zone string, spot bool) {
	c.heartbeat(c.machines.Add(workers.MachineInfo{
		ID:        machineID(i),
		Model:     "m16",
		Zone:      zone,
		Spot:      spot,
		CreatedAt: c.now,
	}))
}

// heartbeat delivers a heartbeat that reports all tasks of a machine as running.
func (c *testCluster) heartbeat(w *workers.Worker) {
	c.sequence++
	heartbeat := &api.Heartbeat{
		MachineID:      w.ID,
		Addr:           "a",
		Model:          "m16",
		Zone:           w.Zone,
		Spot:           w.Spot,
		Incarnation:    1,
		SequenceNumber: c.sequence,
	}
	for _, t := range c.machines.SortedTasks(w) {
		report := api.TaskReport{TaskID: t.TaskID(), Attempt: t.Attempt, Status: api.Running}
		heartbeat.Tasks = append(heartbeat.Tasks, report)
	}
	c.machines.HandleHeartbeat(heartbeat)
}

// add submits a job with the next ID.
func (c *testCluster) add(spec api.Spec) *jobs.Job {
	c.jobCount++
	spec.ID = c.lastJobID()
	j := c.jobs.Add(&spec, func() {}, nil)
	c.commits.Flush()
	return j
}

// lastJobID returns the ID of the last submitted job.
func (c *testCluster) lastJobID() ident.JobID { return ident.JobID(fmt.Sprintf("j-%d", c.jobCount)) }

// submit submits a job of the team red that uses one of 16 images.
func (c *testCluster) submit(shape api.Shape, tasks int, vcpus float64) {
	c.add(api.Spec{
		Team:     "red",
		Shape:    shape,
		Priority: api.Standard,
		Tasks:    tasks,
		VCPUs:    vcpus,
		MemoryGB: 2,
		Image:    fmt.Sprintf("img-%d", (c.jobCount+1)%16),
		ImageGB:  1,
		Spot:     shape == api.Batch,
		RuntimeS: 60,
	})
}

// Place implements Actions. It assigns a task to a machine.
func (c *testCluster) Place(t *jobs.Task, w *workers.Worker) {
	c.jobs.Place(t, w.ID, 1, func() {})
}

// Preempt implements Actions. It stops a task on its machine.
func (c *testCluster) Preempt(t *jobs.Task, w *workers.Worker, d time.Duration) {
	if w.ID != t.MachineID {
		panic("Preempt called with a machine that does not run the task")
	}
	c.machines.StopTask(w, t, d)
}

// dispatchAll repeats dispatches until all placeable tasks are placed.
func (c *testCluster) dispatchAll() {
	for c.planner.Dispatch() {
		c.now = c.now.Add(time.Second)
		c.commits.Flush()
	}
	c.now = c.now.Add(time.Second)
	c.commits.Flush()
}

// cancel cancels the last submitted job and removes its tasks from their machines.
func (c *testCluster) cancel() {
	j := c.jobs.Jobs[c.lastJobID()]
	c.now = c.now.Add(time.Second)
	c.commits.Flush()
	c.jobs.Cancel(j, func() {})
	for i := range j.Tasks.Len() {
		c.jobs.MarkNotRunning(j.Tasks.At(i), nil)
	}
	c.commits.Flush()
}

// newTwoZoneCluster returns a cluster of on-demand machines with 16 CPUs each in two zones, without jobs.
func newTwoZoneCluster(east, west int) *testCluster {
	c := newTestCluster(0)
	onStateChange := c.jobs.OnStateChange
	c.jobs.OnStateChange = func(t *jobs.Task, from, to jobs.State) {
		onStateChange(t, from, to)
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
		c.addMachine(i, zone, false)
	}
	return c
}

// submitGang submits a gang of the team red.
func (c *testCluster) submitGang(tasks int, vcpus float64, oneZone bool) *jobs.Job {
	return c.add(api.Spec{
		Team:     "red",
		Shape:    api.Gang,
		Priority: api.High,
		Tasks:    tasks,
		VCPUs:    vcpus,
		MemoryGB: 2,
		Image:    "img-gang",
		ImageGB:  1,
		OneZone:  oneZone,
		RuntimeS: 30,
	})
}

// newBorrowedCluster returns a cluster that the tasks of a borrower fill, except for leftFree CPUs on the
// first machines.
func newBorrowedCluster(machines, leftFree int) *testCluster {
	c := newTestCluster(0)
	c.planner.teams = NewTeams([]settings.Team{{Name: "red", CPUs: 1e6, CPUsMax: 1e6}, {Name: "borrower"}})
	for i := range machines {
		c.addMachine(i, "east", true)
	}
	backlog := c.submitAs("borrower", api.BestEffort, 16*machines+20)
	for i := range 16*machines - leftFree {
		c.Place(backlog.Tasks.At(i), c.machines.Workers[machineID((i+leftFree)/16)])
	}
	c.commits.Flush()
	for _, w := range c.machines.Sorted() {
		c.heartbeat(w)
	}
	return c
}

// submitAs submits a batch job of a team. Each task needs one CPU. All jobs of a team use the same image.
func (c *testCluster) submitAs(team string, priority api.Priority, tasks int) *jobs.Job {
	return c.add(api.Spec{
		Team:     team,
		Shape:    api.Batch,
		Priority: priority,
		Tasks:    tasks,
		VCPUs:    1,
		MemoryGB: 1,
		Image:    "img-" + team,
		ImageGB:  1,
		Spot:     true,
		RuntimeS: 60,
	})
}

// newClusterWithHolders returns a cluster in which the first machines have the image of the team red cached.
func newClusterWithHolders(machines, holding int) *testCluster {
	c := newTestCluster(0)
	for i := range machines {
		c.addMachine(i, "east", true)
	}
	first := c.submitAs("red", api.Standard, holding)
	for i := range holding {
		c.Place(first.Tasks.At(i), c.machines.Sorted()[i])
	}
	c.commits.Flush()
	for _, w := range c.machines.Sorted() {
		c.heartbeat(w)
	}
	return c
}

// newReservedCluster returns a cluster with one empty machine and two waiting jobs. The machine is reserved
// for the first job, which can't be placed yet.
func newReservedCluster() (c *testCluster, first, other *jobs.Job) {
	c = newTestCluster(0)
	c.addMachine(1, "east", true)
	first, other = c.submitAs("red", api.Standard, 1), c.submitAs("red", api.Standard, 1)
	first.Tasks.At(0).RetryAt = c.now.Add(time.Hour)
	c.planner.ReserveFor(c.machines.Sorted()[0], first, c.now.Add(10*time.Second))
	return c, first, other
}
