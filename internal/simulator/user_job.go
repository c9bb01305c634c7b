package simulator

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// userJob is a job, with what its user knows of it and what its tasks have done.
type userJob struct {
	spec                api.Spec
	duration            time.Duration
	alwaysFails         bool                                    // its tasks fail on every machine
	failures            int                                     // attempts that failed for that
	durationStep        time.Duration                           // by which each task runs longer than the one before
	idleCapacitySince   ident.MonotonicTime                     // since when it waits though there is capacity, 0: it does not
	checkpointedSeconds float64                                 // checkpointed progress of a gang, in seconds
	checkpointed        map[int]time.Duration                   // checkpointed progress of the tasks of an array
	lostWork            time.Duration                           // run time lost by stops without a checkpoint
	stops               map[ident.TaskID]map[ident.Attempt]bool // attempts stopped by commands before its cancellation
	done                []bool
	accepted            bool
	lastStatus          api.Status
	lastStatusAt        ident.MonotonicTime
	cancelSentAt        ident.MonotonicTime
	cancelConfirmedAt   ident.MonotonicTime
	submittedAt         ident.MonotonicTime
	acceptedAt          ident.MonotonicTime
	firstStartAt        ident.MonotonicTime // when its first task started, 0: not yet
	lastAnsweredAt      ident.MonotonicTime // when a query was last answered
}

// durationOf returns the run time of a task.
func (j *userJob) durationOf(i int) time.Duration {
	return j.duration + time.Duration(i)*j.durationStep
}

// recordStop notes that a command stops an attempt.
func (j *userJob) recordStop(t *task) {
	if j.cancelSentAt > 0 {
		return
	}
	if j.stops == nil {
		j.stops = map[ident.TaskID]map[ident.Attempt]bool{}
	}
	if j.stops[t.id] == nil {
		j.stops[t.id] = map[ident.Attempt]bool{}
	}
	j.stops[t.id][t.attempt] = true
}

// stopCount returns how many attempts of a job's tasks were stopped by commands.
func (j *userJob) stopCount() int {
	n := 0
	for _, attempts := range j.stops {
		n += len(attempts)
	}
	return n
}
