// Package upgrade raises the format level of stored data once every node runs a version that can decode
// it. Until then nodes of the old and the new version share the data.
//
// It is needed as long as some deployment stores data of a level below ident.FormatPacked. After that
// the package and the earlier formats can be removed.
package upgrade

import (
	"encoding/json"
	"log/slog"
	"time"

	"opaldale/internal/commit"
	"opaldale/internal/election"
	"opaldale/internal/enum"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

const (
	callTimeout  = time.Second
	pollInterval = 500 * time.Millisecond
)

// Port is the environment of the package. Responses and timers must not run concurrently.
type Port interface {
	After(time.Duration, func())
	Store(kvstore.Request, func(kvstore.Response))
}

// State is the progress of a Raiser.
type State uint8

// The states of a Raiser.
const (
	Mixed   State = iota // not all nodes are known to decode the newest level
	Raising              // the newest level is being written
	Raised               // the newest level is durable
)

// String returns the state's name in logs.
func (s State) String() string { return enum.Name(stateNames[:], s, "state") }

var stateNames = [...]string{"mixed", "raising", "raised"}

// Config is the configuration of a Raiser. All fields are required.
type Config struct {
	Port      Port
	Term      ident.Term
	LeaderKey kvstore.Compare // as written when the term began
	Nodes     []ident.NodeID  // all nodes of the cluster
	// Persist writes a document and calls the function once it is durable.
	Persist func(*commit.Document, func())
	// OnRaised is called once the newest level is durable.
	OnRaised func()
}

// Raiser raises the format level on behalf of a leader during one term. It is not safe for concurrent use.
type Raiser struct {
	config   Config
	document *commit.Document
	state    State
	closed   bool
}

// New returns the raiser of a term. Poll starts it.
func New(config Config) *Raiser {
	return &Raiser{
		config: config,
		document: &commit.Document{
			Key: election.TermKey,
			// The election writes the term key and the leader key in one transaction.
			Revision: config.LeaderKey.Revision,
			Render:   func() json.RawMessage { return election.EncodeTerm(config.Term, ident.NewestFormatLevel) },
		},
	}
}

// State returns the progress.
func (r *Raiser) State() State { return r.state }

// Close stops polling. It must be called at the end of the term.
func (r *Raiser) Close() { r.closed = true }

// setState is the only function that changes the state.
func (r *Raiser) setState(next State) {
	slog.Info("format level state changed", "from", r.state.String(), "to", next.String())
	r.state = next
}

// Poll reads the announcements every pollInterval until all nodes can decode the newest level, and then
// raises the level.
func (r *Raiser) Poll() {
	if !r.polling() {
		return
	}
	request := kvstore.Request{Op: kvstore.List, Prefix: NodeKeyPrefix, Timeout: callTimeout}
	r.config.Port.Store(request, func(response kvstore.Response) {
		switch {
		case !r.polling():
		case response.Outcome == kvstore.OK && r.allCapable(decodeAnnouncements(response.KeyValues)):
			r.raise()
		default:
			r.config.Port.After(pollInterval, r.Poll)
		}
	})
}

func (r *Raiser) polling() bool { return !r.closed && r.state == Mixed }

// raise writes the newest level. Persist makes no callbacks after the end of the term, so that closed
// need not be checked.
func (r *Raiser) raise() {
	r.setState(Raising)
	r.config.Persist(r.document, func() {
		r.setState(Raised)
		r.config.OnRaised()
	})
}

// allCapable reports whether every node has announced that it can decode the newest level.
func (r *Raiser) allCapable(announcements map[ident.NodeID]announcement) bool {
	for _, node := range r.config.Nodes {
		if announcements[node].Level < ident.NewestFormatLevel {
			return false
		}
	}
	return true
}
