// Package ident defines the identifiers, counters and clock readings that all other packages share.
package ident

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

type (
	// NodeID identifies a controller.
	NodeID string
	// MachineID identifies a provisioned machine.
	MachineID string
	// JobID identifies a job, in the form that ParseJobID checks. The submitter chooses it.
	JobID string
	// Term is the number of an election. Each leader has a higher one than all before it.
	Term uint64
	// FencingToken orders the commands to a worker: the worker rejects those with a token lower
	// than the highest that it has seen.
	FencingToken uint64
	// Incarnation counts the registrations of a worker.
	Incarnation uint64
	// SequenceNumber orders the messages of one incarnation of a worker.
	SequenceNumber uint64
	// Revision orders the writes to the key-value store. That of a key is the revision of its
	// last put; 0 means that the key does not exist.
	Revision uint64
	// Attempt counts the times that a task was started.
	Attempt uint64
	// FormatLevel is the version of the format of stored data; 0 is the first one. It is raised
	// once all controllers can read the next.
	FormatLevel uint8
)

// The format levels above the first. Code that reads or writes a lower level than FormatPacked is
// marked as being of the first format; it can be removed, together with package upgrade, once no
// deployment stores data of that level.
const (
	// FormatPacked stores tasks only in the log, as lines of text, and keeps every value within
	// the limits that the key-value store may introduce. Gangs require it.
	FormatPacked FormatLevel = 1
	// NewestFormatLevel is the newest level that this program can read and write.
	NewestFormatLevel = FormatPacked
)

// tokenCounterBits is the size of the counter in a FencingToken; the term is above it.
const tokenCounterBits = 20

// MakeFencingToken returns the token of a leader in a term. counter separates tokens for the same
// worker in that term; only its low tokenCounterBits bits count.
func MakeFencingToken(term Term, counter uint32) FencingToken {
	return FencingToken(uint64(term)<<tokenCounterBits | uint64(counter)&(1<<tokenCounterBits-1))
}

// Term returns the term in which the token was made.
func (t FencingToken) Term() Term { return Term(t >> tokenCounterBits) }

// ErrMalformed means that the text of an identifier does not have the required form.
var ErrMalformed = errors.New("malformed name")

const (
	jobIDPrefix    = "j-"
	maxJobIDDigits = 20
)

// ParseJobID checks that s has the form of a job ID, as in j-000412: jobIDPrefix and one to
// maxJobIDDigits digits. If not, it returns ErrMalformed.
func ParseJobID(s string) (JobID, error) {
	digits, ok := strings.CutPrefix(s, jobIDPrefix)
	if !ok || len(digits) < 1 || len(digits) > maxJobIDDigits {
		return "", ErrMalformed
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return "", ErrMalformed
		}
	}
	return JobID(s), nil
}

// TaskID identifies a task by its job and its index within the job, from 0. Its text form is
// j-000412/3.
type TaskID struct {
	Job   JobID
	Index int
}

func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// MarshalText encodes the ID in its text form.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText decodes the text form. Its errors wrap ErrMalformed.
func (t *TaskID) UnmarshalText(text []byte) error {
	jobText, indexText, _ := strings.Cut(string(text), "/")
	job, jobErr := ParseJobID(jobText)
	index, indexErr := strconv.Atoi(indexText)
	if jobErr != nil || indexErr != nil || index < 0 {
		// The text reaches workers, for which the protocol calls a task a piece.
		return fmt.Errorf("piece %q: %w", text, ErrMalformed)
	}
	t.Job, t.Index = job, index
	return nil
}
