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

// drawPicture makes a cluster of small machines with running and waiting tasks.
func drawPicture(t *rapid.T) *Picture {
	p := &Picture{Fits: func(*Task, *Machine) (time.Duration, bool) { return time.Second, true }}
	for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
		m := &Machine{Host: ident.MachineID(fmt.Sprintf("host-%02d", i)), Zone: []string{"east", "west"}[i%2], Free: drawNeed(t, 0, 6)}
		for k := range rapid.IntRange(0, 4).Draw(t, "tasks") {
			m.Tasks = append(m.Tasks, Task{ID: ident.TaskID{Job: ident.JobID(fmt.Sprintf("j-%d", rapid.IntRange(1, 5).Draw(t, "job"))), Index: 10*i + k},
				Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"), Need: drawNeed(t, 1, 4), Level: rapid.IntRange(0, 3).Draw(t, "level"),
				Ran: seconds(t, "ran", 90), Left: seconds(t, "left", 120), Saves: seconds(t, "saves", 1), Save: seconds(t, "save", 4),
				Replica: rapid.Bool().Draw(t, "replica"), Moved: rapid.IntRange(0, 2).Draw(t, "moved")})
		}
		for _, x := range m.Tasks {
			if x.Left > 0 {
				m.Ends = append(m.Ends, End{Left: x.Left, Need: x.Need})
			}
		}
		p.Machines = append(p.Machines, m)
	}
	for i := range rapid.IntRange(0, 2).Draw(t, "active") {
		p.Active = append(p.Active, Active{Job: ident.JobID(fmt.Sprintf("j-%d", 1+i)), Team: "red", From: "host-00", To: "host-01", Zone: "east",
			For: ident.TaskID{Job: ident.JobID(fmt.Sprintf("j-%d", 100+i))}})
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "waiting") {
		zone := rapid.SampledFrom([]string{"", "east"}).Draw(t, "zone")
		p.Waiting = append(p.Waiting, Waiting{ID: ident.TaskID{Job: ident.JobID(fmt.Sprintf("j-%d", 100+i))},
			Need: drawNeed(t, 2, 8), Level: rapid.IntRange(0, 3).Draw(t, "level"), Waited: seconds(t, "waited", 20), Arriving: seconds(t, "arriving", 60), Allowed: func(m *Machine) bool { return zone == "" || m.Zone == zone }})
	}
	return p
}

func drawNeed(t *rapid.T, least, most int) jobs.Resources {
	return jobs.Resources{VCPUs: float64(rapid.IntRange(least, most).Draw(t, "cpus")), MemoryGB: float64(rapid.IntRange(least, most).Draw(t, "memory"))}
}

func seconds(t *rapid.T, name string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Second
}

// copied returns a picture of its own, since a plan uses it up.
func copied(p *Picture) *Picture {
	out := &Picture{Fits: p.Fits, Waiting: p.Waiting, Active: p.Active}
	for _, m := range p.Machines {
		k := *m
		k.Tasks = append([]Task(nil), m.Tasks...)
		k.Ends = append([]End(nil), m.Ends...)
		out.Machines = append(out.Machines, &k)
	}
	return out
}

// TestPlan: whatever the picture, each move pays with its margin, has room to go to and makes
// enough for the task it is for; budgets are kept; and the same picture has the same plan.
func TestPlan(t *testing.T) {
	planned := 0
	rapid.Check(t, func(t *rapid.T) {
		p, c := drawPicture(t), DefaultConfig()
		machines, tasks := map[ident.MachineID]*Machine{}, map[ident.TaskID]Task{}
		for _, m := range copied(p).Machines {
			machines[m.Host] = m
			for _, x := range m.Tasks {
				tasks[x.ID] = x
			}
		}
		moves := Plan(c, copied(p))
		if again := Plan(c, copied(p)); !reflect.DeepEqual(moves, again) {
			t.Fatalf("%+v, then %+v", moves, again)
		}
		planned += len(moves)
		used := newUse()
		served := map[ident.TaskID]bool{}
		for _, a := range p.Active {
			used.count(a)
			served[a.For] = true
		}
		for _, m := range moves {
			x, from, to := tasks[m.Task], machines[m.From], machines[m.To]
			w := waiting(p, m.For)
			used.count(Active{Job: m.Task.Job, Team: x.Team, From: m.From, To: m.To, Zone: from.Zone})
			switch {
			case float64(m.Gain) < c.Margin*float64(m.Cost):
				t.Fatalf("%+v doesn't pay", m)
			case !to.Free.Covers(x.Need) || !from.Free.Add(x.Need).Covers(w.Need) || from.Free.Covers(w.Need):
				t.Fatalf("%+v: %v free there, %v here, %v needed", m, to.Free, from.Free, w.Need)
			case x.Left > 0 && x.Left <= x.Save+c.Start:
				t.Fatalf("%+v ends before its move", m)
			case x.Level < w.Level || x.Ran < c.MinRan || w.Waited < c.Patience || served[m.For]:
				t.Fatalf("%+v: moved %+v for %+v", m, x, w)
			case w.Arriving > 0 && m.Wait > w.Arriving:
				t.Fatalf("%+v: a machine comes in %v", m, w.Arriving)
			case x.Moved+used.jobs[m.Task.Job] > c.Budgets.Job || used.zones[from.Zone] > c.Budgets.Zone || used.teams[x.Team] > c.Budgets.Team ||
				used.machines[m.From] > c.Budgets.Machine || used.machines[m.To] > c.Budgets.Machine || used.cluster > c.Budgets.Cluster:
				t.Fatalf("over a budget: %+v beside %+v", moves, p.Active)
			}
			served[m.For] = true
			to.Free, from.Free = to.Free.Sub(x.Need), jobs.Resources{}
		}
	})
	if planned == 0 {
		t.Error("no move in any picture: the test shows nothing")
	}
}

func waiting(p *Picture, id ident.TaskID) *Waiting {
	for i := range p.Waiting {
		if p.Waiting[i].ID == id {
			return &p.Waiting[i]
		}
	}
	return nil
}

// cpus is a need of CPUs alone.
func cpus(n float64) jobs.Resources { return jobs.Resources{VCPUs: n} }

// small is a picture in which one task waits for 4 CPUs and two machines have 3 and 2 free.
func small(change func(*Picture)) *Picture {
	p := &Picture{Fits: func(*Task, *Machine) (time.Duration, bool) { return time.Second, true }}
	p.Machines = []*Machine{
		{Host: "host-1", Zone: "east", Free: cpus(3), Ends: []End{{Left: 2 * time.Minute, Need: cpus(1)}},
			Tasks: []Task{{ID: ident.TaskID{Job: "j-1"}, Team: "red", Need: cpus(1), Ran: 40 * time.Second, Left: 2 * time.Minute, Saves: 10 * time.Second, Save: time.Second}}},
		{Host: "host-2", Zone: "east", Free: cpus(2)},
	}
	p.Waiting = []Waiting{{ID: ident.TaskID{Job: "j-9"}, Need: cpus(4), Waited: time.Minute, Allowed: func(*Machine) bool { return true }}}
	if change != nil {
		change(p)
	}
	return p
}

// TestWhatIsMoved: a small task makes room when that is worth it, and only then.
func TestWhatIsMoved(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Picture)
		moves  int
	}{
		{"worth it", nil, 1},
		{"there is room without it", func(p *Picture) { p.Machines[1].Free = cpus(4) }, 0},
		{"all machines are full", func(p *Picture) { p.Machines[1].Free = cpus(0) }, 0},
		{"it has run for long and never saves", func(p *Picture) { p.Machines[0].Tasks[0].Ran, p.Machines[0].Tasks[0].Saves = time.Minute, 0 }, 0},
		{"it never saves and has not run for long", func(p *Picture) { p.Machines[0].Tasks[0].Saves = 0 }, 1},
		{"it has just started", func(p *Picture) { p.Machines[0].Tasks[0].Ran = 20 * time.Second }, 0},
		{"it ends soon", func(p *Picture) { p.Machines[0].Ends[0].Left = 6 * time.Second }, 0},
		{"it ends before it could move", func(p *Picture) { p.Machines[0].Tasks[0].Left = 3 * time.Second }, 0},
		{"a machine comes soon", func(p *Picture) { p.Waiting[0].Arriving = 5 * time.Second }, 0},
		{"a machine comes late", func(p *Picture) { p.Waiting[0].Arriving = time.Minute }, 1},
		{"it was moved twice", func(p *Picture) { p.Machines[0].Tasks[0].Moved = 2 }, 0},
		{"it was moved once", func(p *Picture) { p.Machines[0].Tasks[0].Moved = 1 }, 1},
		{"it has a higher priority", func(p *Picture) { p.Waiting[0].Level = 1 }, 0},
		{"what waits has just begun to", func(p *Picture) { p.Waiting[0].Waited = time.Second }, 0},
		{"its image is far", func(p *Picture) {
			p.Fits = func(*Task, *Machine) (time.Duration, bool) { return 2 * time.Minute, true }
		}, 0},
		{"it may not go there", func(p *Picture) {
			p.Fits = func(*Task, *Machine) (time.Duration, bool) { return 0, false }
		}, 0},
		{"it is as large as what waits", func(p *Picture) { p.Machines[0].Free, p.Machines[0].Tasks[0].Need = cpus(0), cpus(4) }, 0},
		{"memory is short there", func(p *Picture) { p.Machines[0].Tasks[0].Need.MemoryGB = 1 }, 0},
		{"what waits may not run there", func(p *Picture) { p.Waiting[0].Allowed = func(m *Machine) bool { return m.Host == "host-2" } }, 0},
		{"one machine is much larger, and has the room", func(p *Picture) { p.Machines[1].Free = cpus(60) }, 0},
		{"one machine is much larger, and what waits may not run there", func(p *Picture) {
			p.Machines[1].Free = cpus(60)
			p.Waiting[0].Allowed = func(m *Machine) bool { return m.Host == "host-1" }
		}, 1},
		{"a move is under way for it", func(p *Picture) { p.Active = []Active{{For: p.Waiting[0].ID}} }, 0},
		{"a move uses its machine", func(p *Picture) { p.Active = []Active{{From: "host-3", To: "host-1"}} }, 0},
		{"the cluster has its moves", func(p *Picture) { p.Active = make([]Active, 4) }, 0},
	} {
		if moves := Plan(DefaultConfig(), small(c.change)); len(moves) != c.moves {
			t.Errorf("%s: %+v", c.name, moves)
		}
	}
}

// TestLeaveSlow: a task leaves a slow machine when it ends so much sooner elsewhere that it is
// worth the move, and only then.
func TestLeaveSlow(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Picture, *Task)
		moves  int
	}{
		{"worth it", func(*Picture, *Task) {}, 1},
		{"it never saves, and has long to run", func(_ *Picture, x *Task) { x.Saves = 0 }, 1},
		{"it never saves, and is nearly done", func(_ *Picture, x *Task) { x.Saves, x.Ran = 0, 230*time.Second }, 0},
		{"it saves, and is nearly done", func(_ *Picture, x *Task) { x.Ran = 296 * time.Second }, 0},
		{"it should have ended long ago", func(_ *Picture, x *Task) { x.Ran = 20 * time.Minute }, 0},
		{"nothing is known of its end", func(_ *Picture, x *Task) { x.Whole = 0 }, 0},
		{"the machine is hardly slower", func(p *Picture, _ *Task) { p.Slow[0].Slowness = 1.05 }, 0},
		{"it has just started", func(_ *Picture, x *Task) { x.Ran = time.Second }, 0},
		{"it was moved twice", func(_ *Picture, x *Task) { x.Moved = 2 }, 0},
		{"there is no room", func(p *Picture, _ *Task) { p.Machines[0].Free = cpus(1) }, 0},
		{"it may not go there", func(p *Picture, _ *Task) {
			p.Fits = func(*Task, *Machine) (time.Duration, bool) { return 0, false }
		}, 0},
		{"a move uses the machine", func(p *Picture, _ *Task) { p.Active = []Active{{From: "slow"}} }, 0},
		{"a move uses the destination", func(p *Picture, _ *Task) { p.Active = []Active{{To: "host-1"}} }, 0},
		{"the zone has its moves", func(p *Picture, _ *Task) { p.Active = []Active{{Zone: "west"}, {Zone: "west"}} }, 0},
		{"the team has its moves", func(p *Picture, _ *Task) { p.Active = []Active{{Team: "red"}, {Team: "red"}} }, 0},
		{"the cluster has its moves", func(p *Picture, _ *Task) { p.Active = make([]Active, 4) }, 0},
	} {
		p := &Picture{Machines: []*Machine{{Host: "host-1", Zone: "east", Free: cpus(4)}}, Fits: func(*Task, *Machine) (time.Duration, bool) { return time.Second, true }}
		p.Slow = []*Slow{{Slowness: 3, Machine: Machine{Host: "slow", Zone: "west", Tasks: []Task{{ID: ident.TaskID{Job: "j-1"}, Team: "red", Need: cpus(2),
			Ran: time.Minute, Whole: 100 * time.Second, Saves: time.Second, Save: time.Second}}}}}
		c.change(p, &p.Slow[0].Tasks[0])
		moves := Plan(DefaultConfig(), p)
		if len(moves) != c.moves || len(moves) == 1 && (moves[0].Source != LeavesSlow || moves[0].From != "slow" || moves[0].To != "host-1") {
			t.Errorf("%s: %+v", c.name, moves)
		}
	}
}

// many is a picture in which eight tasks wait for room that a move each would make: sources in
// the zone and of the team that they are given, and a destination for each.
func many(zone, team func(i int) string) *Picture {
	p := &Picture{Fits: func(_ *Task, m *Machine) (time.Duration, bool) { return 0, m.Zone == "far" }}
	for i := range 8 {
		p.Machines = append(p.Machines,
			&Machine{Host: ident.MachineID(fmt.Sprintf("source-%d", i)), Zone: zone(i), Free: cpus(3), Tasks: []Task{{ID: ident.TaskID{Job: ident.JobID(fmt.Sprintf("j-%d", i))},
				Team: team(i), Need: cpus(1), Ran: time.Minute, Saves: time.Second}}},
			&Machine{Host: ident.MachineID(fmt.Sprintf("target-%d", i)), Zone: "far", Free: cpus(1)})
		p.Waiting = append(p.Waiting, Waiting{ID: ident.TaskID{Job: ident.JobID(fmt.Sprintf("j-%d", 100+i))}, Need: cpus(4), Waited: time.Minute,
			Allowed: func(*Machine) bool { return true }})
	}
	return p
}

// TestBudgets: each budget by itself bounds the moves, where all others would allow more.
func TestBudgets(t *testing.T) {
	own := func(i int) string { return fmt.Sprint(i) }
	same := func(int) string { return "same" }
	wide := Budgets{Cluster: 100, Zone: 100, Team: 100, Machine: 1, Job: 2}
	for _, c := range []struct {
		name   string
		p      *Picture
		lower  func(*Budgets)
		active []Active
		want   int
	}{
		{"none", many(same, same), func(*Budgets) {}, nil, 8},
		{"cluster", many(own, own), func(b *Budgets) { b.Cluster = 3 }, nil, 3},
		{"cluster, with one under way", many(own, own), func(b *Budgets) { b.Cluster = 3 }, []Active{{}}, 2},
		{"zone", many(same, own), func(b *Budgets) { b.Zone = 2 }, nil, 2},
		{"zone, with one under way", many(same, own), func(b *Budgets) { b.Zone = 2 }, []Active{{Zone: "same"}}, 1},
		{"team", many(own, same), func(b *Budgets) { b.Team = 2 }, nil, 2},
		{"team, with one under way", many(own, same), func(b *Budgets) { b.Team = 2 }, []Active{{Team: "same"}}, 1},
		{"source in use", many(own, own), func(*Budgets) {}, []Active{{From: "source-0"}, {To: "source-1"}}, 6},
		{"destinations in use", many(own, own), func(*Budgets) {}, []Active{{To: "target-0"}, {From: "target-1"}}, 6},
		{"job, with two under way", many(own, own), func(*Budgets) {}, []Active{{Job: "j-0"}, {Job: "j-0"}}, 7},
	} {
		config := DefaultConfig()
		config.Budgets = wide
		c.lower(&config.Budgets)
		c.p.Active = c.active
		if got := Plan(config, c.p); len(got) != c.want {
			t.Errorf("%s: %d moves, want %d", c.name, len(got), c.want)
		}
	}
}

// BenchmarkPlan tells how the time of a plan grows with the fleet.
func BenchmarkPlan(b *testing.B) {
	for _, machines := range []int{500, 1000, 2000, 4500} {
		b.Run(fmt.Sprintf("%d machines", machines), func(b *testing.B) {
			p := &Picture{Fits: func(*Task, *Machine) (time.Duration, bool) { return time.Second, true }}
			for i := range machines {
				m := &Machine{Host: ident.MachineID(fmt.Sprintf("host-%06d", i)), Zone: "east", Free: cpus(float64(i % 4))}
				for k := range 4 {
					m.Tasks = append(m.Tasks, Task{ID: ident.TaskID{Job: ident.JobID(fmt.Sprintf("j-%d", i)), Index: k}, Need: cpus(3), Ran: time.Minute, Left: 5 * time.Minute, Saves: time.Second})
					m.Ends = append(m.Ends, End{Left: 5 * time.Minute, Need: cpus(3)})
				}
				p.Machines = append(p.Machines, m)
			}
			for i := range 100 {
				p.Waiting = append(p.Waiting, Waiting{ID: ident.TaskID{Job: "j-w", Index: i}, Need: cpus(6), Waited: time.Minute, Allowed: func(*Machine) bool { return true }})
			}
			for b.Loop() {
				Plan(DefaultConfig(), copied(p))
			}
		})
	}
}
