package jobs

import (
	"encoding/json"

	"opaldale/internal/api"
	"opaldale/internal/decode"
	"opaldale/internal/ident"
)

// view returns the job as shown to users. It shows the end of the job only once the end is durable. WhenViewSettled is
// the only caller, because the view may be older than the store's record at other times.
func (j *Job) view() api.JobView {
	v := api.JobView{ID: j.Spec.ID, Status: api.StatusQueued, Done: j.CompletedTasks, Running: j.RunningTasks}
	switch {
	case j.DurablePhase == Done:
		v.Status, v.Done, v.Running = api.StatusDone, j.Tasks.Len(), 0
	case j.DurablePhase == Cancelled:
		v.Status, v.Running = api.StatusCancelled, 0
	case j.RunningTasks > 0:
		v.Status = api.StatusRunning
	}
	return v
}

// ViewSettled reports whether every node that reads the job from the store now would show the same view, that
// is, no write of the job's submission or end has an unknown outcome.
func (j *Job) ViewSettled() bool {
	return j.SubmissionDurable && (j.Phase == j.DurablePhase || !j.storage.header.OutcomeUnknown())
}

// WhenViewSettled passes the view to a function once it is settled. It calls the function immediately unless the
// job's submission or end is being written: another node may already read the new state from the store
// while this one still shows the old one, and a user must not see an older state after a newer one. The function is
// never called if the job turns out to exist in the archive; see Add.
func (j *Job) WhenViewSettled(f func(api.JobView)) {
	if j.ViewSettled() {
		f(j.view())
		return
	}
	j.storage.header.AfterNextWrite(func() { j.WhenViewSettled(f) })
}

// ArchivedJob is the stored record of an archived job.
type ArchivedJob struct {
	Phase          Phase `json:"phase"`
	Tasks          int   `json:"pieces"`
	CompletedTasks int   `json:"done"`
}

// View returns the archived job as shown to users.
func (a ArchivedJob) View(id ident.JobID) api.JobView {
	return api.JobView{ID: id, Status: a.Phase.Status(), Done: a.CompletedTasks}
}

// archiveRecord returns the record to store for the job when it is archived.
func (j *Job) archiveRecord() ArchivedJob {
	archived := ArchivedJob{Phase: j.Phase, Tasks: j.Tasks.Len(), CompletedTasks: j.CompletedTasks}
	if j.Phase == Done {
		archived.CompletedTasks = archived.Tasks
	}
	return archived
}

// ParseLiveView returns the view of a job from the value of its live key. Nodes that are not the leader use
// it. Only tasks stored in the header are counted.
func ParseLiveView(value json.RawMessage) (api.JobView, error) {
	var header jobHeader
	if err := decode.JSON(value, &header); err != nil {
		return api.JobView{}, err
	}
	if header.Spec == nil {
		return api.JobView{}, errNotJob
	}
	view := api.JobView{ID: header.Spec.ID, Status: api.StatusQueued}
	for _, t := range header.Tasks {
		if t.Done {
			view.Done++
		} else if t.MachineID != "" {
			view.Running++
		}
	}
	switch {
	case header.Phase != Open:
		view.Status, view.Running = header.Phase.Status(), 0
	case view.Running > 0:
		view.Status = api.StatusRunning
	}
	return view, nil
}
