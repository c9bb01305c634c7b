// Package placement decides which task goes to which machine: the plan of
// Algorithm 1 of the paper, its rounds, what idle machines do beside it, the
// teams' limits and guarantees, and preemption.
package placement

// Group is a number of tasks with the same edges, as those of one job have.
type Group struct {
	Tasks    int
	Machines []int32 // that could take them locally
}

// ASM1 is Algorithm 1 of the paper (§5.2) over groups of equal tasks. Out of n
// machines, the result names for each group those that take tasks of it, and how
// many each; tasks of a group without machines stay out.
//
// Machines are taken in turn. Each flips its shortest alternating path to an
// unassigned task; one that has none is dropped. The outcome has no cost-reducing
// path, so it minimises the largest number of tasks on a machine as well as the
// total excess over the even share (Theorem 10). Tasks of a group are as good as
// each other on any path, so a search need look at each group only once.
func ASM1(n int, groups []Group) [][]Share {
	s := &search{
		near: make([][]int32, n), owners: make([][]Share, len(groups)), left: make([]int, len(groups)),
		dead: make([]bool, len(groups)), seenGroup: make([]int32, len(groups)), via: make([]int32, len(groups)),
		seenMachine: make([]int32, n), from: make([]int32, n), cursor: make([]int32, n),
	}
	for g, gr := range groups {
		s.left[g] = gr.Tasks
		for _, m := range gr.Machines {
			s.near[m] = append(s.near[m], int32(g))
		}
	}
	active := make([]int32, n)
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
	return s.owners
}

// Share is how many tasks of a group a machine takes.
type Share struct {
	Machine int32
	Tasks   int
}

// search holds the breadth-first search's arrays from one path to the next.
type search struct {
	near        [][]int32 // groups that a machine could take tasks of
	cursor      []int32   // by machine, the first of those that may have unassigned tasks
	owners      [][]Share // by group
	left        []int     // unassigned tasks of each group
	dead        []bool    // groups from which no path leads to an unassigned task any more
	round       int32
	seenGroup   []int32 // round in which the group was reached
	via         []int32 // machine from which it was reached
	seenMachine []int32
	from        []int32 // group through which the machine was reached
	queue       []int32
	reached     []int32 // groups of this round
}

// augment flips the shortest alternating path from p to an unassigned task.
func (s *search) augment(p int32) bool {
	s.round++
	s.queue = append(s.queue[:0], p)
	s.reached = s.reached[:0]
	s.seenMachine[p] = s.round
	s.from[p] = -1
	for head := 0; head < len(s.queue); head++ {
		m := s.queue[head]
		if g, ok := s.unassigned(m); ok {
			s.via[g] = m
			s.left[g]--
			s.flip(g)
			return true
		}
		for _, g := range s.near[m] {
			if s.dead[g] || s.seenGroup[g] == s.round {
				continue
			}
			s.seenGroup[g] = s.round
			s.via[g] = m
			s.reached = append(s.reached, g)
			for _, o := range s.owners[g] {
				if o.Tasks > 0 && s.seenMachine[o.Machine] != s.round {
					s.seenMachine[o.Machine] = s.round
					s.from[o.Machine] = g
					s.queue = append(s.queue, o.Machine)
				}
			}
		}
	}
	// All that can be reached is assigned, and paths of others can't change it
	// without reaching it: no later search need come here.
	for _, g := range s.reached {
		s.dead[g] = true
	}
	return false
}

// unassigned returns the first group with unassigned tasks that a machine could take. No
// group ever gets more of them, so each is passed over once: on a large fleet most paths
// are found here, without a search.
func (s *search) unassigned(m int32) (int32, bool) {
	near := s.near[m]
	for s.cursor[m] < int32(len(near)) {
		if g := near[s.cursor[m]]; s.left[g] > 0 {
			return g, true
		}
		s.cursor[m]++
	}
	return 0, false
}

// flip hands a task of each group on the path to the machine that reached it.
func (s *search) flip(g int32) {
	for g >= 0 {
		m := s.via[g]
		s.add(g, m, 1)
		if g = s.from[m]; g >= 0 {
			s.add(g, m, -1)
		}
	}
}

func (s *search) add(g, m int32, n int) {
	for i := range s.owners[g] {
		if o := &s.owners[g][i]; o.Machine == m {
			o.Tasks += n
			return
		}
	}
	s.owners[g] = append(s.owners[g], Share{m, n})
}
