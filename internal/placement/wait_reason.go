package placement

import (
	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// WaitReason returns why tasks of a job wait for placement, or "" if none does.
func (p *Planner) WaitReason(j *jobs.Job) api.WaitsFor {
	switch {
	case j.Phase != jobs.Open || j.WaitingCount() == 0:
		return ""
	case !p.quotaAllows(j) || isBatch(j) && !p.reservations.quotas[j.Spec.Team].Admits(j):
		return api.WaitsForTeamLimit
	case p.now() < j.RetryAt || j.PlaceableCount() == 0:
		return api.WaitsForRetry
	}
	return api.WaitsForMachines
}
