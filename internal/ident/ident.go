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

// Mono is a reading of the steady clock, counted from the start of the process.
type Mono time.Duration

// Never lies beyond every reading of the steady clock.
const Never = Mono(1<<63 - 1)

// Add returns the reading d later.
func (m Mono) Add(d time.Duration) Mono { return m + Mono(d) }

// Sub returns the time that passed from o to m.
func (m Mono) Sub(o Mono) time.Duration { return time.Duration(m - o) }

type (
	// NodeID names a controller.
	NodeID string
	// HostID names a rented machine.
	HostID string
	// JobID names a job; users choose it.
	JobID string
	// Term counts elections.
	Term uint64
	// Epoch is the token that entitles to command a worker.
	Epoch uint64
	// Session counts the sessions of a worker.
	Session uint64
	// Serial orders the messages of one session of a worker.
	Serial uint64
	// Stamp is the revision of a key's last change; 0: the key does not exist.
	Stamp uint64
	// Attempt counts the attempts at a task.
	Attempt uint64
	// Level is the format of what is stored, once all nodes can read it; 0: that of
	// the first version.
	Level uint8
)

// The format levels. What reads and writes the format below Packed is marked in the
// code as of the first format; it can go, with package upgrade, once no deployment is
// below that level.
const (
	// Packed keeps tasks in the log alone, in lines of text, and every value within the
	// limits that the state service may come to. Gangs need it.
	Packed Level = 1
	// NewestLevel is the newest that this program can read and write.
	NewestLevel = Packed
)

// fenceBits is the room for the fence counter below the term in an Epoch.
const fenceBits = 20

// MakeEpoch puts the term above the worker's fence counter.
func MakeEpoch(t Term, fence uint32) Epoch {
	return Epoch(uint64(t)<<fenceBits | uint64(fence)&(1<<fenceBits-1))
}

// Term returns the term that an epoch was made in.
func (e Epoch) Term() Term { return Term(e >> fenceBits) }

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

func (p TaskID) String() string { return string(p.Job) + "/" + strconv.Itoa(p.Index) }

// MarshalText writes the piece's name.
func (p TaskID) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a piece's name.
func (p *TaskID) UnmarshalText(b []byte) error {
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
	p.Job, p.Index = id, n
	return nil
}
