package jobs

import "opaldale/internal/api"

// UsePackedLog makes the table store the tasks of new jobs only in the log, in the packed format.
// ConvertToLog converts the jobs that are stored in the legacy format.
func (tb *Table) UsePackedLog() { tb.packedLog = true }

// HeaderSize returns the maximum size that a job's header without tasks can reach, and the limit on that
// size, in bytes.
func (tb *Table) HeaderSize(s *api.Spec) (size, limit int) {
	header := jobHeader{Spec: s, Seq: 1 << 62, SubmittedAtMS: 1 << 62, Logged: true}
	return len(api.JSON(header)) + headerReserveBytes, tb.maxValueBytes
}

// ConvertToLog moves tasks of jobs in the legacy format to the log, and reports whether such jobs remain.
// budget is the number of writes to make, where each log line and each header counts as one; the job that
// exceeds the budget is still converted. A job may be converted at any time. Cancelling a job converts it
// as well.
func (tb *Table) ConvertToLog(budget int) (more bool) {
	if !tb.packedLog {
		return false
	}
	for _, j := range tb.Sorted() {
		if !tb.isConvertible(j) {
			continue
		}
		if budget <= 0 {
			return true
		}
		lines := tb.convertJob(j, nil)
		budget -= lines + 1 // the header
	}
	return false
}

// isConvertible reports whether a job is stored in the legacy format and may be converted now.
func (tb *Table) isConvertible(j *Job) bool {
	return j.storage.format == inDocuments && j.SubmissionDurable && !j.storage.archived && tb.headerFits(j)
}

// headerFits reports whether a job's header without tasks is within the size limit. A job that was accepted
// under a higher limit may exceed it; such a job keeps its format until it ends.
func (tb *Table) headerFits(j *Job) bool {
	size, limit := tb.HeaderSize(j.trimmedSpec())
	return size <= limit
}

// convertJob writes a job's tasks to the log and, once they are durable, the header without tasks. It
// returns the number of log lines that it writes. onDurable may be nil; it is called once the header is
// durable.
func (tb *Table) convertJob(j *Job, onDurable func()) (lines int) {
	if onDurable != nil {
		j.callbacks.converted = append(j.callbacks.converted, onDurable)
	}
	if j.storage.format == converting {
		return 0
	}
	j.storage.format = converting
	tasks := j.tasksWithoutLine()
	if len(tasks) == 0 {
		tb.finishConversion(j)
		return 0
	}
	remaining := len(tasks)
	for _, t := range tasks {
		tb.commits.Append(t, func() {
			remaining--
			if remaining == 0 {
				tb.finishConversion(j)
			}
		})
	}
	return len(tasks)
}

// tasksWithoutLine returns the tasks that were placed at least once and have no line in the log.
func (j *Job) tasksWithoutLine() []*Task {
	var tasks []*Task
	for t := range j.Tasks.Created() {
		if t.Attempt > 0 && !t.logPin.Held() {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// finishConversion writes the header of a job whose tasks are all in the log, and deletes its segments.
func (tb *Table) finishConversion(j *Job) {
	if j.storage.archived {
		return
	}
	j.storage.format = inLog
	tb.commits.MarkDirty(j.storage.header, func() { callAll(&j.callbacks.converted) })
	for _, doc := range j.storage.segments {
		tb.commits.MarkDirtyLazily(doc, nil) // now renders as nil, which deletes the key
	}
}
