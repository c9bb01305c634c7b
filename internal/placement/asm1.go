// Package placement decides which task goes to which machine.
//
// Batch tasks are assigned to the machines that hold their image by a plan, which Algorithm 1 of
// the paper (ASM1; docs/design.md cites it) computes in rounds as a semi-matching of tasks and
// machines. Between the rounds, machines with room take their planned tasks, then local ones, and
// steal from the plans of others. Services are placed first-fit, and gangs as a whole. The package
// also keeps the teams' quotas and guarantees, and chooses the tasks that are preempted for work of
// higher precedence.
package placement

// Group is a set of tasks with the same edges in the bipartite graph of tasks and machines, such as
// the tasks of one job.
type Group struct {
	Tasks    int
	Machines []int32 // indexes of the machines that hold the image of the tasks: the other ends of the edges
}

// Share is how many tasks of a group a machine takes.
type Share struct {
	Machine int32
	Tasks   int
}

// ASM1 is Algorithm 1 of the paper (§5.2) over groups of equal tasks. It computes a semi-matching:
// each task is assigned to one machine at most, and a machine takes any number of tasks. The result
// has, for each group, the shares of those of the n machines that take tasks of it; tasks of a
// group without edges stay unassigned.
//
// Machines are taken in turn. Each flips its shortest alternating path to an unassigned task; one
// that has none is dropped. The semi-matching has no cost-reducing path (Definition 9), so it
// minimises the largest number of tasks on a machine as well as the total excess over the even
// share (Theorem 10). The tasks of a group are interchangeable on any path, so a search visits each
// group only once.
func ASM1(n int, groups []Group) [][]Share {
	s := newPathSearch(n, groups)
	active := make([]int32, n)
	for m := range active {
		active[m] = int32(m)
	}
	for len(active) > 0 {
		kept := active[:0]
		for _, m := range active {
			if s.augment(m) {
				kept = append(kept, m)
			}
		}
		active = kept
	}
	return s.assigned
}

// noGroup ends an alternating path: the machine at which it starts was reached through no group.
const noGroup = -1

// pathSearch holds the semi-matching so far and the arrays of the breadth-first search, which are
// reused from one path to the next. Arrays by group and by machine are indexed by their numbers.
type pathSearch struct {
	// By group.
	assigned  [][]Share
	remaining []int  // unassigned tasks
	exhausted []bool // no path leads from the group to an unassigned task any more

	// By machine.
	candidateGroups [][]int32 // groups that have an edge to the machine
	cursor          []int32   // index of the first of those that may have unassigned tasks

	// The search. round is its number; nodes reached in an earlier round count as not reached.
	round              int32
	groupRound         []int32 // by group: the round in which it was reached
	reachedFromMachine []int32 // by group: the machine from which it was reached
	machineRound       []int32 // by machine: the round in which it was reached
	reachedFromGroup   []int32 // by machine: the group through which it was reached
	queue              []int32 // machines reached in this round
	reachedGroups      []int32 // groups reached in this round
}

// newPathSearch makes an empty semi-matching.
func newPathSearch(machines int, groups []Group) *pathSearch {
	s := &pathSearch{
		assigned:           make([][]Share, len(groups)),
		remaining:          make([]int, len(groups)),
		exhausted:          make([]bool, len(groups)),
		candidateGroups:    make([][]int32, machines),
		cursor:             make([]int32, machines),
		groupRound:         make([]int32, len(groups)),
		reachedFromMachine: make([]int32, len(groups)),
		machineRound:       make([]int32, machines),
		reachedFromGroup:   make([]int32, machines),
	}
	for g, group := range groups {
		s.remaining[g] = group.Tasks
		for _, m := range group.Machines {
			s.candidateGroups[m] = append(s.candidateGroups[m], int32(g))
		}
	}
	return s
}

// augment flips the shortest alternating path from a machine to an unassigned task. It returns
// false if there is none.
func (s *pathSearch) augment(start int32) bool {
	s.round++
	s.queue = append(s.queue[:0], start)
	s.reachedGroups = s.reachedGroups[:0]
	s.machineRound[start] = s.round
	s.reachedFromGroup[start] = noGroup
	for head := 0; head < len(s.queue); head++ {
		m := s.queue[head]
		if g, ok := s.unassigned(m); ok {
			s.reachedFromMachine[g] = m
			s.remaining[g]--
			s.flip(g)
			return true
		}
		s.expand(m)
	}
	// Every reachable task is assigned, and a path of another machine can change that only by
	// reaching one of these groups. So no later search needs to visit them.
	for _, g := range s.reachedGroups {
		s.exhausted[g] = true
	}
	return false
}

// expand adds to the queue the machines that hold tasks which a machine could take.
func (s *pathSearch) expand(m int32) {
	for _, g := range s.candidateGroups[m] {
		if s.exhausted[g] || s.groupRound[g] == s.round {
			continue
		}
		s.groupRound[g] = s.round
		s.reachedFromMachine[g] = m
		s.reachedGroups = append(s.reachedGroups, g)
		for _, share := range s.assigned[g] {
			if share.Tasks > 0 && s.machineRound[share.Machine] != s.round {
				s.machineRound[share.Machine] = s.round
				s.reachedFromGroup[share.Machine] = g
				s.queue = append(s.queue, share.Machine)
			}
		}
	}
}

// unassigned returns the first group with unassigned tasks that a machine could take. No group ever
// gets more of them, so each is passed over once: in a large cluster most paths are found here,
// without a search.
func (s *pathSearch) unassigned(m int32) (int32, bool) {
	groups := s.candidateGroups[m]
	for s.cursor[m] < int32(len(groups)) {
		if g := groups[s.cursor[m]]; s.remaining[g] > 0 {
			return g, true
		}
		s.cursor[m]++
	}
	return 0, false
}

// flip flips the alternating path that ends at a group: a task of each group on it goes to the
// machine from which the group was reached.
func (s *pathSearch) flip(g int32) {
	for g != noGroup {
		m := s.reachedFromMachine[g]
		s.add(g, m, 1)
		g = s.reachedFromGroup[m]
		if g != noGroup {
			s.add(g, m, -1)
		}
	}
}

// add changes the number of a group's tasks on a machine.
func (s *pathSearch) add(g, m int32, n int) {
	for i := range s.assigned[g] {
		share := &s.assigned[g][i]
		if share.Machine == m {
			share.Tasks += n
			return
		}
	}
	s.assigned[g] = append(s.assigned[g], Share{Machine: m, Tasks: n})
}
