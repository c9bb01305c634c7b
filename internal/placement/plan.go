package placement

import (
	"time"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// The bound on the tasks that a plan covers, and with it on its time: so many, or a few
// for each machine where the fleet is larger.
const (
	minPlanned        = 4000
	plannedPerMachine = 2
)

// planLimit returns the number of tasks that a plan may cover.
func planLimit(machines int) int { return max(minPlanned, plannedPerMachine*machines) }

// plan joins the waiting array tasks within their teams' limits to the machines
// that hold their image and could fit them, and runs ASM1.
func (p *Planner) plan() {
	began := time.Now()
	p.Stats.Rounds++
	for _, w := range p.fleet.Workers {
		for _, t := range w.Plan {
			t.Planned = ""
		}
		w.Plan = nil
	}
	if !p.asm1 {
		return
	}
	place := make(map[*workers.Worker]int32, len(p.order))
	for i, w := range p.order {
		place[w] = int32(i)
	}
	var groups []Group
	var tasks [][]*jobs.Task
	room := map[string]int{}
	total, limit := 0, planLimit(len(p.order))
	for _, j := range p.arrays {
		left, ok := room[j.Spec.Team]
		if !ok {
			left = p.teams.Room(j.Spec)
		}
		var of []*jobs.Task
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if left <= 0 || total >= limit {
				break
			}
			if t.State != jobs.Waiting {
				continue
			}
			left--
			total++
			of = append(of, t)
		}
		room[j.Spec.Team] = left
		if len(of) == 0 {
			continue
		}
		g := Group{Tasks: len(of)}
		for _, w := range p.holding(j.Spec.Image) {
			if w.Allows(j.Spec) && !j.Shunned[w.Host] {
				g.Machines = append(g.Machines, place[w])
			}
		}
		groups = append(groups, g)
		tasks = append(tasks, of)
	}
	for g, owners := range ASM1(len(p.order), groups) {
		// Tasks come by priority, then arrival, and so does each plan.
		at := 0
		for _, o := range owners {
			w := p.order[o.Machine]
			for range o.Tasks {
				t := tasks[g][at]
				at++
				w.Plan = append(w.Plan, t)
				t.Planned = w.Host
			}
		}
	}
	p.Stats.Took += time.Since(began)
}
