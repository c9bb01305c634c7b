package controller

import (
	"opaldale/internal/load"
	"opaldale/internal/migration"
)

// Snapshot is what the metrics show of a node.
type Snapshot struct {
	Leading, Valid              bool
	Term                        uint64
	Jobs, Held, Waiting         int
	Machines                    map[string]int
	Planned, Local, New, Stolen uint64
	Services, Gangs, Preempted  uint64
	Rounds, ExtraRounds         uint64
	FetchedGB, PlanSeconds      float64
	Rented, Returned, Fenced    uint64
	Txns, Puts, Repeats         uint64
	Relocated, Fences, Stale    uint64
	Forwarded, Refused, Elected uint64
	LeasesKept, Relayed         uint64
	Level                       uint8
	Rejected                    uint64
	GangsStarted, GangsLost     uint64
	GangsReplaced, GangsStopped uint64
	Imbalance                   float64 // of the machines' use, while load is watched
	TeamLoads                   []load.TeamDemand
	MovesProposed               uint64
	MoveGainSeconds             float64
	MovesActive                 int               // under way
	MovesHeldBack               map[string]uint64 // rounds without a plan of moves, by why
	MovesEnded                  []migration.Outcome
	SlowMachines                int // on which nothing more is placed
	Reservations                int // machines on which room is kept for a move
	MoveRealisedSeconds         float64
}

// Snapshot reads the node's counters.
func (c *Controller) Snapshot() Snapshot {
	s := Snapshot{Leading: c.lead != nil, Valid: c.elect.LeaseValid(), Term: uint64(c.elect.Term()), Machines: map[string]int{},
		Forwarded: c.Forwarded, Refused: c.Refused, Elected: c.Elections, LeasesKept: c.LeasesKept, Relayed: c.Relayed, Level: uint8(c.level)}
	l := c.lead
	if l == nil || !l.ready {
		return s
	}
	s.Jobs = len(l.jobs.Jobs)
	for _, j := range l.jobs.Jobs {
		s.Held += j.AllocatedTasks
		s.Waiting += j.WaitingCount()
	}
	for _, w := range l.workers.Workers {
		s.Machines[w.State.String()]++
	}
	p := l.planner.Stats
	s.Planned, s.Local, s.New, s.Stolen = p.Planned, p.Local, p.Uncached, p.Stolen
	s.Services, s.Gangs, s.Preempted, s.Rounds, s.ExtraRounds = p.Services, p.Gangs, p.Preempted, p.Rounds, p.ExtraRounds
	s.FetchedGB, s.PlanSeconds = p.FetchedGB, p.PlanTime.Seconds()
	s.Rented, s.Returned, s.Fenced = l.fleet.Provisioned, l.fleet.Terminated, l.fleet.Fenced
	s.Txns, s.Puts, s.Repeats = l.commits.Txns, l.commits.Puts, l.commits.Retries
	s.Rejected = l.commits.Rejected
	s.GangsStarted, s.GangsLost, s.GangsReplaced, s.GangsStopped = l.gangs.Started, l.gangs.Lost, l.gangs.Replaced, l.gangs.Stopped
	if l.loads != nil {
		l.mover.counts(&s)
		s.Imbalance, s.TeamLoads = l.loads.Imbalance(), l.loads.Teams(c.env.Now())
	}
	s.Relocated, s.Fences, s.Stale = l.workers.LostTasks, l.workers.FencedCommands, l.workers.StaleHeartbeats
	return s
}
