package rebalance

import "opaldale/internal/ident"

// budgetUse counts active and proposed moves, and compares the counts with the budgets.
type budgetUse struct {
	budgets  Budgets
	cluster  int
	machines map[ident.MachineID]int // moves from or to the machine
	zones    map[string]int          // moves from machines of the zone
	teams    map[string]int
	jobs     map[ident.JobID]int
}

// newBudgetUse returns a budgetUse without moves.
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

// clusterFull reports whether the budget of the cluster is exhausted.
func (u *budgetUse) clusterFull() bool { return u.cluster >= u.budgets.Cluster }

// allowsMachine reports whether the machine's budget allows one more move from or to it.
func (u *budgetUse) allowsMachine(m *Machine) bool { return u.machines[m.ID] < u.budgets.Machine }

// allowsSource reports whether the budgets of a machine and of its zone allow one more move from it.
func (u *budgetUse) allowsSource(m *Machine) bool {
	return u.allowsMachine(m) && u.zones[m.Zone] < u.budgets.Zone
}

// allowsTask reports whether the budgets of a task's team and job allow one more move. An active move counts
// twice against the budget of its job, because MoveCount includes it as well.
func (u *budgetUse) allowsTask(t *Task) bool {
	return u.teams[t.Team] < u.budgets.Team && t.MoveCount+u.jobs[t.ID.Job] < u.budgets.Job
}
