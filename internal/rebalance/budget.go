package rebalance

import "opaldale/internal/ident"

// budgetUse counts the active and the proposed moves against the budgets.
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

// count adds an active or a proposed move.
func (u *budgetUse) count(a ActiveMove) {
	u.cluster++
	u.machines[a.From]++
	u.machines[a.To]++
	u.zones[a.Zone]++
	u.teams[a.Team]++
	u.jobs[a.Job]++
}

// clusterFull reports whether the budget of the cluster is used up.
func (u *budgetUse) clusterFull() bool { return u.cluster >= u.budgets.Cluster }

// allowsMachine reports whether one more move from or to a machine is within its budget.
func (u *budgetUse) allowsMachine(m *Machine) bool { return u.machines[m.ID] < u.budgets.Machine }

// allowsSource reports whether one more move from a machine is within its budget and its zone's.
func (u *budgetUse) allowsSource(m *Machine) bool {
	return u.allowsMachine(m) && u.zones[m.Zone] < u.budgets.Zone
}

// allowsTask reports whether a move of a task is within the budgets of its team and its job.
func (u *budgetUse) allowsTask(t *Task) bool {
	return u.teams[t.Team] < u.budgets.Team && t.MoveCount+u.jobs[t.ID.Job] < u.budgets.Job
}
