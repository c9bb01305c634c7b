package simulator

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// userJob is a submitted job, with the status that its user has seen and the progress of its tasks.
type userJob struct {
	spec                api.Spec
	duration            time.Duration
	alwaysFails         bool                                    // its tasks fail on every machine
	failures            int                                     // attempts that failed because of alwaysFails or a faulty machine
	durationStep        time.Duration                           // difference between the run times of consecutive tasks
	idleCapacitySince   ident.MonotonicTime                     // since when it waits despite free capacity; 0: it does not
	limitedByTeam       time.Duration                           // how long its team was at its limit in the quiescent part
	checkpointedSeconds float64                                 // checkpointed progress of a gang, in seconds
	checkpointed        map[int]time.Duration                   // checkpointed progress of an array, by task index
	lostWork            time.Duration                           // run time lost when tasks stopped without a checkpoint
	stops               map[ident.TaskID]map[ident.Attempt]bool // attempts stopped by commands before the job was cancelled
	done                []bool                                  // completed tasks, by index
	accepted            bool
	lastStatus          api.Status // as last reported to the user
	lastStatusAt        ident.MonotonicTime
	cancelSentAt        ident.MonotonicTime
	cancelConfirmedAt   ident.MonotonicTime
	submittedAt         ident.MonotonicTime
	acceptedAt          ident.MonotonicTime
	firstStartAt        ident.MonotonicTime // when its first task started; 0: not yet
	lastStatusReplyAt   ident.MonotonicTime // when a status query last got a reply with status 200
}

// unknownFields are fields that the protocol doesn't know, by the last digit of the ID of the job that is submitted with them.
// Their names differ from known ones only in the case of letters.
var unknownFields = map[byte]string{'0': `"Pieces":1`, '3': `"VCPUS":0.5,"Site":"nowhere"`, '7': `"Standby":{"pieces":0}`}

// submission returns the body of the job's submission.
func (j *userJob) submission() []byte {
	body := api.JSON(j.spec)
	if fields := unknownFields[j.spec.ID[len(j.spec.ID)-1]]; fields != "" {
		body = append(body[:len(body)-1], ","+fields+"}"...)
	}
	return body
}

// durationOf returns the run time of the task with index i.
func (j *userJob) durationOf(i int) time.Duration {
	return j.duration + time.Duration(i)*j.durationStep
}

// recordStop records that a command stopped an attempt, unless the job is being cancelled.
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

// stopCount returns the number of task attempts that were stopped by commands before the job was cancelled.
func (j *userJob) stopCount() int {
	n := 0
	for _, attempts := range j.stops {
		n += len(attempts)
	}
	return n
}
