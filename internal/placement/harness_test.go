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
func (l *testCluster) PlaceGang(j *jobs.Job, picks []gang.Placement) {
	for _, p := range picks {
		l.Place(p.Task, p.Worker)
	}
}
func (l *testCluster) GangUsedMachine(*jobs.Job, *workers.Worker) bool { return false }
func (l *testCluster) CanStopGang(*jobs.Job) bool                      { return false }
func (l *testCluster) StopGang(*jobs.Job) bool                         { return false }

func newTestCluster(machines int) *testCluster {
	l := &testCluster{instantEnv: instantEnv{now: ident.MonotonicTime(time.Hour)}}
	kind := cloud.MachineType{SKU: "m16", VCPUs: 16, MemoryGB: 32, LocalDiskGB: 25, PullGBPerS: 0.3}
	l.commits = commit.New(l, commit.Limits{MutationsPerTxn: 24, MutationsPerSecond: 1e9, MaxValueBytes: 16 << 10}, kvstore.Compare{Key: "leader"}, func(string) {})
	l.jobs = jobs.NewTable(l.commits, 16<<10, l.Now, func() int64 { return 0 })
	l.machines = workers.NewTable(l, l.jobs, workers.Config{Term: 1, LeaseDuration: time.Minute, Catalog: func(string) *cloud.MachineType { return &kind },
		OnDeposed: func() {}, OnCapacityChanged: func() {}, OnTaskFailed: func(*jobs.Task, *workers.Worker, api.Cause) {},
		Persist: func(w *workers.Worker) { w.Persisted = true }, OnCommandResult: func(*workers.Worker, bool) {}, LastPeerRenewal: func() ident.MonotonicTime { return 0 }})
	teams := NewTeams([]settings.Team{{Name: "red", CPUs: 1e6, CPUsMax: 1e6}})
	l.planner = NewPlanner(teams, l.jobs, l.machines, l, l.Now, Config{UseASM1: true, MaxWait: time.Hour, GangWait: time.Hour})
	l.jobs.OnStateChange = func(t *jobs.Task, from, to jobs.State) {
		w := l.machines.Workers[t.MachineID]
		if !from.Allocated() && to.Allocated() {
			l.machines.AddTask(w, t)
		} else if from.Allocated() && !to.Allocated() {
			l.machines.RemoveTask(w, t)
		}
	}
	for i := range machines {
		w := l.machines.Add(ident.MachineID(fmt.Sprintf("host-%06d", i)), "m16", "east", i%3 == 0, l.now)
		l.heartbeat(w)
	}
	for range 3 * machines / 20 {
		l.submit(api.Batch, 20, 4)
	}
	return l
}

func (l *testCluster) heartbeat(w *workers.Worker) {
	l.sequence++
	r := &api.Heartbeat{MachineID: w.ID, Addr: "a", Model: "m16", Zone: "east", Spot: w.Spot, Incarnation: 1, SequenceNumber: l.sequence}
	for _, t := range l.machines.SortedTasks(w) {
		r.Tasks = append(r.Tasks, api.TaskReport{TaskID: t.TaskID(), Attempt: t.Attempt, Status: api.Running})
	}
	l.machines.HandleHeartbeat(r)
}

func (l *testCluster) submit(shape api.Shape, tasks int, vcpus float64) {
	l.jobCount++
	l.jobs.Add(&api.Spec{ID: ident.JobID(fmt.Sprintf("j-%d", l.jobCount)), Team: "red", Shape: shape, Priority: api.Standard, Tasks: tasks,
		VCPUs: vcpus, MemoryGB: 2, Image: fmt.Sprintf("img-%d", l.jobCount%16), ImageGB: 1, Spot: shape == api.Batch, RuntimeS: 60}, func() {}, nil)
	l.commits.Flush()
}

// Place and Preempt carry out what the planner decides.
func (l *testCluster) Place(t *jobs.Task, w *workers.Worker) {
	l.jobs.Place(t, w.ID, 1, func() {})
}
func (l *testCluster) Preempt(t *jobs.Task, w *workers.Worker, d time.Duration) {
	if w.ID != t.MachineID {
		panic("a task is stopped on another machine than its own")
	}
	l.machines.StopTask(w, t, d)
}

// dispatchAll places all there is, in as many dispatches as it takes.
func (l *testCluster) dispatchAll() {
	for l.planner.Dispatch() {
		l.now = l.now.Add(time.Second)
		l.commits.Flush()
	}
	l.now = l.now.Add(time.Second)
	l.commits.Flush()
}

func (l *testCluster) cancel() {
	j := l.jobs.Jobs[ident.JobID(fmt.Sprintf("j-%d", l.jobCount))]
	l.now = l.now.Add(time.Second)
	l.commits.Flush()
	l.jobs.Cancel(j, func() {})
	for i := range j.Tasks {
		l.jobs.MarkGone(&j.Tasks[i], nil)
	}
	l.commits.Flush()
}

// newTwoZoneCluster is a fleet of ordinary machines with 16 CPUs in two zones, and no work.
func newTwoZoneCluster(east, west int) *testCluster {
	l := newTestCluster(0)
	onMove := l.jobs.OnStateChange
	l.jobs.OnStateChange = func(t *jobs.Task, from, to jobs.State) {
		onMove(t, from, to)
		if !from.Allocated() && to.Allocated() {
			l.planner.teams.AddUsage(t.Job.Spec, 1)
		} else if from.Allocated() && !to.Allocated() {
			l.planner.teams.AddUsage(t.Job.Spec, -1)
		}
	}
	for i := range east + west {
		zone := "east"
		if i >= east {
			zone = "west"
		}
		w := l.machines.Add(ident.MachineID(fmt.Sprintf("host-%06d", i)), "m16", zone, false, l.now)
		l.sequence++
		l.machines.HandleHeartbeat(&api.Heartbeat{MachineID: w.ID, Addr: "a", Model: "m16", Zone: zone, Incarnation: 1, SequenceNumber: l.sequence})
	}
	return l
}

func (l *testCluster) submitGang(tasks int, vcpus float64, oneZone bool) *jobs.Job {
	l.jobCount++
	id := ident.JobID(fmt.Sprintf("j-%d", l.jobCount))
	l.jobs.Add(&api.Spec{ID: id, Team: "red", Shape: api.Gang, Priority: api.High, Tasks: tasks, VCPUs: vcpus, MemoryGB: 2, Image: "img-gang",
		ImageGB: 1, OneZone: oneZone, RuntimeS: 30}, func() {}, nil)
	l.commits.Flush()
	return l.jobs.Jobs[id]
}

// newBorrowedCluster makes a fleet that a team without a guarantee has filled, but for what is
// left free on the first machine.
func newBorrowedCluster(machines, leftFree int) *testCluster {
	l := newTestCluster(0)
	l.planner.teams = NewTeams([]settings.Team{{Name: "red", CPUs: 1e6, CPUsMax: 1e6}, {Name: "guest"}})
	for i := range machines {
		l.heartbeat(l.machines.Add(ident.MachineID(fmt.Sprintf("host-%06d", i)), "m16", "east", true, l.now))
	}
	backlog := l.submitAs("guest", api.BestEffort, 16*machines+20)
	for i := range 16*machines - leftFree {
		l.Place(&backlog.Tasks[i], l.machines.Workers[ident.MachineID(fmt.Sprintf("host-%06d", (i+leftFree)/16))])
	}
	l.commits.Flush()
	for _, w := range l.machines.Sorted() {
		l.heartbeat(w)
	}
	return l
}

// submitAs submits an array of tasks of one CPU whose image is the team's own.
func (l *testCluster) submitAs(team string, priority api.Priority, tasks int) *jobs.Job {
	l.jobCount++
	j := l.jobs.Add(&api.Spec{ID: ident.JobID(fmt.Sprintf("j-%d", l.jobCount)), Team: team, Shape: api.Batch, Priority: priority, Tasks: tasks,
		VCPUs: 1, MemoryGB: 1, Image: "img-" + team, ImageGB: 1, Spot: true, RuntimeS: 60}, func() {}, nil)
	l.commits.Flush()
	return j
}

// newClusterWithHolders makes a fleet of which so many machines hold the image of a job to come.
func newClusterWithHolders(machines, holding int) *testCluster {
	l := newTestCluster(0)
	for i := range machines {
		w := l.machines.Add(ident.MachineID(fmt.Sprintf("host-%06d", i)), "m16", "east", true, l.now)
		l.heartbeat(w)
	}
	first := l.submitAs("red", api.Standard, holding)
	for i := range holding {
		l.Place(&first.Tasks[i], l.machines.Sorted()[i])
	}
	l.commits.Flush()
	for _, w := range l.machines.Sorted() {
		l.heartbeat(w)
	}
	return l
}

// newReservedCluster makes one empty machine whose room is kept for a job that can't be placed yet, and
// another job that waits.
func newReservedCluster() (l *testCluster, first, other *jobs.Job) {
	l = newTestCluster(0)
	l.heartbeat(l.machines.Add("host-000001", "m16", "east", true, l.now))
	first, other = l.submitAs("red", api.Standard, 1), l.submitAs("red", api.Standard, 1)
	first.Tasks[0].RetryAt = l.now.Add(time.Hour)
	l.planner.ReserveFor(l.machines.Sorted()[0], first, l.now.Add(10*time.Second))
	return l, first, other
}
