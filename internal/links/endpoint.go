// Package links judges, for every directed link of a node, whether messages still pass: to
// and from the state service, the cloud, each sibling, and the machines of each zone.
//
// A Monitor turns evidence from traffic into a verdict for each direction, with an accrual
// failure detector whose thresholds follow the link's own delays, and with flap damping. A
// View holds what the siblings say of their own links, and Assess compares how well nodes
// are placed to lead. The package is pure: events and times come in, verdicts go out.
package links

import (
	"cmp"
	"fmt"
)

// Kind says what a link leads to.
type Kind uint8

// The kinds of peers.
const (
	KVStore Kind = iota + 1
	Cloud
	PeerNode
	Machines
)

func (k Kind) String() string {
	switch k {
	case KVStore:
		return "state service"
	case Cloud:
		return "cloud"
	case PeerNode:
		return "sibling"
	case Machines:
		return "machines"
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Endpoint is the far end of a link.
type Endpoint struct {
	Kind Kind
	Name string // the sibling's node, or the machines' zone; empty for the services
}

func (p Endpoint) String() string {
	if p.Name == "" {
		return p.Kind.String()
	}
	return p.Kind.String() + " " + p.Name
}

// compare orders peers by kind, then name.
func (p Endpoint) compare(other Endpoint) int {
	return cmp.Or(cmp.Compare(p.Kind, other.Kind), cmp.Compare(p.Name, other.Name))
}

// roundTrip says whether the link carries requests of this node alone. An answer then shows
// that both directions work, and its absence doesn't tell which one is broken.
func (p Endpoint) roundTrip() bool { return p.Kind == KVStore || p.Kind == Cloud }

// Direction is one of the two ways of a link.
type Direction uint8

// The directions, as seen from this node.
const (
	Inbound  Direction = iota // what the peer sends arrives here
	Outbound                  // what this node sends arrives there
)

func (d Direction) String() string { return [...]string{"inbound", "outbound"}[d] }

// State is the verdict on one direction of a link.
type State uint8

// The states of a direction.
const (
	Unknown State = iota // no evidence yet, or none was to be expected
	Up                   // messages pass
	Suspect              // later than usual
	Down                 // so late that a break is all but certain
)

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

var stateNames = [...]string{"unknown", "up", "suspect", "down"}

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Evidence is what a verdict rests on.
type Evidence uint8

// The kinds of evidence, from the strongest sign of a working link to none.
const (
	NoEvidence        Evidence = iota
	Response                   // a request was answered
	Echo                       // the peer repeated something that this node had sent
	Message                    // something came from the peer
	ErrorResponse              // a request was answered with a refusal: the link works, the peer doesn't serve
	ConnectionRefused          // a connection was refused: the peer's host is there, or a filter before it
	Silence                    // nothing came for longer than usual
)

func (e Evidence) String() string {
	if int(e) < len(evidenceNames) {
		return evidenceNames[e]
	}
	return fmt.Sprintf("evidence %d", uint8(e))
}

var evidenceNames = [...]string{"none", "answer", "echo", "message", "error answer", "connection refused", "silence"}

// MarshalText writes the evidence's name.
func (e Evidence) MarshalText() ([]byte, error) { return []byte(e.String()), nil }
