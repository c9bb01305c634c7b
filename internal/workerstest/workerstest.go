// Package workerstest provides helpers to set up a workers.Table in the tests of other packages.
// Only tests may import it.
package workerstest

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// Config returns the configuration of a table of machines of one type. Leases last 30 seconds, and
// LeaderGrace is 0. Persist marks a machine as persisted at once. The event callbacks do nothing.
func Config(term ident.Term, machineType cloud.MachineType) workers.Config {
	return workers.Config{
		Term:              term,
		LeaseDuration:     30 * time.Second,
		Catalog:           func(string) *cloud.MachineType { return &machineType },
		OnLaterTerm:       func() {},
		OnTokensExhausted: func() {},
		OnCapacityChanged: func() {},
		OnTaskFailed:      func(*jobs.Task, *workers.Worker, api.Cause) {},
		Persist:           func(w *workers.Worker) { w.Persisted = true },
		LastPeerRenewal:   func() ident.MonotonicTime { return 0 },
		OnCommandResult:   func(*workers.Worker, bool) {},
	}
}

// TrackAllocation returns a callback for jobs.Table.OnStateChange. The callback adds a task to its machine in
// the table when the task is allocated, and removes it when the task is no longer allocated.
func TrackAllocation(table *workers.Table) func(task *jobs.Task, from, to jobs.State) {
	return func(task *jobs.Task, from, to jobs.State) {
		w := table.Workers[task.MachineID]
		switch {
		case to.Allocated() && !from.Allocated():
			table.AddTask(w, task)
		case from.Allocated() && !to.Allocated():
			table.RemoveTask(w, task)
		}
	}
}
