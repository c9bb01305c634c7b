// Package ident defines the identifiers, counters and clock readings shared by the other packages.
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
	// JobID identifies a job. The user assigns it on submission, in the form that ParseJobID checks.
	JobID string
	// Term is the number of an election. Each leader has a higher term than all previous leaders.
	Term uint64
	// FencingToken orders the commands to a worker. The worker rejects a command whose token is
	// lower than the highest one that the worker has received.
	FencingToken uint64
	// Incarnation numbers the periods between expiries of a worker's lease. It starts at 1 and
	// increases whenever the lease expires.
	Incarnation uint64
	// SequenceNumber orders the messages of one incarnation of a worker.
	SequenceNumber uint64
	// Revision orders the writes to the key-value store. The revision of a key is the revision of
	// its last put; 0 means that the key does not exist.
	Revision uint64
	// Attempt counts the starts of a task.
	Attempt uint64
	// FormatLevel is the version of the format of stored data, starting at 0. The leader raises the
	// level once all controllers can decode the next one.
	FormatLevel uint8
)

// The format levels above 0. Level 0 is the legacy format. Code that reads or writes the legacy format is
// marked as such. It can be removed, together with package upgrade, once no deployment stores data in that
// format.
const (
	// FormatPacked stores tasks only in the log, as lines of text, and keeps every value within
	// the limits that the key-value store has announced. Gangs require this level.
	FormatPacked FormatLevel = 1
	// NewestFormatLevel is the newest level that this program can read and write.
	NewestFormatLevel = FormatPacked
)

const (
	// tokenCounterBits is the number of low bits of a FencingToken that hold the counter. The higher bits hold
	// the term.
	tokenCounterBits = 20
	// MaxTokenCounter is the highest counter of the tokens of a term.
	MaxTokenCounter = 1<<tokenCounterBits - 1
)

// MakeFencingToken returns a fencing token for the leader of a term. counter orders the tokens for one
// worker within the term; only its low tokenCounterBits bits are used.
func MakeFencingToken(term Term, counter uint32) FencingToken {
	return FencingToken(uint64(term)<<tokenCounterBits | uint64(counter)&MaxTokenCounter)
}

// Term returns the term of the leader that issued the token.
func (t FencingToken) Term() Term { return Term(t >> tokenCounterBits) }

// ErrMalformed is the error for the text of an identifier that does not have the required form.
var ErrMalformed = errors.New("malformed name")

const (
	jobIDPrefix    = "j-"
	maxJobIDDigits = 20
)

// ParseJobID converts s to a JobID. It returns ErrMalformed unless s consists of "j-" and 1 to 20 digits,
// as in j-000412.
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

// TaskID identifies a task by its job and its index within the job, which starts at 0. The text form is
// job/index, for example j-000412/3.
type TaskID struct {
	Job   JobID
	Index int
}

// String returns the ID in its text form.
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// MarshalText encodes the ID in its text form.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText decodes the text form. Errors wrap ErrMalformed; t is unchanged after an error.
func (t *TaskID) UnmarshalText(text []byte) error {
	jobText, indexText, _ := strings.Cut(string(text), "/")
	job, jobErr := ParseJobID(jobText)
	index, indexErr := strconv.Atoi(indexText)
	if jobErr != nil || indexErr != nil || index < 0 {
		// The error text is sent to workers. Their protocol calls a task a "piece".
		return fmt.Errorf("piece %q: %w", text, ErrMalformed)
	}
	t.Job, t.Index = job, index
	return nil
}
