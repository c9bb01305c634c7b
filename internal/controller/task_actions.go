package controller

import (
	"log/slog"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/authority"
	"opaldale/internal/gang"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// adjustUsage keeps machines, teams and zones in step with a task that counts, or
// doesn't any more.
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

// Place carries out a decision: it is launched once it is durable.
func (l *leaderTerm) Place(t *jobs.Task, w *workers.Worker) {
	slog.Debug("place", "task", t.TaskID().String(), "host", string(w.ID), "held", w.HasImage(t.Job.Spec.Image), "within", t.Job.WithinQuota,
		"age_s", l.env.Now().Sub(t.Job.SubmittedAt).Seconds())
	l.jobs.Place(t, w.ID, w.Incarnation(), func() {
		if l.closed() || !l.controller.allows(authority.Launch) {
			return // the answer to its worker's next report launches it
		}
		if w.State == workers.Terminating || w.State == workers.Terminated {
			return
		}
		l.workers.Launch(w, t)
	})
}

// PlaceGang carries out the decision for all tasks of a gang that wait.
func (l *leaderTerm) PlaceGang(j *jobs.Job, picks []gang.Placement) {
	slog.Debug("place gang", "id", string(j.Spec.ID), "tasks", len(picks), "of", len(j.Tasks), "within", j.WithinQuota,
		"age_s", l.env.Now().Sub(j.SubmittedAt).Seconds())
	l.gangs.Place(j, picks)
}

// GangUsedMachine says whether the gang's present attempt was on a machine before.
func (l *leaderTerm) GangUsedMachine(j *jobs.Job, w *workers.Worker) bool {
	return l.gangs.HasUsed(j, w.ID)
}

// CanStopGang says whether a gang can be stopped in order.
func (l *leaderTerm) CanStopGang(j *jobs.Job) bool { return l.gangs.CanStop(j) }

// StopGang stops a whole gang so that others find room.
func (l *leaderTerm) StopGang(j *jobs.Job) bool { return l.gangs.Stop(j, gang.ReasonPreempted) }

// Preempt stops a task so that another finds room.
func (l *leaderTerm) Preempt(t *jobs.Task, w *workers.Worker, windDown time.Duration) {
	slog.Info("preempting", "task", t.TaskID().String(), "host", string(w.ID))
	l.workers.StopTask(w, t, windDown)
}

func (l *leaderTerm) stopJob(j *jobs.Job) {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State.Allocated() {
			l.workers.StopTask(l.workers.Workers[t.MachineID], t, 0)
		}
	}
}

// drainBeforeReclaim moves the tasks of a machine that will be taken, unless they will
// probably complete before.
func (l *leaderTerm) drainBeforeReclaim(w *workers.Worker) {
	now := l.env.Now()
	untilReclaim := w.ReclaimAt.Sub(now)
	for _, t := range l.workers.SortedTasks(w) {
		spec := t.Job.Spec
		if t.State != jobs.Assigned {
			continue
		}
		remaining := settings.Seconds(spec.RuntimeS)
		if t.RunningSince > 0 {
			remaining -= now.Sub(t.RunningSince)
		}
		saveTime := settings.Seconds(spec.CheckpointS)
		switch {
		case spec.Shape == api.Gang:
			// The whole gang, or none of it: what can't be told in time is lost anyway.
			saveTime += settings.Seconds(l.controller.settings.Cluster.Workers.GangPeerS)
			if remaining > untilReclaim && untilReclaim < saveTime+2*settings.Seconds(l.controller.settings.Cluster.Workers.HeartbeatS) {
				l.gangs.Stop(t.Job, gang.ReasonReclaimNotice)
			}
		case spec.CanCheckpoint():
			// As late as it can still save, with a report's time to spare.
			if untilReclaim < saveTime+2*settings.Seconds(l.controller.settings.Cluster.Workers.HeartbeatS) {
				l.workers.StopTask(w, t, t.CheckpointGracePeriod())
			}
		case spec.Shape == api.Service || remaining > untilReclaim:
			l.workers.StopTask(w, t, 0)
		}
	}
}

// maxBackoff is the longest pause between two tries of a job whose tasks fail: shorter
// than any job may be left waiting.
const maxBackoff = time.Minute

// onTaskFailed decides when and where a task that ended early is tried again.
func (l *leaderTerm) onTaskFailed(t *jobs.Task, machine *workers.Worker, cause api.Cause) {
	now := l.env.Now()
	j := t.Job
	switch cause {
	case api.CauseError:
		slog.Info("task failed", "task", t.TaskID().String(), "host", string(machine.ID))
		t.ConsecutiveErrors++
		l.jobs.NoteFailure(j)
		if j.AvoidedMachines == nil {
			j.AvoidedMachines = map[ident.MachineID]bool{}
		}
		j.AvoidedMachines[machine.ID] = true
		if len(j.AvoidedMachines) >= 3 {
			// Rather the job's fault than that of so many machines.
			clear(j.AvoidedMachines)
			j.Suspect = !j.IsGang()
		}
		if (j.Suspect || len(j.AvoidedMachines) == 0) && now >= j.RetryAt { // once for all that fail together
			j.Backoff = min(max(2*j.Backoff, 4*time.Second), maxBackoff)
			j.RetryAt = now.Add(j.Backoff)
		}
	case api.CauseNoCapacity:
		slog.Info("refused: full", "task", t.TaskID().String(), "host", string(machine.ID))
		machine.Quarantine(now.Add(time.Second))
	case api.CauseBusy, api.CauseUnknown:
		slog.Info("refused", "task", t.TaskID().String(), "host", string(machine.ID), "cause", string(cause))
		t.ConsecutiveErrors++
		t.RetryAt = now.Add(min(time.Duration(t.ConsecutiveErrors)*time.Second, 10*time.Second))
	}
}
