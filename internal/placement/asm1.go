// Package placement decides which machine each task runs on.
//
// Batch tasks are placed by a plan that assigns them to machines with their image in the cache. The
// planner recomputes the plan in rounds: Algorithm 1 of the paper (ASM1; docs/design.md cites it)
// computes a semi-matching of tasks and machines. Between rounds, each machine with free capacity
// runs the tasks that the plan assigns to it, then other tasks whose image it has cached, and then
// steals tasks from the plans of other machines. Services are placed first-fit. All tasks of a gang
// are placed together. The package also tracks the quotas and guarantees of the teams, and selects
// the tasks to preempt for work of higher precedence.
//
// The holders of an image are the machines that have it cached. A task is local to the holders of
// its image. A borrower is a team with neither a guarantee nor a limit: it uses idle capacity only.
package placement

// Group is a set of tasks with the same edges in the bipartite graph of tasks and machines, such as
// the tasks of one job.
type Group struct {
	Tasks    int     // number of tasks
	Machines []int32 // indexes of the machines that each task has an edge to: the holders of its image
}

// Share is the number of tasks of a group that are assigned to one machine.
type Share struct {
	Machine int32
	Tasks   int
}

// ASM1 runs Algorithm 1 of the paper (§5.2) on groups of identical tasks and n machines. It computes
// a semi-matching: each task is assigned to at most one machine, and a machine can be assigned any
// number of tasks. The result lists the shares of each group, indexed as in groups. The tasks of a
// group without edges stay unassigned.
//
// The algorithm visits the machines round-robin. Each machine flips its shortest alternating path to
// an unassigned task; a machine without such a path is not visited again. The resulting
// semi-matching has no cost-reducing path (Definition 9), so it minimises both the largest number of
// tasks on a machine and the total excess over the even share (Theorem 10). The tasks of a group are
// interchangeable on any path, so a search visits each group only once.
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

// noGroup marks the first machine of an alternating path, which was not reached through a group.
const noGroup = -1

// pathSearch holds the semi-matching computed so far, and the arrays of the breadth-first search for
// alternating paths, which all searches reuse. The arrays are indexed by group or by machine.
type pathSearch struct {
	// Indexed by group.
	assigned  [][]Share
	remaining []int  // unassigned tasks
	exhausted []bool // no path from the group leads to an unassigned task

	// Indexed by machine.
	candidateGroups [][]int32 // groups that have an edge to the machine
	cursor          []int32   // index of the first candidate group that may have unassigned tasks

	// State of the current search. round counts the searches: a node whose round is lower has not been
	// reached in the current search.
	round              int32
	groupRound         []int32 // by group: the round of the last search that reached the group
	reachedFromMachine []int32 // by group: the machine from which that search reached it
	machineRound       []int32 // by machine: the round of the last search that reached the machine
	reachedFromGroup   []int32 // by machine: the group through which that search reached it
	queue              []int32 // machines reached in this round
	reachedGroups      []int32 // groups reached in this round
}

// newPathSearch returns a search that starts with an empty semi-matching.
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

// augment finds and flips the shortest alternating path from the machine start to an unassigned
// task. It returns false if there is no such path.
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
	// All tasks of the reached groups are assigned, and every path that enters one of these groups stays
	// within them. Later searches can therefore skip them.
	for _, g := range s.reachedGroups {
		s.exhausted[g] = true
	}
	return false
}

// expand enqueues the machines that can be reached from machine m: those with assigned tasks of a
// group that has an edge to m.
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

// unassigned returns the first candidate group of machine m that has unassigned tasks. The number of
// unassigned tasks of a group never grows, so the cursor of the machine only moves forward. In a
// large cluster, most paths consist of this one edge and need no search.
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

// flip flips the alternating path that ends at group g: one task of each group on the path is
// assigned to the machine from which the group was reached.
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

// add adds n, which may be negative, to the number of tasks of group g that machine m is assigned.
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
