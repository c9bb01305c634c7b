package rebalance

import "opaldale/internal/ident"

// budgetUse is how much of the budgets is used by moves under way and by those proposed.
type budgetUse struct {
	budgets  Budgets
	cluster  int
	machines map[ident.MachineID]int // moves from and to a machine
	zones    map[string]int          // moves from a machine of the zone
	teams    map[string]int
	jobs     map[ident.JobID]int
}

// newBudgetUse makes a budgetUse without moves.
func newBudgetUse(budgets Budgets) budgetUse {
	return budgetUse{
		budgets:  budgets,
		machines: map[ident.MachineID]int{},
		zones:    map[string]int{},
		teams:    map[string]int{},
		jobs:     map[ident.JobID]int{},
	}
}

// count accounts for a move under way, or one that is proposed.
func (u *budgetUse) count(a ActiveMove) {
	u.cluster++
	u.machines[a.From]++
	u.machines[a.To]++
	u.zones[a.Zone]++
	u.teams[a.Team]++
	u.jobs[a.Job]++
}

// clusterFull says whether the cluster has as many moves as it may.
func (u *budgetUse) clusterFull() bool { return u.cluster >= u.budgets.Cluster }

// allowsMachine says whether one more move from or to a machine is within its budget.
func (u *budgetUse) allowsMachine(m *Machine) bool { return u.machines[m.ID] < u.budgets.Machine }

// allowsSource says whether one more move from a machine is within its budget and its zone's.
func (u *budgetUse) allowsSource(m *Machine) bool {
	return u.allowsMachine(m) && u.zones[m.Zone] < u.budgets.Zone
}

// allowsTask says whether a move of a task is within the budgets of its team and its job.
func (u *budgetUse) allowsTask(t *Task) bool {
	return u.teams[t.Team] < u.budgets.Team && t.MoveCount+u.jobs[t.ID.Job] < u.budgets.Job
}
