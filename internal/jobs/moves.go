package jobs

import (
	"log/slog"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
)

// Doubt notes that a task of a job has failed: it is to be seen whether that is the job's
// own fault.
func (tb *Table) Doubt(j *Job) { tb.doubted[j] = true }

// Sound says whether the job has shown that it can run: a task of it has completed, or has
// run for a while. Its failures are rather its machines' fault.
func (j *Job) Sound() bool { return j.sound || j.Done > 0 }

// Acquit looks at the jobs of which tasks have failed: one that has run for a while shows
// that it was not their fault.
func (tb *Table) Acquit() {
	for j := range tb.doubted {
		if j.Phase != Open {
			delete(tb.doubted, j)
			continue
		}
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if t.State == Assigned && t.SeenRunning() && tb.now().Sub(t.RunsAt) > acquitAfter {
				j.sound, j.Suspect, j.Backoff = true, false, 0
				delete(tb.doubted, j)
				break
			}
		}
	}
}

// acquitAfter is how long that is. What is submitted with a mistake mostly fails within
// seconds.
const acquitAfter = 10 * time.Second

// to is the one place where a task changes its state.
func (tb *Table) to(t *Task, s State) {
	from := t.State
	if from == s {
		return
	}
	j := t.Job
	if from.Held() && !s.Held() {
		j.Held--
	}
	if !from.Held() && s.Held() {
		j.Held++
	}
	if s == Finished {
		j.Done++
	}
	if from == Finished {
		panic("a finished task is final")
	}
	tb.OnMove(t, from, s)
	t.State, t.Since = s, tb.now()
	tb.index(j)
	if !s.Held() {
		t.see(tb, "")
	}
	if s == Waiting && j.Phase == Open {
		tb.OnWaiting(t)
	}
}

// runs says whether a task with that status has started and not ended.
func runs(s api.TaskStatus) bool { return s == api.Running || s == api.Flushing }

// see notes the newest reported status.
func (t *Task) see(tb *Table, s api.TaskStatus) {
	if runs(t.Seen) {
		t.Job.Runs--
	}
	if runs(s) {
		t.Job.Runs++
		if !runs(t.Seen) {
			t.RunsAt = tb.now()
			slog.Debug("task runs", "task", t.TaskID().String(), "host", string(t.Host), "try", uint64(t.Attempt),
				"placed_s", t.Since.Sub(0).Seconds(), "job_age_s", t.RunsAt.Sub(t.Job.Arrived).Seconds())
		}
	}
	t.Seen = s
}

// Observe notes what a worker reports of a task that is on it.
func (tb *Table) Observe(t *Task, s api.TaskStatus) {
	if t.State.Held() && t.Seen != s {
		t.see(tb, s)
	}
}

// Place chooses a machine for a waiting task; then is called once that is
// durable, if it still holds. Only then may the task be launched: a successor
// must find every task that may be on a machine.
func (tb *Table) Place(t *Task, h ident.MachineID, tenure ident.Incarnation, then func()) {
	tb.PlaceAs(t, h, tenure, t.Attempt+1, then)
}

// PlaceAs is Place in an attempt whose number is given.
func (tb *Table) PlaceAs(t *Task, h ident.MachineID, tenure ident.Incarnation, try ident.Attempt, then func()) {
	if try < t.Attempt {
		panic("attempts are never numbered back")
	}
	t.Attempt = try
	t.placed++
	t.Host, t.Session = h, tenure
	tb.to(t, Placing)
	placed := t.placed
	tb.save(t, func() {
		if t.placed != placed || t.State != Placing {
			return
		}
		tb.to(t, Assigned)
		then()
	})
}

// Stop notes that a task was told to stop.
func (tb *Table) Stop(t *Task, windDown time.Duration) {
	t.WindDown = windDown
	tb.to(t, Stopping)
}

// Gone notes that a task that counted on its machine is proven not to be there.
// then is called once that is durable.
func (tb *Table) Gone(t *Task, then func()) {
	if !t.State.Held() {
		return
	}
	tb.to(t, Waiting)
	tb.save(t, then)
	tb.settle(t.Job)
}

// Complete notes that a task has completed; then is called once it is durable.
func (tb *Table) Complete(t *Task, then func()) {
	t.Fails = 0
	tb.to(t, Finished)
	j := t.Job
	j.Suspect, j.Backoff = false, 0
	if j.Gang() && j.Phase == Open {
		tb.finishGang(j)
	}
	if j.Phase == Open && (j.Done == len(j.Tasks) || j.Gang()) && j.Spec.Shape != api.Service {
		tb.close(j, Done)
	}
	if j.Phase == Done && !j.over {
		// The job goes over as a whole, and its segments go with it: a successor must not
		// find a part of a gang done.
		if then != nil {
			j.wants = append(j.wants, then)
		}
	} else {
		tb.save(t, then)
	}
	tb.settle(j)
}

// finishGang finishes the tasks of a gang of which one is done: they end together. Those
// that were not seen to run still count on their machines until they are proven gone. (When
// a gang's result is kept from an earlier attempt, each task ends as soon as it has its
// image: the room of those that had not was given to others, and a team was over its limit
// when they got it.)
func (tb *Table) finishGang(j *Job) {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch {
		case t.State == Finished:
		case t.State.Held() && t.State != Placing && !runs(t.Seen):
		default:
			tb.to(t, Finished)
		}
	}
}

// Cancel ends a job at its user's wish; then is called once that is durable.
func (tb *Table) Cancel(j *Job, then func()) {
	if j.Phase == Open {
		tb.close(j, Cancelled)
	}
	durable := func() {
		if j.Durable == Open {
			j.durable()
		}
		then()
	}
	tb.settle(j)
	if tb.packed && j.form != logged && j.Known && !j.over {
		// Its header can't be put again before the log has its tasks.
		tb.convert(j, durable)
		return
	}
	tb.commits.MarkDirty(j.head, durable)
}

// settle moves a job that needs no machine any more to the jobs that are over:
// in one transaction, so that it is always found in one of both places.
func (tb *Table) settle(j *Job) {
	if j.Phase == Open || j.Held > 0 || j.over {
		return
	}
	j.over = true
	end := Ended{Phase: j.Phase, Tasks: len(j.Tasks), Done: j.Done}
	if j.Phase == Done {
		end.Done = end.Tasks
	}
	j.head.ExtraMutations = func() []statesvc.Mutation {
		return []statesvc.Mutation{{Put: OverKey(j.Spec.ID), Value: api.JSON(end)}}
	}
	wants := j.wants
	j.wants = nil
	tb.commits.MarkDirty(j.head, func() {
		tb.Remember(j.Spec.ID, end)
		delete(tb.Jobs, j.Spec.ID)
		tb.OnOver(j.Spec.ID)
		j.durable()
		for _, f := range append(wants, j.moved...) {
			f()
		}
		j.moved = nil
		for i := range j.Tasks {
			tb.commits.Release(&j.Tasks[i].pin)
		}
		// Segments without a header mean nothing; a successor drops them too.
		for _, d := range j.segs {
			tb.commits.MarkDirty(d, nil)
		}
	})
}
