package placement

import (
	"slices"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
	"opaldale/internal/settings"
)

// Teams keeps what each team uses against its limit and its guarantee.
type Teams struct {
	byName map[string]*team
}

type team struct {
	settings.Team
	vcpus, cards float64 // of tasks that count on a machine
	guest        bool    // without guarantee and limit
}

const slack = 1e-6

// unlimited is more than any fleet has, and small enough to be counted in tasks.
const unlimited = 1e9

// NewTeams makes the teams of the settings, none using anything.
func NewTeams(list []settings.Team) *Teams {
	ts := &Teams{byName: make(map[string]*team, len(list))}
	for _, t := range list {
		guest := t.CPUs == 0 && t.GPUs == 0 && t.CPUsMax == 0 && t.GPUsMax == 0
		if t.CPUsMax == 0 && t.GPUsMax == 0 {
			// "0 means none": a team that may use nothing at all would be no team, so it is
			// one without a limit. (Every job of a guest team was refused with 422.)
			t.CPUsMax, t.GPUsMax = unlimited, unlimited
		}
		ts.byName[t.Name] = &team{Team: t, guest: guest}
	}
	return ts
}

// Refusal says why a job can never run within its team's limit, "" if it can.
func (ts *Teams) Refusal(s *api.Spec) string {
	t := ts.byName[s.Team]
	if t == nil {
		return "desk: unknown team"
	}
	n := 1.0
	if s.Shape != api.Batch {
		n = float64(s.Tasks)
	}
	if n*s.VCPUs > t.CPUsMax+slack || n*s.GPUs > t.GPUsMax+slack {
		return "desk: over the team's limit"
	}
	return ""
}

// Count adds or removes a task's use.
func (ts *Teams) Count(s *api.Spec, sign float64) {
	if t := ts.byName[s.Team]; t != nil {
		t.vcpus += sign * s.VCPUs
		t.cards += sign * s.GPUs
	}
}

// Allows says whether a team may use n tasks' worth more.
func (ts *Teams) Allows(s *api.Spec, n float64) bool {
	t := ts.byName[s.Team]
	return t != nil && t.vcpus+n*s.VCPUs <= t.CPUsMax+slack && t.cards+n*s.GPUs <= t.GPUsMax+slack
}

// Guest says whether a team has neither guarantee nor limit.
func (ts *Teams) Guest(name string) bool {
	t := ts.byName[name]
	return t != nil && t.guest
}

// Guests says whether any such team uses anything.
func (ts *Teams) Guests() bool {
	for _, t := range ts.byName {
		if t.guest && t.vcpus > slack {
			return true
		}
	}
	return false
}

// Room returns how many more tasks like s a team's limit admits.
func (ts *Teams) Room(s *api.Spec) int {
	t := ts.byName[s.Team]
	if t == nil {
		return 0
	}
	n := api.MaxTasks
	if s.VCPUs > 0 {
		n = int(min(float64(n), (t.CPUsMax-t.vcpus+slack)/s.VCPUs))
	}
	if s.GPUs > 0 {
		n = int(min(float64(n), (t.GPUsMax-t.cards+slack)/s.GPUs))
	}
	return max(n, 0)
}

// Largest returns the largest guarantee in CPUs.
func (ts *Teams) Largest() float64 {
	most := 0.0
	for _, t := range ts.byName {
		most = max(most, t.CPUs)
	}
	return most
}

// Guarantee notes which jobs fit into their team's guarantee along with the
// team's earlier unfinished jobs, for teams that have changed.
func (ts *Teams) Guarantee(all *jobs.Table) {
	for name, list := range all.Teams {
		if !list.ChangedSincePlan {
			continue
		}
		list.ChangedSincePlan = false
		cpus, gpus := 0.0, 0.0
		t := ts.byName[name]
		for _, j := range list.OpenJobs {
			n := float64(j.Spec.Tasks)
			cpus += n * j.Spec.VCPUs
			gpus += n * j.Spec.GPUs
			j.WithinQuota = t != nil && cpus <= t.CPUs+slack && gpus <= t.GPUs+slack
		}
	}
}

// Borrow says whether teams other than the named one run arrays beyond their
// guarantee.
func (ts *Teams) Borrow(all *jobs.Table, but string) bool {
	for name, list := range all.Teams {
		if name == but {
			continue
		}
		for _, j := range slices.Backward(list.OpenJobs) {
			if j.WithinQuota {
				break // and so are all before it
			}
			if j.AllocatedTasks > 0 && j.Spec.Shape == api.Batch {
				return true
			}
		}
	}
	return false
}
