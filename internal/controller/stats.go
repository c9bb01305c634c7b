package controller

import (
	"opaldale/internal/load"
	"opaldale/internal/migration"
)

// Stats is what the metrics show of a node.
type Stats struct {
	Leading, LeadershipValid                                bool
	Term                                                    uint64
	Jobs, TasksHeld, TasksWaiting                           int
	Machines                                                map[string]int
	PlacedPlanned, PlacedLocal, PlacedNew, PlacedStolen     uint64
	PlacedServices, PlacedGangs, Preempted                  uint64
	PlanRounds, PlanExtraRounds                             uint64
	FetchedGB, PlanSeconds                                  float64
	MachinesProvisioned, MachinesTerminated, MachinesFenced uint64
	Txns, Puts, TxnRetries                                  uint64
	TasksLost, CommandFences, StaleHeartbeats               uint64
	Forwarded, Refused, TermsBegun                          uint64
	LeasesKept, Relayed                                     uint64
	FormatLevel                                             uint8
	TxnsRejected                                            uint64
	GangsStarted, GangsLost                                 uint64
	GangsReplaced, GangsStopped                             uint64
	Imbalance                                               float64 // of the machines' use, while load is watched
	TeamLoads                                               []load.TeamDemand
	MovesProposed                                           uint64
	MoveGainSeconds                                         float64
	MovesActive                                             int               // under way
	MoveRoundsSkipped                                       map[string]uint64 // rounds without a plan of moves, by why
	MovesEnded                                              []migration.Outcome
	SlowMachines                                            int // on which nothing more is placed
	Reservations                                            int // machines on which room is kept for a move
	MoveRealisedSeconds                                     float64
}

// Stats reads the node's counters.
func (c *Controller) Stats() Stats {
	stats := Stats{Leading: c.leader != nil, LeadershipValid: c.election.LeaseValid(), Term: uint64(c.election.Term()), Machines: map[string]int{},
		Forwarded: c.Forwarded, Refused: c.Refused, TermsBegun: c.Elections, LeasesKept: c.LeasesKept, Relayed: c.Relayed, FormatLevel: uint8(c.formatLevel)}
	l := c.leader
	if l == nil || !l.loaded() {
		return stats
	}
	stats.Jobs = len(l.jobs.Jobs)
	for _, j := range l.jobs.Jobs {
		stats.TasksHeld += j.AllocatedTasks
		stats.TasksWaiting += j.WaitingCount()
	}
	for _, w := range l.workers.Workers {
		stats.Machines[w.State.String()]++
	}
	placed := l.planner.Stats
	stats.PlacedPlanned, stats.PlacedLocal, stats.PlacedNew, stats.PlacedStolen = placed.Planned, placed.Local, placed.Uncached, placed.Stolen
	stats.PlacedServices, stats.PlacedGangs, stats.Preempted, stats.PlanRounds, stats.PlanExtraRounds = placed.Services, placed.Gangs, placed.Preempted, placed.Rounds, placed.ExtraRounds
	stats.FetchedGB, stats.PlanSeconds = placed.FetchedGB, placed.PlanTime.Seconds()
	stats.MachinesProvisioned, stats.MachinesTerminated, stats.MachinesFenced = l.fleet.Provisioned, l.fleet.Terminated, l.fleet.Fenced
	stats.Txns, stats.Puts, stats.TxnRetries = l.committer.Txns, l.committer.Puts, l.committer.Retries
	stats.TxnsRejected = l.committer.Rejected
	stats.GangsStarted, stats.GangsLost, stats.GangsReplaced, stats.GangsStopped = l.gangs.Started, l.gangs.Lost, l.gangs.Replaced, l.gangs.Stopped
	if l.loadModel != nil {
		l.rebalancer.fillStats(&stats)
		stats.Imbalance, stats.TeamLoads = l.loadModel.Imbalance(), l.loadModel.Teams(c.env.Now())
	}
	stats.TasksLost, stats.CommandFences, stats.StaleHeartbeats = l.workers.LostTasks, l.workers.FencedCommands, l.workers.StaleHeartbeats
	return stats
}
