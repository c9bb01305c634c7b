// Package upgrade raises the format level of stored data once every node runs a program version that can
// decode the new format. Until then, during a rolling upgrade, nodes of the old and the new version share
// data in the earlier format.
//
// The package and the earlier formats can be removed once no deployment stores data at a level below
// ident.FormatPacked.
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

// Port gives the package access to timers and to the key-value store. Responses and timers must not run
// concurrently.
type Port interface {
	After(time.Duration, func())
	Store(kvstore.Request, func(kvstore.Response))
}

// State is the progress of a Raiser.
type State uint8

// The states of a Raiser.
const (
	Mixed   State = iota // no poll has yet found that all nodes can decode the newest level
	Raising              // the newest level is being written
	Raised               // the newest level is durable
)

// String returns the name of the state in logs.
func (s State) String() string { return enum.Name(stateNames[:], s, "state") }

var stateNames = [...]string{"mixed", "raising", "raised"}

// Config is the configuration of a Raiser. All fields are required.
type Config struct {
	Port      Port
	Term      ident.Term
	LeaderKey kvstore.Compare // leader key as written when the term began
	Nodes     []ident.NodeID  // all nodes of the cluster
	// Persist writes a document and calls the given function once the document is durable.
	Persist func(*commit.Document, func())
	// OnRaised is called once the newest level is durable.
	OnRaised func()
}

// Raiser raises the format level for the leader of one term. It is not safe for concurrent use.
type Raiser struct {
	config   Config
	document *commit.Document
	state    State
	closed   bool
}

// New returns the Raiser of a term. The caller starts it with Poll.
func New(config Config) *Raiser {
	return &Raiser{
		config: config,
		document: &commit.Document{
			Key: election.TermKey,
			// The election writes the term key and the leader key in one transaction, so both have this revision.
			Revision: config.LeaderKey.Revision,
			Render:   func() json.RawMessage { return election.EncodeTerm(config.Term, ident.NewestFormatLevel) },
		},
	}
}

// State returns the progress of the upgrade.
func (r *Raiser) State() State { return r.state }

// Close stops polling. The caller must call it at the end of the term.
func (r *Raiser) Close() { r.closed = true }

// setState changes the state and logs the change. No other function changes the state.
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

// raise writes the newest level. The callback does not check closed, because Persist calls nothing after the end
// of the term.
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
