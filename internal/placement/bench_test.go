package placement

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
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

// BenchmarkASM1 plans for fleets of growing size, each image on a third of the
// machines and twenty tasks a job.
func BenchmarkASM1(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("%d machines", machines), func(b *testing.B) {
			gs, _, _ := randomGroups(rand.New(rand.NewPCG(5, 6)), 3*machines/20, machines, 39, 0.33)
			for b.Loop() {
				ASM1(machines, gs)
			}
		})
	}
}

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
		w := l.machines.Add(workers.MachineInfo{ID: ident.MachineID(fmt.Sprintf("host-%06d", i)), Model: "m16", Zone: "east", Spot: i%3 == 0,
			CreatedAt: l.now})
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

// fleetSizes are fleets up to more machines than the users run.
var fleetSizes = []int{500, 1000, 2000, 4500}

// BenchmarkFill places three tasks a machine on an empty fleet.
func BenchmarkFill(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("%d machines", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				l := newTestCluster(n)
				b.StartTimer()
				l.dispatchAll()
			}
		})
	}
}

// BenchmarkDispatch looks for room for one job on a fleet that has some, and on
// one that has none.
func BenchmarkDispatch(b *testing.B) {
	for _, n := range fleetSizes {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d machines, full %v", n, full), func(b *testing.B) {
				l := newTestCluster(n)
				for i := 0; full && i < 2*n/20; i++ {
					l.submit(api.Batch, 20, 4)
				}
				l.dispatchAll()
				for _, w := range l.machines.Sorted() {
					l.heartbeat(w)
				}
				for b.Loop() {
					l.submit(api.Service, 8, 2)
					l.planner.Dispatch()
					b.StopTimer()
					l.cancel()
					b.StartTimer()
				}
			})
		}
	}
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

// BenchmarkHeartbeat reads and answers the report of a machine with four tasks that
// has nothing new to say.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("%d machines", n), func(b *testing.B) {
			l := newTestCluster(n)
			l.dispatchAll()
			w := l.machines.Sorted()[1]
			r := &api.Heartbeat{MachineID: w.ID, Addr: "a", Model: "m16", Zone: "east", Incarnation: 1, FencingToken: ident.MakeFencingToken(1, 0)}
			for _, t := range l.machines.SortedTasks(w) {
				r.Tasks = append(r.Tasks, api.TaskReport{TaskID: t.TaskID(), Attempt: t.Attempt, Status: api.Running})
			}
			body, _ := json.Marshal(r)
			for b.Loop() {
				got, err := api.ParseHeartbeat(body)
				if err != nil {
					b.Fatal(err)
				}
				l.sequence++
				got.SequenceNumber = l.sequence
				api.JSON(l.machines.HandleHeartbeat(got))
			}
		})
	}
}
