// Package upgrade raises the format level of what is stored once every node runs a
// program that can read it: until then old and new nodes work on the same data.
//
// It is needed while nodes of a version before the level may come back. Once no
// deployment is below ident.Packed, the package and the formats of before can go.
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
	"opaldale/internal/mesh"
	"opaldale/internal/statesvc"
)

// Prefix is where nodes announce themselves. Versions before the first level never
// read it.
const Prefix = "nodes/"

// notice is the value of a node's key.
type notice struct {
	Level  ident.Level `json:"level"`            // the newest that the node can read
	Frames int         `json:"frames,omitempty"` // of optional frames between nodes, what it can read
}

// newest is what this program can read.
var newest = notice{Level: ident.NewestLevel, Frames: mesh.LinksCapability}

// covers says whether a node can read all that another notice names.
func (n notice) covers(o notice) bool { return n.Level >= o.Level && n.Frames >= o.Frames }

const (
	callTime = time.Second
	again    = time.Second
	look     = 500 * time.Millisecond
)

// Port is what the package needs of the world.
type Port interface {
	After(time.Duration, func())
	State(statesvc.Request, func(statesvc.Reply))
}

// Announce says in the state service that a node runs this program, and repeats
// that until it is known to be there. What has been said stays: a node that ends
// later comes back with the same program.
func Announce(port Port, rng *rand.Rand, node ident.NodeID) {
	path := Prefix + string(node)
	later := func() {
		port.After(again+time.Duration(rng.Int64N(int64(again))), func() { Announce(port, rng, node) })
	}
	port.State(statesvc.Request{Op: statesvc.Get, Path: path, Timeout: callTime}, func(r statesvc.Reply) {
		switch r.Outcome {
		case statesvc.OK:
			var n notice
			if json.Unmarshal(r.Value, &n) == nil && n.covers(newest) {
				return
			}
		case statesvc.NotFound:
			r.Stamp = 0
		default:
			later()
			return
		}
		value, err := json.Marshal(newest)
		if err != nil {
			panic(err)
		}
		port.State(statesvc.Request{Op: statesvc.Txn, Timeout: callTime, If: []statesvc.Cond{{Path: path, Stamp: r.Stamp}},
			Then: []statesvc.Change{{Put: path, Value: value}}}, func(r statesvc.Reply) {
			if r.Outcome != statesvc.OK {
				later() // to see whether it was carried out
			}
		})
	})
}

// FramesOf returns, of the nodes that have announced themselves, what optional frames they
// can read.
func FramesOf(pairs []statesvc.Pair) map[ident.NodeID]int {
	frames := map[ident.NodeID]int{}
	for _, p := range pairs {
		var n notice
		name, ok := strings.CutPrefix(p.Path, Prefix)
		if ok && json.Unmarshal(p.Value, &n) == nil {
			frames[ident.NodeID(name)] = n.Frames
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

// Raiser is a leader's part: it lives for one term.
type Raiser struct {
	port  Port
	nodes []ident.NodeID
	doc   *commit.Doc
	write func(*commit.Doc, func())
	done  func()
	state State
	dead  bool
}

// New makes the raiser of a term. The term's key was last written with the leader
// key; write makes a document durable, compared against that; done is called once
// the level is in force.
func New(port Port, term ident.Term, key statesvc.Cond, nodes []ident.NodeID, write func(*commit.Doc, func()), done func()) *Raiser {
	return &Raiser{port: port, nodes: nodes, write: write, done: done, doc: &commit.Doc{Path: election.TermKey, Stamp: key.Stamp,
		Render: func() json.RawMessage { return election.TermValue(term, ident.NewestLevel) }}}
}

// State returns where it stands.
func (r *Raiser) State() State { return r.state }

// Close ends it with its term.
func (r *Raiser) Close() { r.dead = true }

// to is the one place where the state changes.
func (r *Raiser) to(s State, why string) {
	slog.Info("format level", "from", r.state.String(), "to", s.String(), "why", why)
	r.state = s
}

// Look asks whether all nodes have announced themselves, again and again until they
// have.
func (r *Raiser) Look() {
	if r.dead || r.state != Mixed {
		return
	}
	r.port.State(statesvc.Request{Op: statesvc.List, Starts: Prefix, Timeout: callTime}, func(a statesvc.Reply) {
		if r.dead || r.state != Mixed {
			return
		}
		if a.Outcome == statesvc.OK && r.all(a.Pairs) {
			r.to(Raising, "all nodes can read it")
			r.write(r.doc, func() {
				r.to(Raised, "durable")
				r.done()
			})
			return
		}
		r.port.After(look, r.Look)
	})
}

// all says whether every node of the settings is among those announced.
func (r *Raiser) all(pairs []statesvc.Pair) bool {
	can := map[string]bool{}
	for _, p := range pairs {
		var n notice
		if json.Unmarshal(p.Value, &n) == nil && n.Level >= ident.NewestLevel {
			can[p.Path] = true
		}
	}
	for _, n := range r.nodes {
		if !can[Prefix+string(n)] {
			return false
		}
	}
	return true
}
