package jobs

import (
	"opaldale/internal/api"
)

// Pack has tasks kept in the log alone from now on. Jobs on record in the form of
// before follow one by one, see Convert.
func (tb *Table) Pack() { tb.packed = true }

// Size returns how long a job's header would be, and how long it may be.
func (tb *Table) Size(s *api.Spec) (bytes, most int) {
	return len(api.JSON(header{Spec: s, Seq: 1 << 62, AtMS: 1 << 62, Logged: true})) + spareBytes, tb.most
}

// Convert moves jobs to the form in which the log alone has their tasks, for up to n
// lines and headers, but one at the least, and says whether more are left. Nothing
// needs it at once: it is for the time between an upgrade and the next change of a job's
// header.
func (tb *Table) Convert(n int) (more bool) {
	if !tb.packed {
		return false
	}
	for _, j := range tb.Sorted() {
		if j.form != whole || !j.Known || j.over || !tb.fits(j) {
			continue
		}
		if n <= 0 {
			return true
		}
		n -= 1 + tb.convert(j, nil)
	}
	return false
}

// fits says whether a job's header without tasks is short enough to be put again. One
// taken in under other limits stays as it is until the job is over or cancelled.
func (tb *Table) fits(j *Job) bool {
	n, most := tb.Size(j.trimmed())
	return n <= most
}

// convert writes what is known of a job's tasks to the log, and once that is durable
// the header without them; then is called when that is. It returns how many lines that
// takes.
func (tb *Table) convert(j *Job, then func()) int {
	if then != nil {
		j.moved = append(j.moved, then)
	}
	if j.form == moving {
		return 0
	}
	j.form = moving
	left, lines := 1, 0
	done := func() {
		if left--; left > 0 || j.over {
			return
		}
		j.form = logged
		tb.commits.MarkDirty(j.head, func() {
			for _, f := range j.moved {
				f()
			}
			j.moved = nil
		})
		for _, d := range j.segs {
			tb.commits.MarkDirtyLazily(d, nil) // means nothing any more
		}
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.Attempt > 0 && !t.pin.Held() {
			left++
			lines++
			tb.commits.Append(t, done)
		}
	}
	done()
	return lines
}
