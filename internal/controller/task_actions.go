package controller

// This file places, preempts and drains tasks, and tracks the usage of machines and teams.

import (
	"log/slog"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/gang"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

const (
	// minBackoff and maxBackoff limit the delay between two attempts of a job whose tasks fail. maxBackoff is
	// shorter than the time for which any job may be left waiting.
	minBackoff = 4 * time.Second
	maxBackoff = time.Minute
	// avoidTime is how long after its last failure a waiting job avoids the machines on which it has failed.
	avoidTime = maxBackoff
	// suspectAfterMachines is the number of machines on which tasks of a job must fail before the job itself
	// is suspected.
	suspectAfterMachines = 3
	// fullMachineQuarantine is the quarantine of a machine that has rejected a task for lack of capacity.
	fullMachineQuarantine = time.Second
	// rejectionBackoff is added to the delay of a task with each consecutive rejection, up to maxRejectionBackoff.
	rejectionBackoff    = time.Second
	maxRejectionBackoff = 10 * time.Second
	// drainHeartbeats is the number of heartbeat intervals reserved for the delivery of a stop command before a reclaim.
	drainHeartbeats = 2
)

// adjustUsage adds a task to the usage of its machine, team and zone, or removes it: sign is 1 or -1.
func (l *leaderTerm) adjustUsage(t *jobs.Task, w *workers.Worker, sign int) {
	j := t.Job
	l.teams.AddUsage(j.Spec, float64(sign))
	if w == nil {
		return
	}
	if l.loadModel != nil {
		l.loadModel.AddUsage(w.ID, float64(sign)*j.Spec.VCPUs)
	}
	if j.Spec.OneZone || j.Spec.Spread {
		if j.AllocatedByZone == nil {
			j.AllocatedByZone = map[string]int{}
		}
		j.AllocatedByZone[w.Zone] += sign
	}
	if sign > 0 {
		l.workers.AddTask(w, t)
	} else {
		l.workers.RemoveTask(w, t)
	}
}

// onTaskStateChange updates the usage when a task is allocated to a machine or leaves it.
func (l *leaderTerm) onTaskStateChange(t *jobs.Task, from, to jobs.State) {
	w := l.workers.Workers[t.MachineID]
	l.gangs.MarkChanged(t.Job)
	if !from.Allocated() && to.Allocated() {
		l.adjustUsage(t, w, 1)
	}
	if from.Allocated() && !to.Allocated() {
		l.adjustUsage(t, w, -1)
	}
}

// Place implements placement.Actions: it places a task, and launches it once the placement is durable. If the leader may
// not send the command at that time, the response to a later heartbeat of the worker launches the task.
func (l *leaderTerm) Place(t *jobs.Task, w *workers.Worker) {
	slog.Debug("placing task", "task", t.TaskID().String(), "machine", string(w.ID),
		"image_cached", w.HasImage(t.Job.Spec.Image), "within_quota", t.Job.WithinGuarantee,
		"age_s", l.env.Now().Sub(t.Job.SubmittedAt).Seconds())
	l.jobs.Place(t, w.ID, w.Incarnation(), func() {
		if !l.mayLaunch() {
			return
		}
		if w.State == workers.Terminating || w.State == workers.Terminated {
			return
		}
		l.workers.Launch(w, t)
	})
}

// PlaceGang implements placement.Actions: it places all waiting tasks of a gang.
func (l *leaderTerm) PlaceGang(j *jobs.Job, placements []gang.Placement) {
	slog.Debug("placing gang", "job", string(j.Spec.ID), "tasks", len(placements), "total_tasks", j.Tasks.Len(),
		"within_quota", j.WithinGuarantee, "age_s", l.env.Now().Sub(j.SubmittedAt).Seconds())
	l.gangs.Place(j, placements)
}

// GangUsedMachine implements placement.Actions: it reports whether the gang's current attempt has already used a machine.
func (l *leaderTerm) GangUsedMachine(j *jobs.Job, w *workers.Worker) bool {
	return l.gangs.HasUsed(j, w.ID)
}

// CanStopGang implements placement.Actions: it reports whether a gang can be stopped gracefully.
func (l *leaderTerm) CanStopGang(j *jobs.Job) bool { return l.gangs.CanStop(j) }

// StopGang implements placement.Actions: it stops a whole gang to free capacity.
func (l *leaderTerm) StopGang(j *jobs.Job) bool { return l.gangs.Stop(j, gang.ReasonPreempted) }

// Preempt implements placement.Actions: it stops a task to free capacity.
func (l *leaderTerm) Preempt(t *jobs.Task, w *workers.Worker, gracePeriod time.Duration) {
	slog.Info("preempting task", "task", t.TaskID().String(), "machine", string(w.ID))
	l.workers.StopTask(w, t, gracePeriod)
}

// drainBeforeReclaim stops the tasks of a machine that will be reclaimed, each at the time that drainTask chooses.
func (l *leaderTerm) drainBeforeReclaim(w *workers.Worker) {
	now := l.env.Now()
	untilReclaim := w.ReclaimAt.Sub(now)
	for _, t := range l.workers.SortedTasks(w) {
		if t.State == jobs.Assigned {
			l.drainTask(w, t, untilReclaim, now)
		}
	}
}

// drainTask stops a task of a machine that will be reclaimed, if that is due. A task that saves checkpoints is stopped at
// the latest time that still allows a checkpoint. A gang is stopped as a whole at that time, unless this task should
// complete before the reclaim. Replicas are stopped immediately, and so are other tasks that should not complete before
// the reclaim.
func (l *leaderTerm) drainTask(w *workers.Worker, t *jobs.Task, untilReclaim time.Duration, now ident.MonotonicTime) {
	spec := t.Job.Spec
	times := l.controller.settings.Cluster.Workers
	commandTime := drainHeartbeats * settings.Seconds(times.HeartbeatS)
	remaining := settings.Seconds(spec.RuntimeS)
	if t.RunningSince > 0 {
		remaining -= now.Sub(t.RunningSince)
	}
	completes := remaining <= untilReclaim
	checkpointTime := settings.Seconds(spec.CheckpointS)
	switch {
	case spec.Shape == api.Gang:
		if !completes && untilReclaim < checkpointTime+settings.Seconds(times.GangPeerS)+commandTime {
			l.gangs.Stop(t.Job, gang.ReasonReclaimNotice)
		}
	case spec.CanCheckpoint():
		if untilReclaim < checkpointTime+commandTime {
			l.workers.StopTask(w, t, t.CheckpointGracePeriod())
		}
	case spec.Shape == api.Service || !completes:
		l.workers.StopTask(w, t, 0)
	}
}

// onTaskFailed handles a task that failed or that its machine rejected: it delays the next attempt, quarantines the machine,
// or makes the job avoid it, depending on the cause.
func (l *leaderTerm) onTaskFailed(t *jobs.Task, machine *workers.Worker, cause api.Cause) {
	now := l.env.Now()
	if cause == api.CauseError {
		slog.Info("task failed", "task", t.TaskID().String(), "machine", string(machine.ID), "attempt", uint64(t.Attempt),
			"token", uint64(l.workers.FencingToken(machine)))
		l.recordTaskError(t, machine, now)
		return
	}
	switch cause {
	case api.CauseNoCapacity:
		machine.Quarantine(now.Add(fullMachineQuarantine))
	case api.CauseBusy, api.CauseUnknown:
		t.ConsecutiveErrors++
		t.RetryAt = now.Add(min(time.Duration(t.ConsecutiveErrors)*rejectionBackoff, maxRejectionBackoff))
	default:
		return
	}
	slog.Info("machine rejected task", "task", t.TaskID().String(), "machine", string(machine.ID), "cause", string(cause))
}

// recordTaskError makes a job avoid the machine on which one of its tasks has failed, for up to avoidTime. After failures on
// suspectAfterMachines machines the job itself is the likely cause, and is retried with exponential backoff.
func (l *leaderTerm) recordTaskError(t *jobs.Task, machine *workers.Worker, now ident.MonotonicTime) {
	j := t.Job
	t.ConsecutiveErrors++
	l.jobs.RecordUnexplainedFailure(j)
	if j.AvoidedMachines == nil {
		j.AvoidedMachines = map[ident.MachineID]bool{}
	}
	j.AvoidedMachines[machine.ID] = true
	j.LastErrorAt = now
	if len(j.AvoidedMachines) >= suspectAfterMachines {
		clear(j.AvoidedMachines)
		j.Suspect = !j.IsGang()
	}
	backOff := j.Suspect || len(j.AvoidedMachines) == 0
	if backOff && now >= j.RetryAt { // tasks that fail together count once
		j.Backoff = min(max(2*j.Backoff, minBackoff), maxBackoff)
		j.RetryAt = now.Add(j.Backoff)
	}
}
