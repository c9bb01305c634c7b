package migration

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/decode"
	"opaldale/internal/ident"
)

// Prefix is the prefix of the keys with the records of moves, one key for each job that has any moves.
// Versions without migration never read these keys, and treat a task that is being moved as a task that
// was stopped.
const Prefix = "moves/"

// Key returns the key of the record of a job's moves.
func Key(id ident.JobID) string { return Prefix + string(id) }

// Entry is one recorded move.
type Entry struct {
	Index         int             `json:"task"`
	Attempt       ident.Attempt   `json:"attempt"`
	From          ident.MachineID `json:"from"`
	To            ident.MachineID `json:"to"`
	BeneficiaryID string          `json:"for,omitempty"`
	Purpose       string          `json:"source"`
	AtMS          int64           `json:"at_ms"`
	GainS         float64         `json:"gain_s"`
	CostS         float64         `json:"cost_s"`
}

// Record is the stored record of all moves of a job, the oldest first.
type Record struct {
	Moves []Entry `json:"moves"`
}

var errNoMoves = errors.New("move record has no moves, want at least one")

// ReadRecord decodes the stored record of a job. It returns an error for a record without moves, or with a
// negative task index.
func ReadRecord(value json.RawMessage) (Record, error) {
	var r Record
	if err := decode.JSON(value, &r); err != nil {
		return Record{}, err
	}
	if len(r.Moves) == 0 {
		return Record{}, errNoMoves
	}
	for _, e := range r.Moves {
		if e.Index < 0 {
			return Record{}, fmt.Errorf("task index %d is negative: %w", e.Index, ident.ErrMalformed)
		}
	}
	return r, nil
}

// jobHistory is the record of one job's moves.
type jobHistory struct {
	record     Record
	doc        *commit.Document
	unreadable bool // whether the stored value can't be decoded; it is then not overwritten
	deleted    bool // whether the record is to be deleted from the store
}

// History records the moves of each job in the key-value store. A move is recorded before its task is
// stopped, so that the record survives a failover.
type History struct {
	commits     *commit.Committer
	wallClockMS func() int64 // Unix time in milliseconds
	jobs        map[ident.JobID]*jobHistory
}

// NewHistory returns an empty history for a leader's term.
func NewHistory(commits *commit.Committer, wallClockMS func() int64) *History {
	return &History{commits: commits, wallClockMS: wallClockMS, jobs: map[ident.JobID]*jobHistory{}}
}

// Load adds the stored record of a job. If the record can't be decoded, the tasks of the job are not moved.
// The leader need not resign in that case, since only moves depend on the record.
func (h *History) Load(path string, value json.RawMessage, revision ident.Revision) {
	id := ident.JobID(strings.TrimPrefix(path, Prefix))
	j := h.addJob(id)
	j.doc.Revision = revision
	r, err := ReadRecord(value)
	if err != nil {
		slog.Error("cannot decode move history, job will not be migrated", "job", string(id), "path", path, "err", err)
		j.unreadable = true
		return
	}
	j.record = r
}

// addJob adds an empty record for a job.
func (h *History) addJob(id ident.JobID) *jobHistory {
	j := &jobHistory{doc: &commit.Document{Key: Key(id)}}
	j.doc.Render = func() json.RawMessage {
		if j.deleted {
			return nil
		}
		return api.JSON(j.record)
	}
	h.jobs[id] = j
	return j
}

// MoveCount returns the number of recorded moves of a job's tasks, including abandoned moves.
func (h *History) MoveCount(id ident.JobID) int {
	if j := h.jobs[id]; j != nil {
		return len(j.record.Moves)
	}
	return 0
}

// IsExcluded reports whether a job's tasks must not be moved because its record can't be decoded.
func (h *History) IsExcluded(id ident.JobID) bool {
	j := h.jobs[id]
	return j != nil && j.unreadable
}

// RecordMove adds a move to the record of its job, and calls durable once the record is durable.
func (h *History) RecordMove(m *Move, durable func()) {
	j := h.jobs[m.Task.Job]
	if j == nil {
		j = h.addJob(m.Task.Job)
	}
	j.record.Moves = append(j.record.Moves, Entry{
		Index:         m.Task.Index,
		Attempt:       m.Attempt,
		From:          m.From,
		To:            m.To,
		BeneficiaryID: m.Beneficiary(),
		Purpose:       m.Purpose.String(),
		AtMS:          h.wallClockMS(),
		GainS:         m.Gain.Round(time.Millisecond).Seconds(),
		CostS:         m.Cost.Round(time.Millisecond).Seconds(),
	})
	h.commits.MarkDirty(j.doc, durable)
}

// Forget deletes the record of a closed job, as part of a later transaction that is not full.
func (h *History) Forget(id ident.JobID) {
	j := h.jobs[id]
	if j == nil {
		return
	}
	j.deleted = true
	delete(h.jobs, id)
	h.commits.MarkDirtyLazily(j.doc, nil)
}

// Prune deletes the records of jobs that are not live. Such records remain if an earlier term ended before
// it deleted them, or if a version without migration, which does not delete them, was the leader.
func (h *History) Prune(live func(ident.JobID) bool) {
	for id := range h.jobs {
		if !live(id) {
			h.Forget(id)
		}
	}
}

// Interrupted lists, in no particular order, for each job the task of its last recorded move, if that move
// may not have ended: the current attempt of the task is still the one that was to be moved. attempt returns
// the current attempt of a task, and false for a task that is unknown or has completed.
func (h *History) Interrupted(attempt func(ident.TaskID) (ident.Attempt, bool)) []ident.TaskID {
	var out []ident.TaskID
	for id, j := range h.jobs {
		if len(j.record.Moves) == 0 {
			continue
		}
		last := j.record.Moves[len(j.record.Moves)-1]
		task := ident.TaskID{Job: id, Index: last.Index}
		if current, ok := attempt(task); ok && current == last.Attempt {
			out = append(out, task)
		}
	}
	return out
}
