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
	s := &pathSearch{
		candidateGroups: make([][]int32, n), assigned: make([][]Share, len(groups)), remaining: make([]int, len(groups)),
		exhausted: make([]bool, len(groups)), groupRound: make([]int32, len(groups)), reachedFromMachine: make([]int32, len(groups)),
		machineRound: make([]int32, n), reachedFromGroup: make([]int32, n), cursor: make([]int32, n),
	}
	for g, group := range groups {
		s.remaining[g] = group.Tasks
		for _, m := range group.Machines {
			s.candidateGroups[m] = append(s.candidateGroups[m], int32(g))
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
	return s.assigned
}

// Share is how many tasks of a group a machine takes.
type Share struct {
	Machine int32
	Tasks   int
}

// pathSearch holds the breadth-first search's arrays from one path to the next.
type pathSearch struct {
	candidateGroups    [][]int32 // groups that a machine could take tasks of
	cursor             []int32   // by machine, the first of those that may have unassigned tasks
	assigned           [][]Share // by group
	remaining          []int     // unassigned tasks of each group
	exhausted          []bool    // groups from which no path leads to an unassigned task any more
	round              int32
	groupRound         []int32 // round in which the group was reached
	reachedFromMachine []int32 // machine from which it was reached
	machineRound       []int32
	reachedFromGroup   []int32 // group through which the machine was reached
	queue              []int32
	reachedGroups      []int32 // groups of this round
}

// augment flips the shortest alternating path from p to an unassigned task.
func (s *pathSearch) augment(p int32) bool {
	s.round++
	s.queue = append(s.queue[:0], p)
	s.reachedGroups = s.reachedGroups[:0]
	s.machineRound[p] = s.round
	s.reachedFromGroup[p] = -1
	for head := 0; head < len(s.queue); head++ {
		m := s.queue[head]
		if g, ok := s.unassigned(m); ok {
			s.reachedFromMachine[g] = m
			s.remaining[g]--
			s.flip(g)
			return true
		}
		for _, g := range s.candidateGroups[m] {
			if s.exhausted[g] || s.groupRound[g] == s.round {
				continue
			}
			s.groupRound[g] = s.round
			s.reachedFromMachine[g] = m
			s.reachedGroups = append(s.reachedGroups, g)
			for _, o := range s.assigned[g] {
				if o.Tasks > 0 && s.machineRound[o.Machine] != s.round {
					s.machineRound[o.Machine] = s.round
					s.reachedFromGroup[o.Machine] = g
					s.queue = append(s.queue, o.Machine)
				}
			}
		}
	}
	// All that can be reached is assigned, and paths of others can't change it
	// without reaching it: no later search need come here.
	for _, g := range s.reachedGroups {
		s.exhausted[g] = true
	}
	return false
}

// unassigned returns the first group with unassigned tasks that a machine could take. No
// group ever gets more of them, so each is passed over once: on a large fleet most paths
// are found here, without a search.
func (s *pathSearch) unassigned(m int32) (int32, bool) {
	near := s.candidateGroups[m]
	for s.cursor[m] < int32(len(near)) {
		if g := near[s.cursor[m]]; s.remaining[g] > 0 {
			return g, true
		}
		s.cursor[m]++
	}
	return 0, false
}

// flip hands a task of each group on the path to the machine that reached it.
func (s *pathSearch) flip(g int32) {
	for g >= 0 {
		m := s.reachedFromMachine[g]
		s.add(g, m, 1)
		if g = s.reachedFromGroup[m]; g >= 0 {
			s.add(g, m, -1)
		}
	}
}

func (s *pathSearch) add(g, m int32, n int) {
	for i := range s.assigned[g] {
		if o := &s.assigned[g][i]; o.Machine == m {
			o.Tasks += n
			return
		}
	}
	s.assigned[g] = append(s.assigned[g], Share{m, n})
}
