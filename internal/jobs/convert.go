package jobs

import (
	"opaldale/internal/api"
)

// UsePackedLog has tasks kept in the log alone from now on. Jobs on record in the form of
// before follow one by one, see Convert.
func (tb *Table) UsePackedLog() { tb.packedLog = true }

// HeaderSize returns how long a job's header would be, and how long it may be.
func (tb *Table) HeaderSize(s *api.Spec) (size, limit int) {
	return len(api.JSON(jobHeader{Spec: s, Seq: 1 << 62, SubmittedAtMS: 1 << 62, Logged: true})) + headerReserveBytes, tb.maxValueBytes
}

// ConvertToLog moves jobs to the form in which the log alone has their tasks, for up to n
// lines and headers, but one at the least, and says whether more are left. Nothing
// needs it at once: it is for the time between an upgrade and the next change of a job's
// header.
func (tb *Table) ConvertToLog(budget int) (more bool) {
	if !tb.packedLog {
		return false
	}
	for _, j := range tb.Sorted() {
		if j.storage != inDocuments || !j.SubmissionDurable || j.archived || !tb.headerFits(j) {
			continue
		}
		if budget <= 0 {
			return true
		}
		budget -= 1 + tb.convertJob(j, nil)
	}
	return false
}

// headerFits says whether a job's header without tasks is short enough to be put again. One
// taken in under other limits stays as it is until the job is over or cancelled.
func (tb *Table) headerFits(j *Job) bool {
	size, limit := tb.HeaderSize(j.trimmedSpec())
	return size <= limit
}

// convertJob writes what is known of a job's tasks to the log, and once that is durable
// the header without them; then is called when that is. It returns how many lines that
// takes.
func (tb *Table) convertJob(j *Job, onDurable func()) int {
	if onDurable != nil {
		j.onConverted = append(j.onConverted, onDurable)
	}
	if j.storage == converting {
		return 0
	}
	j.storage = converting
	remaining, lines := 1, 0
	finishOne := func() {
		if remaining--; remaining > 0 || j.archived {
			return
		}
		j.storage = inLog
		tb.commits.MarkDirty(j.headerDoc, func() {
			for _, f := range j.onConverted {
				f()
			}
			j.onConverted = nil
		})
		for _, doc := range j.segmentDocs {
			tb.commits.MarkDirtyLazily(doc, nil) // means nothing any more
		}
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.Attempt > 0 && !t.logPin.Held() {
			remaining++
			lines++
			tb.commits.Append(t, finishOne)
		}
	}
	finishOne()
	return lines
}
