// Package ident holds the small types that the other packages speak in:
// names, versions and times.
package ident

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MonotonicTime is a reading of the steady clock, counted from the start of the process.
type MonotonicTime time.Duration

// Never lies beyond every reading of the steady clock.
const Never = MonotonicTime(1<<63 - 1)

// Add returns the reading d later.
func (m MonotonicTime) Add(d time.Duration) MonotonicTime { return m + MonotonicTime(d) }

// Sub returns the time that passed from o to m.
func (m MonotonicTime) Sub(o MonotonicTime) time.Duration { return time.Duration(m - o) }

// ClockDriftMargin is the share by which a duration that another process relies on is
// counted shorter here. The monotonic clocks of two machines drift apart by at most 0.05%.
const ClockDriftMargin = 0.001

// DiscountDrift returns d shortened by ClockDriftMargin: the part of it that has
// certainly not passed on any machine before d has passed on this one.
func DiscountDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - ClockDriftMargin))
}

type (
	// NodeID names a controller.
	NodeID string
	// MachineID names a rented machine.
	MachineID string
	// JobID names a job; users choose it.
	JobID string
	// Term counts elections.
	Term uint64
	// FencingToken is the token that entitles to command a worker.
	FencingToken uint64
	// Incarnation counts the sessions of a worker.
	Incarnation uint64
	// SequenceNumber orders the messages of one session of a worker.
	SequenceNumber uint64
	// Revision is the revision of a key's last change; 0: the key does not exist.
	Revision uint64
	// Attempt counts the attempts at a task.
	Attempt uint64
	// FormatLevel is the format of what is stored, once all nodes can read it; 0: that of
	// the first version.
	FormatLevel uint8
)

// The format levels. What reads and writes the format below Packed is marked in the
// code as of the first format; it can go, with package upgrade, once no deployment is
// below that level.
const (
	// FormatPacked keeps tasks in the log alone, in lines of text, and every value within the
	// limits that the state service may come to. Gangs need it.
	FormatPacked FormatLevel = 1
	// NewestFormatLevel is the newest that this program can read and write.
	NewestFormatLevel = FormatPacked
)

// tokenCounterBits is the room for the fence counter below the term in an Epoch.
const tokenCounterBits = 20

// MakeFencingToken puts the term above the worker's fence counter.
func MakeFencingToken(term Term, counter uint32) FencingToken {
	return FencingToken(uint64(term)<<tokenCounterBits | uint64(counter)&(1<<tokenCounterBits-1))
}

// Term returns the term that an epoch was made in.
func (t FencingToken) Term() Term { return Term(t >> tokenCounterBits) }

// ErrMalformed is returned for a name that does not have its form.
var ErrMalformed = errors.New("malformed name")

// ParseJobID checks the form j-000412.
func ParseJobID(s string) (JobID, error) {
	digits, ok := strings.CutPrefix(s, "j-")
	if !ok || len(digits) < 1 || len(digits) > 20 {
		return "", ErrMalformed
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return "", ErrMalformed
		}
	}
	return JobID(s), nil
}

// TaskID names one task of a job, as in j-000412/3.
type TaskID struct {
	Job   JobID
	Index int
}

func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// MarshalText writes the piece's name.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText reads a piece's name.
func (t *TaskID) UnmarshalText(b []byte) error {
	job, index, ok := strings.Cut(string(b), "/")
	if !ok {
		return fmt.Errorf("piece %q: %w", b, ErrMalformed)
	}
	id, err := ParseJobID(job)
	if err != nil {
		return fmt.Errorf("piece %q: %w", b, err)
	}
	n, err := strconv.Atoi(index)
	if err != nil || n < 0 {
		return fmt.Errorf("piece %q: %w", b, ErrMalformed)
	}
	t.Job, t.Index = id, n
	return nil
}
