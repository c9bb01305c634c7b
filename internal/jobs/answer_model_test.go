package jobs

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"opaldale/internal/api"
	"opaldale/internal/clocktest"
	"opaldale/internal/commit"
	"opaldale/internal/decode"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// TestAnswersNotOlderThanStore guards against answers from the leader's tables that are older than one that another node
// has already read from the store (went_back). Random jobs are submitted, run, cancelled, archived and converted to
// the packed format over a store that delays and loses requests and responses. Questions are asked at any moment.
func TestAnswersNotOlderThanStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAnswerModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"flush":             func(*rapid.T) { m.commits.Flush() },
			"submit":            m.submit,
			"cancel":            m.cancel,
			"ask":               m.ask,
			"ask again":         m.ask,
			"place":             m.place,
			"report running":    m.reportRunning,
			"complete":          m.complete,
			"task gone":         m.markNotRunning,
			"compact":           m.compact,
			"convert":           m.convert,
			"apply request":     m.applyRequest,
			"deliver response":  m.deliverResponse,
			"lose response":     m.loseResponse,
			"time out":          m.timeOut,
			"refuse request":    m.refuseRequest,
			"pass time":         m.passTime,
			"answer everything": m.answerEverything,
		})
	})
}

// modelJobs are the IDs of the jobs of the model. There are few, so that the same job is often changed and asked about.
var modelJobs = []ident.JobID{"j-1", "j-2", "j-3"}

// storeRequest is a request whose caller has no response yet, or got none.
type storeRequest struct {
	request    kvstore.Request
	onResponse func(kvstore.Response) // nil: the caller has given up
	response   *kvstore.Response      // nil: the request was not applied yet
}

// answerModel is a leader's table with a store that applies requests and delivers responses when the test says so.
type answerModel struct {
	*kvstoretest.MemoryStore
	clocktest.Clock
	t        *rapid.T
	requests []*storeRequest
	table    *Table
	commits  *commit.Committer
	packed   bool
}

func newAnswerModel(t *rapid.T) *answerModel {
	leader := kvstore.KeyValue{Key: "leader", Revision: 1}
	m := &answerModel{MemoryStore: kvstoretest.NewMemoryStore(leader), t: t}
	limits := commit.Limits{MutationsPerTxn: 4, MutationsPerSecond: 1e9, MaxValueBytes: 2048}
	m.commits = commit.New(m, limits, kvstore.Compare{Key: "leader", Revision: 1}, func(err error) {
		t.Fatalf("term lost: %v", err)
	})
	m.table = NewTable(m.commits, limits.MaxValueBytes, m.Now, func() int64 { return 5 })
	return m
}

// Store takes a request. The test decides later what becomes of it.
func (m *answerModel) Store(r kvstore.Request, onResponse func(kvstore.Response)) {
	m.requests = append(m.requests, &storeRequest{request: r, onResponse: onResponse})
}

// apply applies a request that was not applied yet.
func (m *answerModel) apply(r *storeRequest) {
	var response kvstore.Response
	if r.request.Op == kvstore.Get {
		response = m.Get(r.request.Key)
	} else if failed := m.FailedKeys(r.request.Compares); failed != nil {
		response = kvstore.Response{Outcome: kvstore.Conflict, FailedKeys: failed}
	} else {
		response = m.Apply(r.request.Mutations)
	}
	r.response = &response
}

// respond gives the caller of a request a response.
func (r *storeRequest) respond(response kvstore.Response) {
	onResponse := r.onResponse
	r.onResponse = nil
	onResponse(response)
}

// drawRequest draws a request that satisfies a condition.
func (m *answerModel) drawRequest(t *rapid.T, condition func(*storeRequest) bool) *storeRequest {
	var candidates []*storeRequest
	for _, r := range m.requests {
		if condition(r) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		t.Skip("no such request")
	}
	return candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "request")]
}

// forget removes the requests that were applied and whose callers have a response or have given up.
func (m *answerModel) forget() {
	m.requests = slices.DeleteFunc(m.requests, func(r *storeRequest) bool { return r.response != nil && r.onResponse == nil })
}

func (r *storeRequest) unapplied() bool { return r.response == nil }
func (r *storeRequest) answerable() bool {
	return r.response != nil && r.onResponse != nil
}
func (r *storeRequest) refusable() bool { return r.response == nil && r.onResponse != nil }

func (m *answerModel) applyRequest(t *rapid.T) {
	m.apply(m.drawRequest(t, (*storeRequest).unapplied))
	m.forget()
}

func (m *answerModel) deliverResponse(t *rapid.T) {
	r := m.drawRequest(t, (*storeRequest).answerable)
	r.respond(*r.response)
	m.forget()
}

// loseResponse lets the caller of an applied request give up.
func (m *answerModel) loseResponse(t *rapid.T) {
	m.drawRequest(t, (*storeRequest).answerable).respond(kvstore.Response{Outcome: kvstore.NoResponse})
	m.forget()
}

// timeOut lets the caller of a request give up that was not applied yet, and may still be.
func (m *answerModel) timeOut(t *rapid.T) {
	m.drawRequest(t, (*storeRequest).refusable).respond(kvstore.Response{Outcome: kvstore.NoResponse})
}

// refuseRequest refuses a request, which is then never applied.
func (m *answerModel) refuseRequest(t *rapid.T) {
	r := m.drawRequest(t, (*storeRequest).refusable)
	outcome := rapid.SampledFrom([]kvstore.Outcome{kvstore.Unavailable, kvstore.RateLimited}).Draw(t, "outcome")
	m.requests = slices.DeleteFunc(m.requests, func(other *storeRequest) bool { return other == r })
	r.respond(kvstore.Response{Outcome: outcome})
}

func (m *answerModel) passTime(t *rapid.T) {
	m.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond)
}

// answerEverything applies and answers all requests until there are none.
func (m *answerModel) answerEverything(*rapid.T) {
	for range 20 {
		for len(m.requests) > 0 {
			r := m.requests[0]
			if r.response == nil {
				m.apply(r)
			}
			if r.onResponse != nil {
				r.respond(*r.response)
			}
			m.forget()
		}
		m.Advance(time.Second)
		m.commits.Flush()
	}
}

// submit submits a job as the leader does: a known job is only asked about.
func (m *answerModel) submit(t *rapid.T) {
	id := rapid.SampledFrom(modelJobs).Draw(t, "job")
	_, archived := m.table.LookupArchived(id)
	if m.table.Jobs[id] != nil || archived {
		m.askAbout(id)
		return
	}
	shapes := []api.Shape{api.Batch, api.Service}
	if m.packed {
		shapes = append(shapes, api.Gang)
	}
	spec := &api.Spec{ID: id, Shape: rapid.SampledFrom(shapes).Draw(t, "shape"), Tasks: rapid.IntRange(1, 3).Draw(t, "tasks")}
	var j *Job
	j = m.table.Add(spec, func() { m.askJob(j) }, func() {})
}

func (m *answerModel) cancel(t *rapid.T) {
	j := m.drawJob(t, func(*Job) bool { return true })
	if j.DurablePhase != Open {
		return
	}
	m.table.Cancel(j, func() {
		j.WhenViewSettled(func(view api.JobView) {
			if view.Status != api.StatusCancelled && view.Status != api.StatusDone {
				m.t.Fatalf("cancellation of %s answered with %q, want %q or %q", view.ID, view.Status, api.StatusCancelled,
					api.StatusDone)
			}
			m.checkAnswer(j.Spec.ID, "", view.Status)
		})
	})
	for _, task := range slices.Collect(j.Tasks.Created()) {
		if task.State == Placing {
			m.table.MarkNotRunning(task, nil)
		}
	}
}

func (m *answerModel) ask(t *rapid.T) { m.askAbout(rapid.SampledFrom(modelJobs).Draw(t, "job")) }

// askAbout asks the leader about a job. A job that is not in its tables is read from the store, and not asked about here.
func (m *answerModel) askAbout(id ident.JobID) {
	if j := m.table.Jobs[id]; j != nil {
		m.askJob(j)
		return
	}
	if archived, ok := m.table.LookupArchived(id); ok {
		m.checkAnswer(id, storedStatus(m.t, m.MemoryStore, id), archived.View(id).Status)
	}
}

func (m *answerModel) askJob(j *Job) {
	known := storedStatus(m.t, m.MemoryStore, j.Spec.ID)
	j.WhenViewSettled(func(view api.JobView) { m.checkAnswer(j.Spec.ID, known, view.Status) })
}

// checkAnswer checks an answer of the leader. known is the status in the store when the question arrived, which a follower
// may have told by then. The answer must not be older, and it must be durable.
func (m *answerModel) checkAnswer(id ident.JobID, known, answer api.Status) {
	if isFinal(known) && answer != known {
		m.t.Fatalf("%s: the leader answers %q to a question that arrived when the store had %q", id, answer, known)
	}
	stored := storedStatus(m.t, m.MemoryStore, id)
	if stored == "" || isFinal(answer) && stored != answer {
		m.t.Fatalf("%s: the leader answers %q, but the store has %q", id, answer, stored)
	}
}

// isFinal reports whether a status is final.
func isFinal(status api.Status) bool {
	return status == api.StatusCancelled || status == api.StatusDone
}

// drawJob draws a live job that satisfies a condition.
func (m *answerModel) drawJob(t *rapid.T, condition func(*Job) bool) *Job {
	var candidates []*Job
	for _, id := range slices.Sorted(maps.Keys(m.table.Jobs)) {
		if j := m.table.Jobs[id]; condition(j) {
			candidates = append(candidates, j)
		}
	}
	if len(candidates) == 0 {
		t.Skip("no such job")
	}
	return candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "job")]
}

// drawTask draws a task in one of the given states.
func (m *answerModel) drawTask(t *rapid.T, states ...State) *Task {
	var candidates []*Task
	for _, id := range slices.Sorted(maps.Keys(m.table.Jobs)) {
		for task := range m.table.Jobs[id].Tasks.Created() {
			if slices.Contains(states, task.State) {
				candidates = append(candidates, task)
			}
		}
	}
	if len(candidates) == 0 {
		t.Skip("no such task")
	}
	return candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "task")]
}

func (m *answerModel) place(t *rapid.T) {
	j := m.drawJob(t, func(j *Job) bool { return j.SubmissionDurable && j.WaitingCount() > 0 })
	m.table.Place(j.WaitingTasks(1)[0], "host-000001", 1, func() {})
}

func (m *answerModel) reportRunning(t *rapid.T) {
	m.table.UpdateStatus(m.drawTask(t, Assigned), api.Running)
}

func (m *answerModel) complete(t *rapid.T) {
	task := m.drawTask(t, Assigned)
	if task.Job.Spec.Shape == api.Service {
		t.Skip("replicas don't complete")
	}
	m.table.Complete(task, nil)
}

func (m *answerModel) markNotRunning(t *rapid.T) {
	m.table.MarkNotRunning(m.drawTask(t, Placing, Assigned), nil)
}

// compact writes a job's header as the compaction of the log does in the legacy format.
func (m *answerModel) compact(t *rapid.T) {
	if m.packed {
		t.Skip("packed format")
	}
	m.commits.MarkDirtyLazily(m.drawJob(t, func(j *Job) bool { return j.storage.header.Idle() }).storage.header, nil)
}

// convert enables the packed format, and converts some of the jobs.
func (m *answerModel) convert(t *rapid.T) {
	if !m.packed {
		m.packed = true
		m.commits.UseTextFormat()
		m.table.UsePackedLog()
	}
	m.table.ConvertToLog(rapid.IntRange(0, 2).Draw(t, "budget"))
}

// failer is the part of testing.T and rapid.T that storedStatus needs.
type failer interface {
	Fatalf(format string, args ...any)
}

// storedStatus returns the status of a job that a follower reads from the store, or "" if the store does not have the job.
func storedStatus(t failer, store *kvstoretest.MemoryStore, id ident.JobID) api.Status {
	if live, ok := store.Entries[LiveKey(id)]; ok {
		view, err := ParseLiveView(live.Value)
		if err != nil {
			t.Fatalf("%s: unreadable record of a live job: %v", id, err)
		}
		return view.Status
	}
	stored, ok := store.Entries[ArchiveKey(id)]
	if !ok {
		return ""
	}
	var archived ArchivedJob
	if err := decode.JSON(stored.Value, &archived); err != nil {
		t.Fatalf("%s: unreadable record of an archived job: %v", id, err)
	}
	return archived.View(id).Status
}
