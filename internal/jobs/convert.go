package jobs

import "opaldale/internal/api"

// UsePackedLog keeps the tasks of new jobs in the log alone from now on. Jobs that are stored in
// the first format follow by ConvertToLog.
func (tb *Table) UsePackedLog() { tb.packedLog = true }

// HeaderSize returns the largest size of a job's header without tasks, and its limit, in bytes.
func (tb *Table) HeaderSize(s *api.Spec) (size, limit int) {
	header := jobHeader{Spec: s, Seq: 1 << 62, SubmittedAtMS: 1 << 62, Logged: true}
	return len(api.JSON(header)) + headerReserveBytes, tb.maxValueBytes
}

// ConvertToLog moves the tasks of jobs in the first format to the log alone, and reports whether
// such jobs are left. budget is a number of writes: one for each line of the log and each header.
// The job that exhausts it is still converted. A job may be converted at any time; the next change
// of its header does so as well.
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

// isConvertible reports whether a job is stored in the first format, and may be converted now.
func (tb *Table) isConvertible(j *Job) bool {
	return j.storage.format == inDocuments && j.SubmissionDurable && !j.storage.archived && tb.headerFits(j)
}

// headerFits reports whether a job's header without tasks is small enough to be put. A job that was
// accepted under another limit stays in its format until it is over.
func (tb *Table) headerFits(j *Job) bool {
	size, limit := tb.HeaderSize(j.trimmedSpec())
	return size <= limit
}

// convertJob writes a job's tasks to the log and, once they are durable, the header without them. It
// returns the number of lines that it writes. onDurable, unless nil, is called once the header is
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

// tasksWithoutLine returns the tasks that were placed and have no line in the log.
func (j *Job) tasksWithoutLine() []*Task {
	var tasks []*Task
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.Attempt > 0 && !t.logPin.Held() {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// finishConversion writes the header of a job whose tasks are all in the log.
func (tb *Table) finishConversion(j *Job) {
	if j.storage.archived {
		return
	}
	j.storage.format = inLog
	tb.commits.MarkDirty(j.storage.header, func() { callAll(&j.callbacks.converted) })
	for _, doc := range j.storage.segments {
		tb.commits.MarkDirtyLazily(doc, nil) // renders as nil now, which deletes the key
	}
}
