package simulator

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

type task struct {
	id            ident.TaskID
	attempt       ident.Attempt
	status        api.TaskStatus
	cause         api.Cause
	stored        bool
	reusesAttempt bool // of the mutation ReuseGangAttempt
	generation    int
	startedAt     ident.MonotonicTime // when it started to run
}

// onMachine is the protocol's word: from the image until the exit.
func (t *task) onMachine() bool {
	return t.status == api.Running || t.status == api.Flushing || t.status == api.Gathering
}

func (w *worker) execute(orders []api.Command) {
	for _, o := range orders {
		t := w.tasks[o.TaskID][o.Attempt]
		switch o.Verb {
		case api.Launch:
			if j := w.sim.jobs[o.TaskID.Job]; w.sim.mutates(ReuseGangAttempt) && j != nil && j.spec.Shape == api.Gang {
				w.executeReusingAttempt(o)
				continue
			}
			if t == nil {
				w.launch(o.TaskID, o.Attempt)
			}
		case api.Kill:
			if t != nil && t.status != api.Ended {
				w.kill(t, o.GracePeriodS)
			}
		case api.Clear:
			if t != nil && t.status == api.Ended {
				delete(w.tasks[o.TaskID], o.Attempt)
				if len(w.tasks[o.TaskID]) == 0 {
					delete(w.tasks, o.TaskID)
				}
			}
		}
		w.expediteHeartbeat()
	}
}

// launch starts an attempt of a task: it ends at once if the worker cannot run it, and runs once its image is there.
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

// rejects reports whether, and why, the worker cannot run another attempt of a task.
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
	if w.usedCPUs()+j.spec.VCPUs > w.sim.cloud.models[0].VCPUs+roundingError {
		return api.CauseNoCapacity, true
	}
	return cause, false
}

// run runs a task whose image is there, until it fails or has run for its duration.
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

// kill stops a task; one that saves is ended by a second kill without time for it.
func (w *worker) kill(t *task, windDown *float64) {
	j := w.sim.jobs[t.id.Job]
	d := 0.0
	if windDown != nil {
		d = *windDown
	}
	if j == nil || j.spec.Shape != api.Gang {
		w.stop(t, j, d)
		return
	}
	if t.status == api.Flushing && d > 0 {
		return // it saves already
	}
	if w.sim.mutates(StopPartOfGang) && d > 0 && t.id.Index > 0 {
		return
	}
	w.sim.gang(j, t.attempt).kill(w, t, d)
}

// stop ends a task of an array or a service; one of an array that has the time for it saves
// its progress first.
func (w *worker) stop(t *task, j *userJob, windDown float64) {
	if j != nil {
		j.recordStop(t)
	}
	if j == nil || j.spec.Shape != api.Batch || !j.spec.CanCheckpoint() || windDown < j.spec.CheckpointS || t.status == api.Pulling {
		if j != nil && t.status == api.Running {
			j.lostWork += w.sim.now.Sub(t.startedAt)
		}
		w.endTask(t, api.CauseStopped)
		return
	}
	if t.status == api.Flushing {
		return // it saves already
	}
	ran := time.Duration(float64(w.sim.now.Sub(t.startedAt)) / w.slowdown)
	t.status = api.Flushing
	t.generation++
	w.expediteHeartbeat()
	w.scheduleStep(t, seconds(j.spec.CheckpointS), func() {
		j.checkpointed[t.id.Index] += ran
		t.stored = true
		w.endTask(t, api.CauseStopped)
	})
}

func (w *worker) endTask(t *task, c api.Cause) {
	t.status, t.cause = api.Ended, c
	t.generation++
	w.expediteHeartbeat()
}

// executeReusingAttempt is the mutation that numbers every attempt of a gang alike.
func (w *worker) executeReusingAttempt(o api.Command) {
	if t := w.tasks[o.TaskID][o.Attempt]; t != nil {
		return
	}
	w.launch(o.TaskID, o.Attempt)
	if t := w.tasks[o.TaskID][o.Attempt]; t != nil && t.status != api.Ended {
		t.reusesAttempt = true
	}
}

// scheduleStep does something with a task later, unless it or its session ends before.
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

// taskCount returns how many tasks of a job are on the machine.
func (w *worker) taskCount(id ident.JobID) int {
	n := 0
	w.forEachTask(func(t *task) {
		if t.id.Job == id && t.onMachine() {
			n++
		}
	})
	return n
}

// usedCPUs returns the CPUs of the tasks that have not exited.
func (w *worker) usedCPUs() float64 {
	cpus := 0.0
	w.forEachTask(func(t *task) {
		if t.status != api.Ended {
			cpus += w.sim.jobs[t.id.Job].spec.VCPUs
		}
	})
	return cpus
}
