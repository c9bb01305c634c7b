package rebalance

import (
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"opaldale/internal/ident"
	"opaldale/internal/propertytest"
)

func TestMain(m *testing.M) { os.Exit(propertytest.Main(m)) }

// drawPicture makes a cluster of small machines with running and waiting tasks.
func drawPicture(t *rapid.T) *Picture {
	p := &Picture{Fits: func(x *Task, m *Machine) (time.Duration, bool) { return time.Second, m.Free >= x.CPUs }}
	for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
		m := &Machine{Host: ident.HostID(fmt.Sprintf("host-%02d", i)), Zone: []string{"east", "west"}[i%2], Free: float64(rapid.IntRange(0, 6).Draw(t, "free"))}
		for k := range rapid.IntRange(0, 4).Draw(t, "tasks") {
			m.Tasks = append(m.Tasks, Task{ID: ident.TaskID{Job: ident.JobID(fmt.Sprintf("j-%d", rapid.IntRange(1, 5).Draw(t, "job"))), Index: 10*i + k},
				Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"), CPUs: float64(rapid.IntRange(1, 4).Draw(t, "cpus")),
				Ran: seconds(t, "ran", 60), Left: seconds(t, "left", 120), Saves: seconds(t, "saves", 1), Save: seconds(t, "save", 4),
				Replica: rapid.Bool().Draw(t, "replica"), Moved: rapid.IntRange(0, 2).Draw(t, "moved")})
		}
		p.Machines = append(p.Machines, m)
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "waiting") {
		zone := rapid.SampledFrom([]string{"", "east"}).Draw(t, "zone")
		p.Waiting = append(p.Waiting, Waiting{ID: ident.TaskID{Job: ident.JobID(fmt.Sprintf("j-%d", 100+i))}, Team: "red",
			CPUs: float64(rapid.IntRange(2, 8).Draw(t, "needs")), Allowed: func(m *Machine) bool { return zone == "" || m.Zone == zone }})
	}
	return p
}

func seconds(t *rapid.T, name string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Second
}

// copied returns a picture of its own, since a plan uses it up.
func copied(p *Picture) *Picture {
	out := &Picture{Fits: p.Fits, Waiting: p.Waiting}
	for _, m := range p.Machines {
		k := *m
		k.Tasks = append([]Task(nil), m.Tasks...)
		out.Machines = append(out.Machines, &k)
	}
	return out
}

// TestPlan: whatever the picture, each move pays with its margin, has room to go to and makes
// enough for the task it is for; budgets are kept; and the same picture has the same plan.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, c := drawPicture(t), DefaultConfig()
		machines, tasks := map[ident.HostID]*Machine{}, map[ident.TaskID]Task{}
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
		zones, teams, hosts, jobs := map[string]int{}, map[string]int{}, map[ident.HostID]int{}, map[ident.JobID]int{}
		for _, m := range moves {
			x, from, to := tasks[m.Task], machines[m.From], machines[m.To]
			zones[from.Zone]++
			teams[x.Team]++
			hosts[m.From]++
			hosts[m.To]++
			jobs[m.Task.Job]++
			needs := 0.0
			for _, w := range p.Waiting {
				if w.ID == m.For {
					needs = w.CPUs
				}
			}
			switch {
			case float64(m.Gain) < c.Margin*float64(m.Cost):
				t.Fatalf("%+v doesn't pay", m)
			case to.Free < x.CPUs || from.Free+x.CPUs < needs || from.Free >= needs:
				t.Fatalf("%+v: %v free there, %v here, %v needed", m, to.Free, from.Free, needs)
			case x.Left > 0 && x.Left <= x.Save+c.Start:
				t.Fatalf("%+v ends before its move", m)
			case x.Moved+jobs[m.Task.Job] > c.Budgets.Job || zones[from.Zone] > c.Budgets.Zone || teams[x.Team] > c.Budgets.Team ||
				hosts[m.From] > c.Budgets.Machine || hosts[m.To] > c.Budgets.Machine || len(moves) > c.Budgets.Cluster:
				t.Fatalf("over a budget: %+v", moves)
			}
		}
	})
}

// small is a picture in which one task waits for 4 CPUs and two machines have 3 and 2 free.
func small(change func(*Picture)) *Picture {
	p := &Picture{Fits: func(x *Task, m *Machine) (time.Duration, bool) { return time.Second, m.Free >= x.CPUs }}
	p.Machines = []*Machine{
		{Host: "host-1", Zone: "east", Free: 3, Tasks: []Task{{ID: ident.TaskID{Job: "j-1"}, Team: "red", CPUs: 1, Ran: 5 * time.Second, Left: time.Minute}}},
		{Host: "host-2", Zone: "east", Free: 2},
	}
	p.Waiting = []Waiting{{ID: ident.TaskID{Job: "j-9"}, Team: "blue", CPUs: 4, Allowed: func(*Machine) bool { return true }}}
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
		{"there is room without it", func(p *Picture) { p.Machines[1].Free = 4 }, 0},
		{"all machines are full", func(p *Picture) { p.Machines[0].Free, p.Machines[1].Free = 3, 0 }, 0},
		{"it has run for long and never saves", func(p *Picture) { p.Machines[0].Tasks[0].Ran = 40 * time.Second }, 0},
		{"it has run for long and saves", func(p *Picture) {
			p.Machines[0].Tasks[0].Ran, p.Machines[0].Tasks[0].Saves, p.Machines[0].Tasks[0].Save = 40*time.Second, 10*time.Second, time.Second
		}, 1},
		{"it ends soon", func(p *Picture) { p.Machines[0].Tasks[0].Left = 3 * time.Second }, 0},
		{"it was moved twice", func(p *Picture) { p.Machines[0].Tasks[0].Moved = 2 }, 0},
		{"its image is far", func(p *Picture) {
			p.Fits = func(*Task, *Machine) (time.Duration, bool) { return time.Minute, true }
		}, 0},
		{"it may not go there", func(p *Picture) {
			p.Fits = func(*Task, *Machine) (time.Duration, bool) { return 0, false }
		}, 0},
		{"it is as large as what waits", func(p *Picture) { p.Machines[0].Free, p.Machines[0].Tasks[0].CPUs = 0, 4 }, 0},
		{"what waits may not run there", func(p *Picture) { p.Waiting[0].Allowed = func(m *Machine) bool { return m.Host == "host-2" } }, 0},
	} {
		if moves := Plan(DefaultConfig(), small(c.change)); len(moves) != c.moves {
			t.Errorf("%s: %+v", c.name, moves)
		}
	}
}

// BenchmarkPlan tells how the time of a plan grows with the fleet.
func BenchmarkPlan(b *testing.B) {
	for _, machines := range []int{500, 1000, 2000, 4500} {
		b.Run(fmt.Sprintf("%d machines", machines), func(b *testing.B) {
			p := &Picture{Fits: func(x *Task, m *Machine) (time.Duration, bool) { return time.Second, m.Free >= x.CPUs }}
			for i := range machines {
				m := &Machine{Host: ident.HostID(fmt.Sprintf("host-%06d", i)), Zone: "east", Free: float64(i % 4)}
				for k := range 4 {
					m.Tasks = append(m.Tasks, Task{ID: ident.TaskID{Job: ident.JobID(fmt.Sprintf("j-%d", i)), Index: k}, CPUs: 3, Ran: time.Minute, Left: time.Minute})
				}
				p.Machines = append(p.Machines, m)
			}
			for i := range 100 {
				p.Waiting = append(p.Waiting, Waiting{ID: ident.TaskID{Job: "j-w", Index: i}, CPUs: 6, Allowed: func(*Machine) bool { return true }})
			}
			for b.Loop() {
				Plan(DefaultConfig(), copied(p))
			}
		})
	}
}
