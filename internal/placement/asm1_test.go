package placement

import (
	"math/rand/v2"
	"testing"
)

// machineLoads returns the number of tasks on each machine. It fails the test if a task is on a machine
// that it has no edge to, or is unassigned although it has edges.
func machineLoads(t *testing.T, tasksByMachine [][]int32, owner []int32) []int {
	t.Helper()
	loads := make([]int, len(tasksByMachine))
	for task, m := range owner {
		holders := 0
		ok := m < 0
		for k, list := range tasksByMachine {
			for _, x := range list {
				if int(x) == task {
					holders++
					ok = ok || int32(k) == m
				}
			}
		}
		if !ok {
			t.Fatalf("task %d is assigned to machine %d, to which it has no edge", task, m)
		}
		if m < 0 && holders > 0 {
			t.Fatalf("task %d is not assigned although it has edges to machines", task)
		}
		if m >= 0 {
			loads[m]++
		}
	}
	return loads
}

// loadStats returns the largest number of tasks on a machine and the total excess over the even share.
func loadStats(loads []int, tasks int) (largest, excess int) {
	share := (tasks + len(loads) - 1) / len(loads)
	for _, n := range loads {
		largest = max(largest, n)
		excess += max(0, n-share)
	}
	return
}

// bruteForceBest tries all assignments. It returns the smallest possible values of the largest load and of
// the total excess over the even share.
func bruteForceBest(tasksByMachine [][]int32, tasks, placed int) (largest, excess int) {
	holders := make([][]int, tasks)
	for m, list := range tasksByMachine {
		for _, t := range list {
			holders[t] = append(holders[t], m)
		}
	}
	largest, excess = 1<<30, 1<<30
	load := make([]int, len(tasksByMachine))
	var try func(int)
	try = func(t int) {
		if t == tasks {
			currentLargest, currentExcess := loadStats(load, placed)
			largest, excess = min(largest, currentLargest), min(excess, currentExcess)
			return
		}
		if len(holders[t]) == 0 {
			try(t + 1)
		}
		for _, m := range holders[t] {
			load[m]++
			try(t + 1)
			load[m]--
		}
	}
	try(0)
	return
}

// referenceASM1 implements the algorithm as described in the paper, on single tasks instead of groups. It
// returns the machine of each of n tasks, or -1.
func referenceASM1(n int, machines [][]int32) []int32 {
	owner := make([]int32, n)
	for i := range owner {
		owner[i] = -1
	}
	var active []int32
	for p := range machines {
		active = append(active, int32(p))
	}
	for len(active) > 0 {
		var kept []int32
		for _, p := range active {
			if referenceAugment(machines, owner, p) {
				kept = append(kept, p)
			}
		}
		active = kept
	}
	return owner
}

// referenceAugment flips the shortest alternating path from the machine start to an unassigned task. It
// returns false if there is no such path.
func referenceAugment(machines [][]int32, owner []int32, start int32) bool {
	taskReachedFrom, machineReachedFrom, queue := map[int32]int32{}, map[int32]int32{start: -1}, []int32{start}
	for head := 0; head < len(queue); head++ {
		m := queue[head]
		for _, t := range machines[m] {
			if _, ok := taskReachedFrom[t]; ok || owner[t] == m {
				continue
			}
			taskReachedFrom[t] = m
			assignedTo := owner[t]
			if assignedTo < 0 {
				for t >= 0 {
					m := taskReachedFrom[t]
					owner[t] = m
					t = machineReachedFrom[m]
				}
				return true
			}
			if _, ok := machineReachedFrom[assignedTo]; !ok {
				machineReachedFrom[assignedTo] = t
				queue = append(queue, assignedTo)
			}
		}
	}
	return false
}

// randomGroups returns random groups, and the same graph as lists of single tasks by machine. Each
// possible edge of a group exists with the probability density.
func randomGroups(
	r *rand.Rand, groups, machines, maxTasks int, density float64,
) (gs []Group, tasksByMachine [][]int32, tasks int) {
	tasksByMachine = make([][]int32, machines)
	for range groups {
		g := Group{Tasks: 1 + r.IntN(maxTasks)}
		for m := range machines {
			if r.Float64() < density {
				g.Machines = append(g.Machines, int32(m))
				for t := range g.Tasks {
					tasksByMachine[m] = append(tasksByMachine[m], int32(tasks+t))
				}
			}
		}
		tasks += g.Tasks
		gs = append(gs, g)
	}
	return
}

// expandGroups converts the shares of groups to the machine of each single task, or -1 if unassigned.
func expandGroups(t *testing.T, gs []Group, assigned [][]Share, tasks int) []int32 {
	t.Helper()
	out := make([]int32, 0, tasks)
	for g, shares := range assigned {
		n := 0
		for _, s := range shares {
			for range s.Tasks {
				out = append(out, s.Machine)
				n++
			}
		}
		if n > gs[g].Tasks {
			t.Fatalf("group %d has %d tasks, but %d are assigned", g, gs[g].Tasks, n)
		}
		for ; n < gs[g].Tasks; n++ {
			out = append(out, -1)
		}
	}
	return out
}

// TestASM1AgainstBruteForce checks that ASM1 minimises both objectives of Theorem 10 of the paper. It
// compares the result with all assignments on small random graphs, and with the reference
// implementation on larger graphs.
func TestASM1AgainstBruteForce(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 900 {
		small := i%3 > 0
		groups, machines, maxTasks := 1+r.IntN(4), 1+r.IntN(4), 3
		if !small {
			groups, machines, maxTasks = 1+r.IntN(30), 1+r.IntN(25), 12
		}
		gs, tasksByMachine, tasks := randomGroups(r, groups, machines, maxTasks, 0.1+0.6*r.Float64())
		if small && tasks > 8 {
			continue
		}
		owner := expandGroups(t, gs, ASM1(machines, gs), tasks)
		placed := 0
		for _, m := range owner {
			if m >= 0 {
				placed++
			}
		}
		largest, excess := loadStats(machineLoads(t, tasksByMachine, owner), placed)
		bestLargest, bestExcess := loadStats(machineLoads(t, tasksByMachine, referenceASM1(tasks, tasksByMachine)), placed)
		if small {
			bestLargest, bestExcess = bruteForceBest(tasksByMachine, tasks, placed)
		}
		if largest != bestLargest || excess != bestExcess {
			t.Fatalf("%d tasks, %v: got largest %d, excess %d; want %d, %d", tasks, gs, largest, excess, bestLargest, bestExcess)
		}
	}
}

// TestNoCostReducingPath checks on larger graphs that the result has no cost-reducing path (Definition 9):
// an alternating path from one machine to another that has at least two tasks more.
func TestNoCostReducingPath(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range 60 {
		machines := 2 + r.IntN(20)
		gs, tasksByMachine, tasks := randomGroups(r, 10+r.IntN(40), machines, 6, 3/float64(machines))
		owner := expandGroups(t, gs, ASM1(machines, gs), tasks)
		load := machineLoads(t, tasksByMachine, owner)
		for start := range tasksByMachine {
			seen := map[int]bool{start: true}
			queue := []int{start}
			for len(queue) > 0 {
				m := queue[0]
				queue = queue[1:]
				if load[start]+1 < load[m] {
					t.Fatalf("cost-reducing path from machine %d (%d tasks) to %d (%d)", start, load[start], m, load[m])
				}
				for _, task := range tasksByMachine[m] {
					if o := int(owner[task]); o != m && !seen[o] {
						seen[o] = true
						queue = append(queue, o)
					}
				}
			}
		}
	}
}
