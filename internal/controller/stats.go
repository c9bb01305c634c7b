package controller

// This file collects the counters and gauges that are exported as metrics.

import (
	"maps"
	"slices"

	"opaldale/internal/ident"
	"opaldale/internal/load"
	"opaldale/internal/migration"
)

// Stats are the counters and gauges of a node that are exported as metrics. Those that describe the cluster are zero unless
// the node is the leader and has loaded the stored state.
type Stats struct {
	Leading         bool // also true after the lease has expired, until the node steps down
	LeadershipValid bool
	Term            uint64
	TermsBegun      uint64
	FormatLevel     uint8

	// Requests that users and workers have sent to this node.
	Forwarded, Refused                  uint64
	LeasesRenewedWithoutLeader, Relayed uint64

	Jobs, TasksAllocated, TasksWaiting int
	Machines                           map[string]int // by state

	// Placement.
	PlacedPlanned, PlacedLocal, PlacedUncached, PlacedStolen uint64
	PlacedServices, PlacedGangs, Preempted                   uint64
	PlanRounds, PlanExtraRounds                              uint64
	FetchedGB, PlanSeconds                                   float64
	GangsStarted, GangsLost                                  uint64
	GangsReplaced, GangsStopped                              uint64
	ReservedMachines                                         []ReservedMachine // for starved jobs and gangs, by machine

	// Machines and their workers.
	MachinesProvisioned, MachinesTerminated, MachinesFenced uint64
	TasksLost, CommandFences, ClearFences, StaleHeartbeats  uint64
	CommandsRejected, UnknownAttempts                       uint64

	// Writes to the store.
	Txns, Puts, TxnRetries, TxnsRejected uint64

	// Load and moves of running tasks; zero if load tracking is disabled.
	Imbalance           float64 // of CPU usage between machines
	TeamLoads           []load.TeamDemand
	MovesProposed       uint64
	MoveGainSeconds     float64
	MovesActive         int
	MoveRoundsSkipped   map[string]uint64 // planning rounds without proposed moves, by reason
	MovesEnded          []migration.Outcome
	SlowMachines        int // slow machines, which get no further tasks
	Reservations        int // machines with capacity reserved for a move
	MoveRealizedSeconds float64
}

// ReservedMachine is a machine that only one job, and more urgent ones, may use for a time.
type ReservedMachine struct {
	Machine          ident.MachineID
	Job              ident.JobID
	AgeS, RemainingS float64 // time since the start of the reservation and until its end
}

// Stats returns the node's counters.
func (c *Controller) Stats() Stats {
	stats := Stats{
		Leading:                    c.leader != nil,
		LeadershipValid:            c.election.LeaseValid(),
		Term:                       uint64(c.election.Term()),
		TermsBegun:                 c.Elections,
		FormatLevel:                uint8(c.formatLevel),
		Forwarded:                  c.Forwarded,
		Refused:                    c.Refused,
		LeasesRenewedWithoutLeader: c.LeasesRenewedWithoutLeader,
		Relayed:                    c.Relayed,
		Machines:                   map[string]int{},
	}
	if l := c.leader; l != nil && l.loaded() {
		l.fillTableStats(&stats)
		l.fillPlacementStats(&stats)
		l.fillLoadStats(&stats)
	}
	return stats
}

func (l *leaderTerm) fillTableStats(stats *Stats) {
	stats.Jobs = len(l.jobs.Jobs)
	for _, j := range l.jobs.Jobs {
		stats.TasksAllocated += j.AllocatedTasks
		stats.TasksWaiting += j.WaitingCount()
	}
	for _, w := range l.workers.Workers {
		stats.Machines[w.State.String()]++
	}
	stats.MachinesProvisioned = l.fleet.Provisioned
	stats.MachinesTerminated = l.fleet.Terminated
	stats.MachinesFenced = l.fleet.Fenced
	stats.TasksLost = l.workers.LostTasks
	stats.CommandFences = l.workers.FencedCommands
	stats.ClearFences = l.workers.ClearFences
	stats.CommandsRejected = l.workers.RejectedCalls
	stats.UnknownAttempts = l.workers.UnknownAttempts
	stats.StaleHeartbeats = l.workers.StaleHeartbeats
	stats.Txns = l.committer.Txns
	stats.Puts = l.committer.Puts
	stats.TxnRetries = l.committer.Retries
	stats.TxnsRejected = l.committer.Rejected
}

func (l *leaderTerm) fillPlacementStats(stats *Stats) {
	placed := l.planner.Stats
	stats.PlacedPlanned = placed.Planned
	stats.PlacedLocal = placed.Local
	stats.PlacedUncached = placed.Uncached
	stats.PlacedStolen = placed.Stolen
	stats.PlacedServices = placed.Services
	stats.PlacedGangs = placed.Gangs
	stats.Preempted = placed.Preempted
	stats.PlanRounds = placed.Rounds
	stats.PlanExtraRounds = placed.ExtraRounds
	stats.FetchedGB = placed.FetchedGB
	stats.PlanSeconds = placed.PlanTime.Seconds()
	stats.GangsStarted = l.gangs.Started
	stats.GangsLost = l.gangs.Lost
	stats.GangsReplaced = l.gangs.Replaced
	stats.GangsStopped = l.gangs.Stopped
	stats.ReservedMachines = l.reservedMachines()
}

// reservedMachines returns the machines that are reserved for starved jobs and gangs, by name.
func (l *leaderTerm) reservedMachines() (list []ReservedMachine) {
	now := l.env.Now()
	reservations := l.planner.MachineReservations()
	for _, id := range slices.Sorted(maps.Keys(reservations)) {
		reservation := reservations[id]
		list = append(list, ReservedMachine{
			Machine:    id,
			Job:        reservation.Job.Spec.ID,
			AgeS:       now.Sub(reservation.Since).Seconds(),
			RemainingS: max(0, reservation.Until.Sub(now).Seconds()),
		})
	}
	return list
}

func (l *leaderTerm) fillLoadStats(stats *Stats) {
	if l.loadModel == nil {
		return
	}
	stats.Imbalance = l.loadModel.Imbalance()
	stats.TeamLoads = l.loadModel.Teams(l.env.Now())
	moves := l.rebalancer.Stats()
	stats.MovesProposed = moves.Proposed
	stats.MoveGainSeconds = moves.ProposedGain.Seconds()
	stats.MovesActive = moves.Active
	stats.MoveRoundsSkipped = moves.SkippedRounds
	stats.MovesEnded = moves.Ended
	stats.SlowMachines = moves.SlowMachines
	stats.Reservations = moves.Reservations
	stats.MoveRealizedSeconds = moves.RealizedGain.Seconds()
}
