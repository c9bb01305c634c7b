package placement

import (
	"errors"
	"slices"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
	"opaldale/internal/settings"
)

// Teams tracks the resource usage of each team against its quota. A quota consists of a guarantee and
// a limit. Jobs within the guarantee can preempt work of other teams that is beyond their guarantees. A
// team's usage never exceeds its limit.
type Teams struct {
	byName map[string]*team
}

type team struct {
	settings.Team
	usedVCPUs, usedGPUs float64 // resources of the allocated tasks
	borrower            bool    // the team has neither guarantee nor limit
}

const (
	// tolerance allows for rounding in sums of CPUs, GPUs and costs.
	tolerance = 1e-6
	// unlimited is the limit, in CPUs and GPUs, of teams without a limit: more than any cluster has, but
	// small enough to be converted to a number of tasks.
	unlimited = 1e9
)

// NewTeams returns the teams from the settings, with no usage.
func NewTeams(list []settings.Team) *Teams {
	ts := &Teams{byName: make(map[string]*team, len(list))}
	for _, t := range list {
		borrower := t.CPUs == 0 && t.GPUs == 0 && t.CPUsMax == 0 && t.GPUsMax == 0
		if t.CPUsMax == 0 && t.GPUsMax == 0 {
			// In the settings, 0 means no limit.
			t.CPUsMax, t.GPUsMax = unlimited, unlimited
		}
		ts.byName[t.Name] = &team{Team: t, borrower: borrower}
	}
	return ts
}

// The errors of Teams.Validate. Their texts are part of the API: they are sent to the client that
// submitted the job.
var (
	// ErrUnknownTeam is returned for a job of a team that is not in the settings.
	ErrUnknownTeam = errors.New("desk: unknown team")
	// ErrOverQuota is returned for a job that needs more than its team's limit.
	ErrOverQuota = errors.New("desk: over the team's limit")
)

// Validate returns ErrUnknownTeam or ErrOverQuota if a job can never run within its team's limit.
func (ts *Teams) Validate(s *api.Spec) error {
	t := ts.byName[s.Team]
	if t == nil {
		return ErrUnknownTeam
	}
	n := 1.0
	if s.Shape != api.Batch {
		n = float64(s.Tasks)
	}
	if n*s.VCPUs > t.CPUsMax+tolerance || n*s.GPUs > t.GPUsMax+tolerance {
		return ErrOverQuota
	}
	return nil
}

// AddUsage adds the resources of count tasks with spec s to the usage of their team. A negative count
// subtracts them.
func (ts *Teams) AddUsage(s *api.Spec, count float64) {
	if t := ts.byName[s.Team]; t != nil {
		t.usedVCPUs += count * s.VCPUs
		t.usedGPUs += count * s.GPUs
	}
}

// Allows reports whether n more tasks with spec s fit into the limit of their team.
func (ts *Teams) Allows(s *api.Spec, n float64) bool {
	t := ts.byName[s.Team]
	return t != nil && ts.allowsBeside(jobs.Resources{VCPUs: t.usedVCPUs, GPUs: t.usedGPUs}, s, n)
}

// IsBorrower reports whether a team has neither guarantee nor limit.
func (ts *Teams) IsBorrower(name string) bool {
	t := ts.byName[name]
	return t != nil && t.borrower
}

// BorrowersActive reports whether any team with neither guarantee nor limit has allocated tasks.
func (ts *Teams) BorrowersActive() bool {
	for _, t := range ts.byName {
		if t.borrower && t.usedVCPUs > tolerance {
			return true
		}
	}
	return false
}

// RemainingTasks returns how many more tasks with spec s fit into the limit of their team, at most
// api.MaxTasks.
func (ts *Teams) RemainingTasks(s *api.Spec) int {
	t := ts.byName[s.Team]
	if t == nil {
		return 0
	}
	n := api.MaxTasks
	if s.VCPUs > 0 {
		n = int(min(float64(n), (t.CPUsMax-t.usedVCPUs+tolerance)/s.VCPUs))
	}
	if s.GPUs > 0 {
		n = int(min(float64(n), (t.GPUsMax-t.usedGPUs+tolerance)/s.GPUs))
	}
	return max(n, 0)
}

// quotaAllows reports whether the limit of a job's team has room for the next placement of the job: a task, or all waiting tasks
// of a gang.
func (p *Planner) quotaAllows(j *jobs.Job) bool { return p.teams.Allows(j.Spec, placementSize(j)) }

// placementSize returns the number of tasks of a job that are placed together.
func placementSize(j *jobs.Job) float64 {
	if j.IsGang() {
		return float64(j.WaitingCount())
	}
	return 1
}

// reserveQuota reserves the quota of a starved job's team for the job: the team's other batch jobs are then not placed, so that
// the quota becomes free as their tasks end. It reserves nothing if the team's services alone leave no room for the job.
func (p *Planner) reserveQuota(j *jobs.Job) {
	if p.teams.allowsBeside(p.serviceUsage(j.Spec.Team), j.Spec, placementSize(j)) {
		p.reservations.reserveQuota(j, p.now())
	}
}

// serviceUsage returns the resources of the allocated tasks of a team's services.
func (p *Planner) serviceUsage(team string) jobs.Resources {
	var used jobs.Resources
	list := p.jobs.Teams[team]
	if list == nil {
		return used
	}
	for _, j := range list.OpenJobs {
		if j.Spec.Shape == api.Service {
			used = used.Add(jobs.ResourcesOf(j.Spec).Times(j.AllocatedTasks))
		}
	}
	return used
}

// allowsBeside reports whether n tasks with spec s fit into the limit of their team beside some of its usage.
func (ts *Teams) allowsBeside(used jobs.Resources, s *api.Spec, n float64) bool {
	t := ts.byName[s.Team]
	return t != nil && used.VCPUs+n*s.VCPUs <= t.CPUsMax+tolerance && used.GPUs+n*s.GPUs <= t.GPUsMax+tolerance
}

// LargestGuarantee returns the largest guarantee of any team, in CPUs.
func (ts *Teams) LargestGuarantee() float64 {
	largest := 0.0
	for _, t := range ts.byName {
		largest = max(largest, t.CPUs)
	}
	return largest
}

// UpdateGuarantees updates jobs.Job.WithinGuarantee for the teams whose jobs have changed. A job is within
// the guarantee of its team if it fits into it together with the earlier open jobs of the team.
func (ts *Teams) UpdateGuarantees(all *jobs.Table) {
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
			j.WithinGuarantee = t != nil && cpus <= t.CPUs+tolerance && gpus <= t.GPUs+tolerance
		}
	}
}

// OthersOverGuarantee reports whether any team other than except has allocated tasks of batch jobs that
// are beyond its guarantee.
func (ts *Teams) OthersOverGuarantee(all *jobs.Table, except string) bool {
	for name, list := range all.Teams {
		if name == except {
			continue
		}
		for _, j := range slices.Backward(list.OpenJobs) {
			if j.WithinGuarantee {
				break // all earlier jobs of the team are within the guarantee as well
			}
			if j.AllocatedTasks > 0 && j.Spec.Shape == api.Batch {
				return true
			}
		}
	}
	return false
}
