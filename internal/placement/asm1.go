// Package placement decides which task goes to which machine: the plan of
// Algorithm 1 of the paper, its rounds, what idle machines do beside it, the
// teams' limits and guarantees, and preemption.
package placement

// ASM1 is Algorithm 1 of the paper (§5.2). machines[p] lists the tasks that
// machine p could take locally; tasks are numbered from 0 to n-1. The result
// holds the machine of each task, -1 for those that no machine lists.
//
// Machines are taken in turn. Each flips its shortest alternating path to an
// unassigned task; one that has none is dropped. The outcome has no cost-reducing
// path, so it minimises the largest number of tasks on a machine as well as the
// total excess over the even share (Theorem 10).
func ASM1(n int, machines [][]int32) []int32 {
	owner := make([]int32, n)
	for i := range owner {
		owner[i] = -1
	}
	s := search{machines: machines, owner: owner,
		seenTask: make([]int32, n), via: make([]int32, n),
		seenMachine: make([]int32, len(machines)), from: make([]int32, len(machines))}
	active := make([]int32, len(machines))
	for p := range active {
		active[p] = int32(p)
	}
	for len(active) > 0 {
		kept := active[:0]
		for _, p := range active {
			if s.augment(p) {
				kept = append(kept, p)
			}
		}
		active = kept
	}
	return owner
}

// search holds the breadth-first search's arrays from one path to the next.
type search struct {
	machines    [][]int32
	owner       []int32
	round       int32
	seenTask    []int32 // round in which the task was reached
	via         []int32 // machine from which it was reached
	seenMachine []int32
	from        []int32 // task through which the machine was reached
	queue       []int32
}

// augment flips the shortest alternating path from p to an unassigned task.
func (s *search) augment(p int32) bool {
	s.round++
	s.queue = append(s.queue[:0], p)
	s.seenMachine[p] = s.round
	s.from[p] = -1
	for head := 0; head < len(s.queue); head++ {
		m := s.queue[head]
		for _, t := range s.machines[m] {
			if s.owner[t] == m || s.seenTask[t] == s.round {
				continue
			}
			s.seenTask[t] = s.round
			s.via[t] = m
			next := s.owner[t]
			if next < 0 {
				s.flip(t)
				return true
			}
			if s.seenMachine[next] != s.round {
				s.seenMachine[next] = s.round
				s.from[next] = t
				s.queue = append(s.queue, next)
			}
		}
	}
	return false
}

// flip hands each task on the path to the machine that reached it.
func (s *search) flip(t int32) {
	for t >= 0 {
		m := s.via[t]
		s.owner[t] = m
		t = s.from[m]
	}
}
