package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// yard is a fleet of ordinary machines with 16 CPUs in two zones, and no work.
func yard(east, west int) *large {
	l := newLarge(0)
	move := l.jobs.OnStateChange
	l.jobs.OnStateChange = func(t *jobs.Task, from, to jobs.State) {
		move(t, from, to)
		if !from.Allocated() && to.Allocated() {
			l.planner.teams.Count(t.Job.Spec, 1)
		} else if from.Allocated() && !to.Allocated() {
			l.planner.teams.Count(t.Job.Spec, -1)
		}
	}
	for i := range east + west {
		site := "east"
		if i >= east {
			site = "west"
		}
		w := l.fleet.Add(ident.MachineID(fmt.Sprintf("host-%06d", i)), "m16", site, false, l.now)
		l.serial++
		l.fleet.HandleHeartbeat(&api.Heartbeat{MachineID: w.ID, Addr: "a", Model: "m16", Zone: site, Incarnation: 1, SequenceNumber: l.serial})
	}
	return l
}

func (l *large) gang(pieces int, vcpus float64, oneZone bool) *jobs.Job {
	l.next++
	id := ident.JobID(fmt.Sprintf("j-%d", l.next))
	l.jobs.Add(&api.Spec{ID: id, Team: "red", Shape: api.Gang, Priority: api.High, Tasks: pieces, VCPUs: vcpus, MemoryGB: 2, Image: "img-gang",
		ImageGB: 1, OneZone: oneZone, RuntimeS: 30}, func() {}, nil)
	l.commits.Flush()
	return l.jobs.Jobs[id]
}

func zonesOf(l *large, j *jobs.Job) map[string]int {
	out := map[string]int{}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State.Allocated() {
			out[l.fleet.Workers[t.MachineID].Zone]++
		}
	}
	return out
}

// TestGangsWholeOrNot: a gang is placed when a zone has room for all of it, not for
// a part, and never holds room while it waits for more.
func TestGangsWholeOrNot(t *testing.T) {
	l := yard(2, 1) // two tasks of 8 CPUs on each machine
	j := l.gang(5, 8, true)
	l.fill()
	if j.AllocatedTasks > 0 {
		t.Fatalf("%d of 5 tasks hold room for 4", j.AllocatedTasks)
	}
	anywhere := l.gang(6, 8, false)
	if l.fill(); anywhere.AllocatedTasks != 6 {
		t.Fatalf("%d of 6 tasks are placed where there is room for 6", anywhere.AllocatedTasks)
	}
	l = yard(2, 3)
	j = l.gang(5, 8, true)
	if l.fill(); j.AllocatedTasks != 5 || zonesOf(l, j)["west"] != 5 {
		t.Errorf("%d tasks are placed: %v", j.AllocatedTasks, zonesOf(l, j))
	}
}

// TestGangsGoToHolders: where the image is comes before where there is most room.
func TestGangsGoToHolders(t *testing.T) {
	l := yard(6, 0)
	first := l.gang(2, 2, true)
	l.fill()
	w := l.fleet.Workers[first.Tasks[0].MachineID]
	l.report(w)
	second := l.gang(4, 2, true)
	l.fill()
	for i := range second.Tasks {
		if second.Tasks[i].MachineID != w.ID {
			t.Errorf("task %d is on %s, which has no image", i, second.Tasks[i].MachineID)
		}
	}
}

// TestGangsTakeRoom: arrays of a lower priority make room for all of a gang at once,
// after the time that they are given to end by themselves.
func TestGangsTakeRoom(t *testing.T) {
	l := yard(3, 0)
	l.submit(api.Batch, 12, 4)
	l.fill()
	for _, w := range l.fleet.Sorted() {
		l.report(w)
	}
	j := l.gang(6, 4, true)
	l.now = l.now.Add(2 * claimAfter)
	l.fill()
	if j.AllocatedTasks != 6 {
		t.Errorf("%d of 6 tasks are placed", j.AllocatedTasks)
	}
}

// TestGangsDontStarve: a gang that finds no place for long gets machines kept for it,
// though smaller tasks would fill each gap.
func TestGangsDontStarve(t *testing.T) {
	l := yard(2, 0)
	l.planner.MaxWait = 40 * time.Second
	for range 8 {
		l.submit(api.Batch, 1, 4)
	}
	l.fill()
	j := l.gang(2, 16, true)
	j.Spec.Priority = api.Standard // nothing gives way to it
	for step := 0; step < 60 && j.AllocatedTasks == 0; step++ {
		l.now = l.now.Add(time.Second)
		// Each second a task ends and another comes.
		for _, w := range l.fleet.Sorted() {
			if list := l.fleet.SortedTasks(w); len(list) > 0 {
				l.jobs.Complete(list[0], nil)
				break
			}
		}
		l.submit(api.Batch, 1, 4)
		l.fill()
	}
	if j.AllocatedTasks != 2 {
		t.Errorf("%d of 2 tasks are placed after a minute", j.AllocatedTasks)
	}
}

// TestGangsAtRandom: whatever the fleet and the work, a gang is held whole or not at
// all, in one zone if it must be, within its team's limit.
func TestGangsAtRandom(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 5))
		l := yard(1+rng.IntN(6), 1+rng.IntN(6))
		l.planner.teams.byName["red"].CPUsMax = float64(20 + rng.IntN(200))
		var gangs []*jobs.Job
		for step := range 40 {
			l.now = l.now.Add(time.Second)
			switch rng.IntN(4) {
			case 0:
				gangs = append(gangs, l.gang(1+rng.IntN(8), float64(1+rng.IntN(8)), rng.IntN(2) == 0))
			case 1:
				l.submit(api.Batch, 1+rng.IntN(10), float64(1+rng.IntN(4)))
			case 2:
				for _, j := range gangs {
					if j.AllocatedTasks == len(j.Tasks) && rng.IntN(3) == 0 {
						l.jobs.Complete(&j.Tasks[0], nil)
					}
				}
			}
			l.fill()
			used := 0.0
			for _, w := range l.fleet.Sorted() {
				used += w.VCPUs
			}
			if most := l.planner.teams.byName["red"].CPUsMax; used > most+slack {
				t.Fatalf("seed %d step %d: the team uses %v of %v", seed, step, used, most)
			}
			for _, j := range gangs {
				if j.Phase == jobs.Open && j.AllocatedTasks != 0 && j.AllocatedTasks != len(j.Tasks) {
					t.Fatalf("seed %d step %d: %d of %d tasks of %s hold room", seed, step, j.AllocatedTasks, len(j.Tasks), j.Spec.ID)
				}
				if z := zonesOf(l, j); j.Spec.OneZone && len(z) > 1 {
					t.Fatalf("seed %d step %d: %s is in %v", seed, step, j.Spec.ID, z)
				}
			}
		}
	}
}
