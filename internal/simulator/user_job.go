package simulator

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// userJob is a job with its user, who remembers what it was told.
type userJob struct {
	spec                api.Spec
	duration            time.Duration
	alwaysFails         bool                                    // its tasks fail on every machine
	failures            int                                     // that failed for it
	durationStep        time.Duration                           // by which each task runs longer than the one before
	idleCapacitySince   ident.MonotonicTime                     // since when it waits beside room for it, 0: it doesn't
	checkpointedSeconds float64                                 // progress of a gang that is safe, in seconds
	checkpointed        map[int]time.Duration                   // progress of an array's tasks that is safe
	lostWork            time.Duration                           // of its tasks' run time, by stops without saving
	stops               map[ident.TaskID]map[ident.Attempt]bool // attempts that a command has stopped before the job was called off
	done                []bool
	submitted           bool
	accepted            bool
	lastStatus          api.Status
	lastStatusAt        ident.MonotonicTime
	cancelSentAt        ident.MonotonicTime
	cancelConfirmedAt   ident.MonotonicTime
	submittedAt         ident.MonotonicTime
	acceptedAt          ident.MonotonicTime
	firstStartAt        ident.MonotonicTime // when its first task started, 0: not yet
	lastAnsweredAt      ident.MonotonicTime // when a question about it was last answered
}

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
