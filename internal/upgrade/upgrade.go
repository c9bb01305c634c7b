// Package upgrade raises the format level of what is stored once every node runs a
// program that can read it: until then old and new nodes work on the same data.
//
// It is needed while nodes of a version before the level may come back. Once no
// deployment is below ident.FormatPacked, the package and the formats of before can go.
package upgrade

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"opaldale/internal/commit"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
)

// NodeKeyPrefix is where nodes announce themselves. Versions before the first level never
// read it.
const NodeKeyPrefix = "nodes/"

// announcement is the value of a node's key.
type announcement struct {
	Level           ident.FormatLevel `json:"level"`            // the newest that the node can read
	FrameCapability int               `json:"frames,omitempty"` // of optional frames between nodes, what it can read
}

// ownAnnouncement is what this program can read.
var ownAnnouncement = announcement{Level: ident.NewestFormatLevel, FrameCapability: transport.LinkStateCapability}

// covers says whether a node can read all that another notice names.
func (n announcement) covers(other announcement) bool {
	return n.Level >= other.Level && n.FrameCapability >= other.FrameCapability
}

const (
	callTimeout           = time.Second
	announceRetryInterval = time.Second
	pollInterval          = 500 * time.Millisecond
)

// Port is what the package needs of the world.
type Port interface {
	After(time.Duration, func())
	Store(kvstore.Request, func(kvstore.Response))
}

// Announce says in the state service that a node runs this program, and repeats
// that until it is known to be there. What has been said stays: a node that ends
// later comes back with the same program.
func Announce(port Port, rng *rand.Rand, node ident.NodeID) {
	nodeKey := NodeKeyPrefix + string(node)
	retryLater := func() {
		port.After(announceRetryInterval+time.Duration(rng.Int64N(int64(announceRetryInterval))), func() { Announce(port, rng, node) })
	}
	port.Store(kvstore.Request{Op: kvstore.Get, Key: nodeKey, Timeout: callTimeout}, func(r kvstore.Response) {
		switch r.Outcome {
		case kvstore.OK:
			var announced announcement
			if json.Unmarshal(r.Value, &announced) == nil && announced.covers(ownAnnouncement) {
				return
			}
		case kvstore.NotFound:
			r.Revision = 0
		default:
			retryLater()
			return
		}
		value, err := json.Marshal(ownAnnouncement)
		if err != nil {
			panic(err)
		}
		port.Store(kvstore.Request{Op: kvstore.Txn, Timeout: callTimeout, Compares: []kvstore.Compare{{Key: nodeKey, Revision: r.Revision}},
			Mutations: []kvstore.Mutation{{Put: nodeKey, Value: value}}}, func(r kvstore.Response) {
			if r.Outcome != kvstore.OK {
				retryLater() // to see whether it was carried out
			}
		})
	})
}

// FrameCapabilities returns, of the nodes that have announced themselves, what optional frames they
// can read.
func FrameCapabilities(pairs []kvstore.KeyValue) map[ident.NodeID]int {
	frames := map[ident.NodeID]int{}
	for _, p := range pairs {
		var announced announcement
		name, ok := strings.CutPrefix(p.Key, NodeKeyPrefix)
		if ok && json.Unmarshal(p.Value, &announced) == nil {
			frames[ident.NodeID(name)] = announced.FrameCapability
		}
	}
	return frames
}

// State is where a leader's wish to raise the level stands.
type State uint8

// The states of a raise.
const (
	Mixed   State = iota // some node has not announced itself
	Raising              // the new level is being written
	Raised               // it is durable
)

func (s State) String() string { return [...]string{"mixed", "raising", "raised"}[s] }

// Config is what a Raiser needs of the term that it belongs to.
type Config struct {
	Port      Port
	Term      ident.Term
	LeaderKey kvstore.Compare // as written when the term began
	Nodes     []ident.NodeID  // all nodes of the cluster
	// Persist makes a document durable and calls the function once it is.
	Persist func(*commit.Document, func())
	// OnRaised is called once the new level is in force.
	OnRaised func()
}

// Raiser raises the format level on behalf of a leader. It lives for one term.
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

// State returns where it stands.
func (r *Raiser) State() State { return r.state }

// Close ends it with its term.
func (r *Raiser) Close() { r.closed = true }

// setState is the one place where the state changes.
func (r *Raiser) setState(s State, reason string) {
	slog.Info("format level state changed", "from", r.state.String(), "to", s.String(), "reason", reason)
	r.state = s
}

// Poll asks whether all nodes have announced themselves, again and again until they
// have.
func (r *Raiser) Poll() {
	if r.closed || r.state != Mixed {
		return
	}
	r.config.Port.Store(kvstore.Request{Op: kvstore.List, Prefix: NodeKeyPrefix, Timeout: callTimeout}, func(response kvstore.Response) {
		if r.closed || r.state != Mixed {
			return
		}
		if response.Outcome == kvstore.OK && r.allAnnounced(response.KeyValues) {
			r.setState(Raising, "all nodes can read it")
			r.config.Persist(r.document, func() {
				r.setState(Raised, "durable")
				r.config.OnRaised()
			})
			return
		}
		r.config.Port.After(pollInterval, r.Poll)
	})
}

// allAnnounced says whether every node of the settings is among those announced.
func (r *Raiser) allAnnounced(pairs []kvstore.KeyValue) bool {
	capable := map[string]bool{}
	for _, p := range pairs {
		var n announcement
		if json.Unmarshal(p.Value, &n) == nil && n.Level >= ident.NewestFormatLevel {
			capable[p.Key] = true
		}
	}
	for _, n := range r.config.Nodes {
		if !capable[NodeKeyPrefix+string(n)] {
			return false
		}
	}
	return true
}
