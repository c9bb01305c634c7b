package placement

import (
	"math/rand/v2"
	"testing"
)

// graph makes a random graph of tasks and machines, as lists by machine.
func graph(r *rand.Rand, tasks, machines int, p float64) [][]int32 {
	out := make([][]int32, machines)
	for t := range tasks {
		for m := range machines {
			if r.Float64() < p {
				out[m] = append(out[m], int32(t))
			}
		}
	}
	return out
}

// loads counts the tasks of each machine, and checks that each has an edge.
func loads(t *testing.T, g [][]int32, owner []int32) []int {
	t.Helper()
	out := make([]int, len(g))
	for task, m := range owner {
		holders := 0
		ok := m < 0
		for k, list := range g {
			for _, x := range list {
				if int(x) == task {
					holders++
					ok = ok || int32(k) == m
				}
			}
		}
		if !ok {
			t.Fatalf("task %d is on machine %d, which does not hold it", task, m)
		}
		if m < 0 && holders > 0 {
			t.Fatalf("task %d has holders and no machine", task)
		}
		if m >= 0 {
			out[m]++
		}
	}
	return out
}

// figures returns the largest load and the total excess over the even share.
func figures(loads []int, tasks int) (largest, excess int) {
	share := (tasks + len(loads) - 1) / len(loads)
	for _, n := range loads {
		largest = max(largest, n)
		excess += max(0, n-share)
	}
	return
}

// best tries every assignment.
func best(g [][]int32, tasks, placed int) (largest, excess int) {
	holders := make([][]int, tasks)
	for m, list := range g {
		for _, t := range list {
			holders[t] = append(holders[t], m)
		}
	}
	largest, excess = 1<<30, 1<<30
	load := make([]int, len(g))
	var try func(int)
	try = func(t int) {
		if t == tasks {
			l, e := figures(load, placed)
			largest, excess = min(largest, l), min(excess, e)
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

// TestASM1AgainstBruteForce compares both of the paper's objectives (Theorem 10)
// with the best of all assignments on small random graphs.
func TestASM1AgainstBruteForce(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 600 {
		tasks, machines := 1+r.IntN(8), 1+r.IntN(4)
		g := graph(r, tasks, machines, 0.2+0.6*r.Float64())
		owner := ASM1(tasks, g)
		placed := 0
		for _, m := range owner {
			if m >= 0 {
				placed++
			}
		}
		l, e := figures(loads(t, g, owner), placed)
		bl, be := best(g, tasks, placed)
		if l != bl || e != be {
			t.Fatalf("%d tasks, %v: largest %d, excess %d; best %d, %d", tasks, g, l, e, bl, be)
		}
	}
}

// TestNoCostReducingPath checks Definition 9 on larger graphs: from no machine
// does an alternating path lead to one with at least two tasks more.
func TestNoCostReducingPath(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range 60 {
		tasks, machines := 50+r.IntN(150), 2+r.IntN(20)
		g := graph(r, tasks, machines, 3/float64(machines))
		owner := ASM1(tasks, g)
		load := loads(t, g, owner)
		for start := range g {
			seen := map[int]bool{start: true}
			queue := []int{start}
			for len(queue) > 0 {
				m := queue[0]
				queue = queue[1:]
				if load[start]+1 < load[m] {
					t.Fatalf("cost-reducing path from machine %d (%d tasks) to %d (%d)", start, load[start], m, load[m])
				}
				for _, task := range g[m] {
					if o := int(owner[task]); o != m && !seen[o] {
						seen[o] = true
						queue = append(queue, o)
					}
				}
			}
		}
	}
}
