package rebalance

import (
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/propertytest"
)

func TestMain(m *testing.M) { os.Exit(propertytest.Main(m)) }

// jobID returns the ID of the job with a number.
func jobID(n int) ident.JobID { return ident.JobID(fmt.Sprintf("j-%d", n)) }

// fitsAnywhere allows moves of all tasks to all machines, with an image pull of one second.
func fitsAnywhere(*Task, *Machine) (time.Duration, bool) { return time.Second, true }

// drawCluster draws a cluster of small machines with running and waiting tasks.
func drawCluster(t *rapid.T) *Cluster {
	cluster := &Cluster{Fits: fitsAnywhere}
	for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
		m := &Machine{
			ID:   ident.MachineID(fmt.Sprintf("host-%02d", i)),
			Zone: []string{"east", "west"}[i%2],
			Free: drawNeed(t, 0, 6),
		}
		for k := range rapid.IntRange(0, 4).Draw(t, "tasks") {
			m.Tasks = append(m.Tasks, drawTask(t, 10*i+k))
		}
		for _, x := range m.Tasks {
			if x.Remaining > 0 {
				m.Completions = append(m.Completions, Completion{Remaining: x.Remaining, Frees: x.Need})
			}
		}
		cluster.Machines = append(cluster.Machines, m)
	}
	for i := range rapid.IntRange(0, 2).Draw(t, "active") {
		cluster.ActiveMoves = append(cluster.ActiveMoves, ActiveMove{
			Job:           jobID(1 + i),
			Team:          "red",
			From:          "host-00",
			To:            "host-01",
			Zone:          "east",
			BeneficiaryID: ident.TaskID{Job: jobID(100 + i)},
		})
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "waiting") {
		zone := rapid.SampledFrom([]string{"", "east"}).Draw(t, "zone")
		cluster.Waiting = append(cluster.Waiting, WaitingTask{
			ID:            ident.TaskID{Job: jobID(100 + i)},
			Need:          drawNeed(t, 2, 8),
			PriorityLevel: rapid.IntRange(0, 3).Draw(t, "level"),
			WaitedFor:     seconds(t, "waited", 20),
			BootRemaining: seconds(t, "arriving", 60),
			Allowed:       func(m *Machine) bool { return zone == "" || m.Zone == zone },
		})
	}
	return cluster
}

// drawTask draws a running task of one of five jobs.
func drawTask(t *rapid.T, index int) Task {
	return Task{
		ID:                 ident.TaskID{Job: jobID(rapid.IntRange(1, 5).Draw(t, "job")), Index: index},
		Team:               rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
		Need:               drawNeed(t, 1, 4),
		PriorityLevel:      rapid.IntRange(0, 3).Draw(t, "level"),
		RunningFor:         seconds(t, "ran", 90),
		Remaining:          seconds(t, "left", 120),
		CheckpointInterval: seconds(t, "saves", 1),
		CheckpointTime:     seconds(t, "save", 4),
		Replica:            rapid.Bool().Draw(t, "replica"),
		MoveCount:          rapid.IntRange(0, 2).Draw(t, "moved"),
	}
}

// drawNeed draws the CPUs and the memory that a task needs.
func drawNeed(t *rapid.T, least, most int) jobs.Resources {
	return jobs.Resources{
		VCPUs:    float64(rapid.IntRange(least, most).Draw(t, "cpus")),
		MemoryGB: float64(rapid.IntRange(least, most).Draw(t, "memory")),
	}
}

// seconds draws a duration in whole seconds.
func seconds(t *rapid.T, name string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Second
}

// cloneCluster copies a cluster, since Plan modifies its input.
func cloneCluster(cluster *Cluster) *Cluster {
	out := &Cluster{Fits: cluster.Fits, Waiting: cluster.Waiting, ActiveMoves: cluster.ActiveMoves}
	for _, m := range cluster.Machines {
		k := *m
		k.Tasks = append([]Task(nil), m.Tasks...)
		k.Completions = append([]Completion(nil), m.Completions...)
		out.Machines = append(out.Machines, &k)
	}
	return out
}

// TestPlan: for any cluster, the gain of each move justifies its cost, the destination has enough free
// capacity, the move frees enough capacity for its beneficiary, the budgets are not exceeded, and the plan
// is deterministic.
func TestPlan(t *testing.T) {
	planned := 0
	rapid.Check(t, func(t *rapid.T) {
		cluster, c := drawCluster(t), DefaultConfig()
		machines, tasks := map[ident.MachineID]*Machine{}, map[ident.TaskID]Task{}
		for _, m := range cloneCluster(cluster).Machines {
			machines[m.ID] = m
			for _, x := range m.Tasks {
				tasks[x.ID] = x
			}
		}
		moves := Plan(c, cloneCluster(cluster))
		if again := Plan(c, cloneCluster(cluster)); !reflect.DeepEqual(moves, again) {
			t.Fatalf("got moves %+v, then %+v for the same cluster, want the same moves", moves, again)
		}
		planned += len(moves)
		used := newBudgetUse(c.Budgets)
		beneficiaries := map[ident.TaskID]bool{}
		for _, a := range cluster.ActiveMoves {
			used.count(a)
			beneficiaries[a.BeneficiaryID] = true
		}
		for _, m := range moves {
			x, from, to := tasks[m.Task], machines[m.From], machines[m.To]
			w := findWaiting(cluster, m.BeneficiaryID)
			used.count(ActiveMove{Job: m.Task.Job, Team: x.Team, From: m.From, To: m.To, Zone: from.Zone})
			switch {
			case float64(m.Gain) < c.GainMargin*float64(m.Cost):
				t.Fatalf("got gain %v, want at least %v times the cost %v: %+v", m.Gain, c.GainMargin, m.Cost, m)
			case !to.Free.Covers(x.Need) || !from.Free.Add(x.Need).Covers(w.Need) || from.Free.Covers(w.Need):
				t.Fatalf("%+v: task needs %v, beneficiary %v; got %v free at the destination, want enough for the task; "+
					"got %v free at the source, want enough for the beneficiary with the move only",
					m, x.Need, w.Need, to.Free, from.Free)
			case x.Remaining > 0 && x.Remaining <= x.CheckpointTime+c.StartOverhead:
				t.Fatalf("%+v: got a task that completes in %v, want one that outlasts the move, %v without the image pull",
					m, x.Remaining, x.CheckpointTime+c.StartOverhead)
			case x.PriorityLevel < w.PriorityLevel || x.RunningFor < c.MinRuntime ||
				w.WaitedFor < c.MinWait || beneficiaries[m.BeneficiaryID]:
				t.Fatalf("%+v: got a move of task %+v for %+v, want none", m, x, w)
			case w.BootRemaining > 0 && m.ExpectedWait > w.BootRemaining:
				t.Fatalf("%+v: got expected wait %v, want at most %v, when a machine is up", m, m.ExpectedWait, w.BootRemaining)
			case x.MoveCount+used.jobs[m.Task.Job] > c.Budgets.Job ||
				used.zones[from.Zone] > c.Budgets.Zone ||
				used.teams[x.Team] > c.Budgets.Team ||
				used.machines[m.From] > c.Budgets.Machine ||
				used.machines[m.To] > c.Budgets.Machine ||
				used.cluster > c.Budgets.Cluster:
				t.Fatalf("got moves %+v, active moves %+v; want at most the budgets %+v", moves, cluster.ActiveMoves, c.Budgets)
			}
			beneficiaries[m.BeneficiaryID] = true
			to.Free, from.Free = to.Free.Sub(x.Need), jobs.Resources{}
		}
	})
	if planned == 0 {
		t.Error("got 0 moves in all clusters, want at least 1: no move was checked")
	}
}

// findWaiting returns the waiting task with an ID, nil if there is none.
func findWaiting(cluster *Cluster, id ident.TaskID) *WaitingTask {
	for i := range cluster.Waiting {
		if cluster.Waiting[i].ID == id {
			return &cluster.Waiting[i]
		}
	}
	return nil
}

// cpuNeed returns resources with CPUs only.
func cpuNeed(n float64) jobs.Resources { return jobs.Resources{VCPUs: n} }

// allowedAnywhere allows a waiting task on all machines.
func allowedAnywhere(*Machine) bool { return true }

// smallCluster returns a cluster in which one task waits for 4 CPUs and two machines have 3 and 2 free CPUs,
// with change applied to it if that is not nil.
func smallCluster(change func(*Cluster)) *Cluster {
	running := Task{
		ID:                 ident.TaskID{Job: "j-1"},
		Team:               "red",
		Need:               cpuNeed(1),
		RunningFor:         40 * time.Second,
		Remaining:          2 * time.Minute,
		CheckpointInterval: 10 * time.Second,
		CheckpointTime:     time.Second,
	}
	cluster := &Cluster{Fits: fitsAnywhere}
	cluster.Machines = []*Machine{
		{
			ID:          "host-1",
			Zone:        "east",
			Free:        cpuNeed(3),
			Completions: []Completion{{Remaining: 2 * time.Minute, Frees: cpuNeed(1)}},
			Tasks:       []Task{running},
		},
		{ID: "host-2", Zone: "east", Free: cpuNeed(2)},
	}
	cluster.Waiting = []WaitingTask{{
		ID:        ident.TaskID{Job: "j-9"},
		Need:      cpuNeed(4),
		WaitedFor: time.Minute,
		Allowed:   allowedAnywhere,
	}}
	if change != nil {
		change(cluster)
	}
	return cluster
}

// TestFreeCapacity: a small task is moved to free capacity for a waiting one if and only if that is
// worthwhile.
func TestFreeCapacity(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Cluster)
		moves  int
	}{
		{"worth it", nil, 1},
		{"a machine has enough capacity without a move", func(cluster *Cluster) { cluster.Machines[1].Free = cpuNeed(4) }, 0},
		{"all machines are full", func(cluster *Cluster) { cluster.Machines[1].Free = cpuNeed(0) }, 0},
		{"it has run for long and writes no checkpoints", func(cluster *Cluster) {
			cluster.Machines[0].Tasks[0].RunningFor, cluster.Machines[0].Tasks[0].CheckpointInterval = time.Minute, 0
		}, 0},
		{"it writes no checkpoints and has not run for long", func(cluster *Cluster) {
			cluster.Machines[0].Tasks[0].CheckpointInterval = 0
		}, 1},
		{"it has just started", func(cluster *Cluster) { cluster.Machines[0].Tasks[0].RunningFor = 20 * time.Second }, 0},
		{"it ends soon", func(cluster *Cluster) { cluster.Machines[0].Completions[0].Remaining = 6 * time.Second }, 0},
		{"it ends before it could move", func(cluster *Cluster) { cluster.Machines[0].Tasks[0].Remaining = 3 * time.Second }, 0},
		{"a booting machine is up soon", func(cluster *Cluster) { cluster.Waiting[0].BootRemaining = 5 * time.Second }, 0},
		{"a booting machine is up late", func(cluster *Cluster) { cluster.Waiting[0].BootRemaining = time.Minute }, 1},
		{"it was moved twice", func(cluster *Cluster) { cluster.Machines[0].Tasks[0].MoveCount = 2 }, 0},
		{"it was moved once", func(cluster *Cluster) { cluster.Machines[0].Tasks[0].MoveCount = 1 }, 1},
		{"it has a higher priority", func(cluster *Cluster) { cluster.Waiting[0].PriorityLevel = 1 }, 0},
		{"the waiting task has just begun to wait", func(cluster *Cluster) { cluster.Waiting[0].WaitedFor = time.Second }, 0},
		{"its image takes long to pull", func(cluster *Cluster) {
			cluster.Fits = func(*Task, *Machine) (time.Duration, bool) { return 2 * time.Minute, true }
		}, 0},
		{"it may not go there", func(cluster *Cluster) {
			cluster.Fits = func(*Task, *Machine) (time.Duration, bool) { return 0, false }
		}, 0},
		{"it is as large as the waiting task", func(cluster *Cluster) {
			cluster.Machines[0].Free, cluster.Machines[0].Tasks[0].Need = cpuNeed(0), cpuNeed(4)
		}, 0},
		{"the destination has too little memory", func(cluster *Cluster) { cluster.Machines[0].Tasks[0].Need.MemoryGB = 1 }, 0},
		{"the waiting task may not run on its machine", func(cluster *Cluster) {
			cluster.Waiting[0].Allowed = func(m *Machine) bool { return m.ID == "host-2" }
		}, 0},
		{"one machine is much larger, and has enough capacity", func(cluster *Cluster) {
			cluster.Machines[1].Free = cpuNeed(60)
		}, 0},
		{"one machine is much larger, and the waiting task may not run there", func(cluster *Cluster) {
			cluster.Machines[1].Free = cpuNeed(60)
			cluster.Waiting[0].Allowed = func(m *Machine) bool { return m.ID == "host-1" }
		}, 1},
		{"a move for the waiting task is active", func(cluster *Cluster) {
			cluster.ActiveMoves = []ActiveMove{{BeneficiaryID: cluster.Waiting[0].ID}}
		}, 0},
		{"a move uses its machine", func(cluster *Cluster) {
			cluster.ActiveMoves = []ActiveMove{{From: "host-3", To: "host-1"}}
		}, 0},
		{"the budget of the cluster is exhausted", func(cluster *Cluster) { cluster.ActiveMoves = make([]ActiveMove, 4) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if moves := Plan(DefaultConfig(), smallCluster(c.change)); len(moves) != c.moves {
				t.Errorf("got %d moves, want %d: %+v", len(moves), c.moves, moves)
			}
		})
	}
}

// TestLeaveSlowMachine: a task is moved away from a slow machine if and only if it completes so much sooner
// on another machine that the move is worthwhile.
func TestLeaveSlowMachine(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Cluster, *Task)
		moves  int
	}{
		{"worth it", func(*Cluster, *Task) {}, 1},
		{"it writes no checkpoints, and has long to run", func(_ *Cluster, x *Task) { x.CheckpointInterval = 0 }, 1},
		{"it writes no checkpoints, and is nearly done", func(_ *Cluster, x *Task) {
			x.CheckpointInterval, x.RunningFor = 0, 230*time.Second
		}, 0},
		{"it writes checkpoints, and is nearly done", func(_ *Cluster, x *Task) { x.RunningFor = 296 * time.Second }, 0},
		{"it should have ended long ago", func(_ *Cluster, x *Task) { x.RunningFor = 20 * time.Minute }, 0},
		{"its run time is unknown", func(_ *Cluster, x *Task) { x.EstimatedRuntime = 0 }, 0},
		{"the machine is hardly slower", func(cluster *Cluster, _ *Task) { cluster.SlowMachines[0].Slowness = 1.05 }, 0},
		{"it has just started", func(_ *Cluster, x *Task) { x.RunningFor = time.Second }, 0},
		{"it was moved twice", func(_ *Cluster, x *Task) { x.MoveCount = 2 }, 0},
		{"the destination has too little capacity", func(cluster *Cluster, _ *Task) { cluster.Machines[0].Free = cpuNeed(1) }, 0},
		{"it may not go there", func(cluster *Cluster, _ *Task) {
			cluster.Fits = func(*Task, *Machine) (time.Duration, bool) { return 0, false }
		}, 0},
		{"a move uses the machine", func(cluster *Cluster, _ *Task) { cluster.ActiveMoves = []ActiveMove{{From: "slow"}} }, 0},
		{"a move uses the destination", func(cluster *Cluster, _ *Task) {
			cluster.ActiveMoves = []ActiveMove{{To: "host-1"}}
		}, 0},
		{"the budget of the zone is exhausted", func(cluster *Cluster, _ *Task) {
			cluster.ActiveMoves = []ActiveMove{{Zone: "west"}, {Zone: "west"}}
		}, 0},
		{"the budget of the team is exhausted", func(cluster *Cluster, _ *Task) {
			cluster.ActiveMoves = []ActiveMove{{Team: "red"}, {Team: "red"}}
		}, 0},
		{"the budget of the cluster is exhausted", func(cluster *Cluster, _ *Task) {
			cluster.ActiveMoves = make([]ActiveMove, 4)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := clusterWithSlowMachine()
			c.change(cluster, &cluster.SlowMachines[0].Tasks[0])
			moves := Plan(DefaultConfig(), cluster)
			if len(moves) != c.moves {
				t.Errorf("got %d moves, want %d: %+v", len(moves), c.moves, moves)
			}
			if len(moves) == 1 && (moves[0].Purpose != LeavesSlowMachine || moves[0].From != "slow" || moves[0].To != "host-1") {
				t.Errorf("got move %+v, want one from slow to host-1 with purpose %q", moves[0], LeavesSlowMachine)
			}
		})
	}
}

// clusterWithSlowMachine returns a cluster in which one task runs on a slow machine, and another machine
// has enough free capacity for it.
func clusterWithSlowMachine() *Cluster {
	running := Task{
		ID:                 ident.TaskID{Job: "j-1"},
		Team:               "red",
		Need:               cpuNeed(2),
		RunningFor:         time.Minute,
		EstimatedRuntime:   100 * time.Second,
		CheckpointInterval: time.Second,
		CheckpointTime:     time.Second,
	}
	return &Cluster{
		Machines: []*Machine{{ID: "host-1", Zone: "east", Free: cpuNeed(4)}},
		SlowMachines: []*SlowMachine{{
			Slowness: 3,
			Machine:  Machine{ID: "slow", Zone: "west", Tasks: []Task{running}},
		}},
		Fits: fitsAnywhere,
	}
}

// manyWaiting returns a cluster with eight waiting tasks. For each of them there is a running task whose
// move would free enough capacity, and a destination. zone and team return the zone and the team of the
// i-th running task.
func manyWaiting(zone, team func(i int) string) *Cluster {
	cluster := &Cluster{Fits: func(_ *Task, m *Machine) (time.Duration, bool) { return 0, m.Zone == "far" }}
	for i := range 8 {
		cluster.Machines = append(cluster.Machines,
			&Machine{
				ID:   ident.MachineID(fmt.Sprintf("source-%d", i)),
				Zone: zone(i),
				Free: cpuNeed(3),
				Tasks: []Task{{
					ID:                 ident.TaskID{Job: jobID(i)},
					Team:               team(i),
					Need:               cpuNeed(1),
					RunningFor:         time.Minute,
					CheckpointInterval: time.Second,
				}},
			},
			&Machine{ID: ident.MachineID(fmt.Sprintf("target-%d", i)), Zone: "far", Free: cpuNeed(1)},
		)
		cluster.Waiting = append(cluster.Waiting, WaitingTask{
			ID:        ident.TaskID{Job: jobID(100 + i)},
			Need:      cpuNeed(4),
			WaitedFor: time.Minute,
			Allowed:   allowedAnywhere,
		})
	}
	return cluster
}

// TestBudgets: each budget limits the number of moves when the other budgets would allow more.
func TestBudgets(t *testing.T) {
	own := func(i int) string { return fmt.Sprint(i) }
	same := func(int) string { return "same" }
	wide := Budgets{Cluster: 100, Zone: 100, Team: 100, Machine: 1, Job: 2}
	for _, c := range []struct {
		name    string
		cluster *Cluster
		lower   func(*Budgets)
		active  []ActiveMove
		want    int
	}{
		{"none", manyWaiting(same, same), func(*Budgets) {}, nil, 8},
		{"cluster", manyWaiting(own, own), func(b *Budgets) { b.Cluster = 3 }, nil, 3},
		{"cluster, with one in progress", manyWaiting(own, own), func(b *Budgets) { b.Cluster = 3 }, []ActiveMove{{}}, 2},
		{"zone", manyWaiting(same, own), func(b *Budgets) { b.Zone = 2 }, nil, 2},
		{"zone, with one in progress", manyWaiting(same, own), func(b *Budgets) { b.Zone = 2 }, []ActiveMove{{Zone: "same"}}, 1},
		{"team", manyWaiting(own, same), func(b *Budgets) { b.Team = 2 }, nil, 2},
		{"team, with one in progress", manyWaiting(own, same), func(b *Budgets) { b.Team = 2 }, []ActiveMove{{Team: "same"}}, 1},
		{"source in use", manyWaiting(own, own), func(*Budgets) {}, []ActiveMove{{From: "source-0"}, {To: "source-1"}}, 6},
		{"destinations in use", manyWaiting(own, own), func(*Budgets) {}, []ActiveMove{{To: "target-0"}, {From: "target-1"}}, 6},
		{"job, with two in progress", manyWaiting(own, own), func(*Budgets) {}, []ActiveMove{{Job: "j-0"}, {Job: "j-0"}}, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := DefaultConfig()
			config.Budgets = wide
			c.lower(&config.Budgets)
			c.cluster.ActiveMoves = c.active
			if got := Plan(config, c.cluster); len(got) != c.want {
				t.Errorf("got %d moves, want %d: %+v", len(got), c.want, got)
			}
		})
	}
}

// BenchmarkPlan measures how the time of Plan grows with the number of machines.
func BenchmarkPlan(b *testing.B) {
	for _, machines := range []int{500, 1000, 2000, 4500} {
		b.Run(fmt.Sprintf("%d machines", machines), func(b *testing.B) {
			cluster := &Cluster{Fits: fitsAnywhere}
			for i := range machines {
				m := &Machine{ID: ident.MachineID(fmt.Sprintf("host-%06d", i)), Zone: "east", Free: cpuNeed(float64(i % 4))}
				for k := range 4 {
					m.Tasks = append(m.Tasks, Task{
						ID:                 ident.TaskID{Job: jobID(i), Index: k},
						Need:               cpuNeed(3),
						RunningFor:         time.Minute,
						Remaining:          5 * time.Minute,
						CheckpointInterval: time.Second,
					})
					m.Completions = append(m.Completions, Completion{Remaining: 5 * time.Minute, Frees: cpuNeed(3)})
				}
				cluster.Machines = append(cluster.Machines, m)
			}
			for i := range 100 {
				cluster.Waiting = append(cluster.Waiting, WaitingTask{
					ID:        ident.TaskID{Job: "j-w", Index: i},
					Need:      cpuNeed(6),
					WaitedFor: time.Minute,
					Allowed:   allowedAnywhere,
				})
			}
			for b.Loop() {
				Plan(DefaultConfig(), cloneCluster(cluster))
			}
		})
	}
}
