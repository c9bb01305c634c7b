package simulator

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// task is one attempt of a task on a worker.
type task struct {
	id               ident.TaskID
	attempt          ident.Attempt
	status           api.TaskStatus
	cause            api.Cause
	checkpointStored bool
	reusesAttempt    bool // joins the first attempt of its gang, for the mutation ReuseGangAttempt
	generation       int  // incremented by status changes that cancel scheduled steps
	startedAt        ident.MonotonicTime
}

// onMachine reports whether a task has started on the machine and has not exited.
func (t *task) onMachine() bool {
	return t.status == api.Running || t.status == api.Flushing || t.status == api.Gathering
}

// execute executes the commands of a node.
func (w *worker) execute(commands []api.Command) {
	for _, c := range commands {
		t := w.tasks[c.TaskID][c.Attempt]
		switch c.Verb {
		case api.Launch:
			if j := w.sim.jobs[c.TaskID.Job]; w.sim.mutates(ReuseGangAttempt) && j != nil && j.spec.Shape == api.Gang {
				w.executeReusingAttempt(c)
				continue
			}
			if t == nil {
				w.launch(c.TaskID, c.Attempt)
			}
		case api.Kill:
			if t != nil && t.status != api.Ended {
				w.kill(t, c.GracePeriodS)
			}
		case api.Clear:
			if t != nil && t.status == api.Ended {
				delete(w.tasks[c.TaskID], c.Attempt)
				if len(w.tasks[c.TaskID]) == 0 {
					delete(w.tasks, c.TaskID)
				}
			}
		}
		w.expediteHeartbeat()
	}
}

// launch starts an attempt of a task. It ends at once if the worker cannot run it; otherwise it runs once its image is pulled.
func (w *worker) launch(id ident.TaskID, attempt ident.Attempt) {
	t := &task{id: id, attempt: attempt, status: api.Pulling}
	cause, rejected := w.rejects(id)
	if w.tasks[id] == nil {
		w.tasks[id] = map[ident.Attempt]*task{}
	}
	w.tasks[id][attempt] = t
	if rejected {
		w.endTask(t, cause)
		return
	}
	j := w.sim.jobs[id.Job]
	pull := time.Millisecond
	if !w.images[j.spec.Image] {
		pull = time.Duration(500+w.sim.rng.IntN(3000)) * time.Millisecond
	}
	w.scheduleStep(t, pull, func() {
		w.images[j.spec.Image] = true
		w.run(t, j)
	})
}

// rejects reports whether the worker cannot run another attempt of a task, and the cause.
func (w *worker) rejects(id ident.TaskID) (cause api.Cause, rejected bool) {
	j := w.sim.jobs[id.Job]
	if j == nil || id.Index >= j.spec.Tasks {
		return api.CauseUnknown, true
	}
	for _, t := range w.tasks[id] {
		if t.status != api.Ended {
			return api.CauseBusy, true
		}
	}
	if !w.fits(&j.spec) {
		return api.CauseNoCapacity, true
	}
	return cause, false
}

// run runs a task whose image is pulled, until it fails or has run for its duration.
func (w *worker) run(t *task, j *userJob) {
	if j.spec.Shape == api.Gang && !w.faulty {
		attempt := t.attempt
		if t.reusesAttempt {
			attempt = 1
		}
		w.sim.gang(j, attempt).join(w, t)
		return
	}
	t.status, t.startedAt = api.Running, w.sim.now
	w.expediteHeartbeat()
	w.sim.checkTaskStart(w, t)
	if j.done[t.id.Index] {
		w.scheduleStep(t, time.Millisecond, func() { w.endTask(t, api.CauseDone) })
		return
	}
	if w.faulty || j.alwaysFails {
		j.failures++
		w.scheduleStep(t, time.Second, func() { w.endTask(t, api.CauseError) })
		return
	}
	if j.spec.Shape != api.Batch {
		return
	}
	left := float64(j.durationOf(t.id.Index) - j.checkpointed[t.id.Index])
	w.scheduleStep(t, max(time.Millisecond, time.Duration(left*w.slowdown)), func() {
		j.done[t.id.Index] = true
		w.endTask(t, api.CauseDone)
		w.sim.onTaskCompleted(j)
	})
}

// kill handles a command to stop a task. A second command without a grace period also ends a task that is checkpointing.
func (w *worker) kill(t *task, gracePeriod *float64) {
	j := w.sim.jobs[t.id.Job]
	d := 0.0
	if gracePeriod != nil {
		d = *gracePeriod
	}
	if j == nil || j.spec.Shape != api.Gang {
		w.stop(t, j, d)
		return
	}
	if t.status == api.Flushing && d > 0 {
		return // already checkpointing
	}
	if w.sim.mutates(StopPartOfGang) && d > 0 && t.id.Index > 0 {
		return
	}
	w.sim.gang(j, t.attempt).kill(w, t, d)
}

// stop ends a task of an array or a service. An array task checkpoints first if the grace period is long enough.
func (w *worker) stop(t *task, j *userJob, gracePeriod float64) {
	if j != nil {
		j.recordStop(t)
	}
	if j == nil || j.spec.Shape != api.Batch || !j.spec.CanCheckpoint() || gracePeriod < j.spec.CheckpointS ||
		t.status == api.Pulling {
		if j != nil && t.status == api.Running {
			j.lostWork += w.sim.now.Sub(t.startedAt)
		}
		w.endTask(t, api.CauseStopped)
		return
	}
	if t.status == api.Flushing {
		return // already checkpointing
	}
	ran := time.Duration(float64(w.sim.now.Sub(t.startedAt)) / w.slowdown)
	t.status = api.Flushing
	t.generation++
	w.expediteHeartbeat()
	w.scheduleStep(t, seconds(j.spec.CheckpointS), func() {
		j.checkpointed[t.id.Index] += ran
		t.checkpointStored = true
		w.endTask(t, api.CauseStopped)
	})
}

// endTask ends a task with the given cause.
func (w *worker) endTask(t *task, c api.Cause) {
	t.status, t.cause = api.Ended, c
	t.generation++
	w.expediteHeartbeat()
}

// executeReusingAttempt launches a task that joins the first attempt of its gang, for the mutation ReuseGangAttempt.
func (w *worker) executeReusingAttempt(c api.Command) {
	if t := w.tasks[c.TaskID][c.Attempt]; t != nil {
		return
	}
	w.launch(c.TaskID, c.Attempt)
	if t := w.tasks[c.TaskID][c.Attempt]; t != nil && t.status != api.Ended {
		t.reusesAttempt = true
	}
}

// scheduleStep schedules f to run after d, unless the task changes its status or the worker its incarnation before.
func (w *worker) scheduleStep(t *task, d time.Duration, f func()) {
	gen, incarnation := t.generation, w.incarnation
	w.sim.schedule(d, func() {
		w.whenResponsive(func() {
			if !w.dead && w.incarnation == incarnation && t.generation == gen && t.status != api.Ended {
				f()
			}
		})
	})
}

// taskCount returns the number of tasks of a job that are on the machine.
func (w *worker) taskCount(id ident.JobID) int {
	n := 0
	w.forEachTask(func(t *task) {
		if t.id.Job == id && t.onMachine() {
			n++
		}
	})
	return n
}

// used returns the total resources of the tasks that have not ended.
func (w *worker) used() jobs.Resources {
	var used jobs.Resources
	w.forEachTask(func(t *task) {
		if t.status != api.Ended {
			used = used.Add(jobs.ResourcesOf(&w.sim.jobs[t.id.Job].spec))
		}
	})
	return used
}

// fits reports whether a task of a job fits beside the tasks that have not ended.
func (w *worker) fits(spec *api.Spec) bool {
	capacity := workers.CapacityOf(&w.sim.cloud.machineTypes[0])
	return capacity.Sub(w.used()).Covers(jobs.ResourcesOf(spec))
}
