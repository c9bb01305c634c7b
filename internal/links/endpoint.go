// Package links monitors the health of a node's links in each direction. A link leads to the key-value
// store, the cloud provider, a peer, or the machines of a zone.
//
// A Monitor derives a verdict for each direction from the traffic on the link. It uses an accrual
// failure detector, which adapts to the delays of the link, and flap damping. Nodes exchange their
// verdicts as link state advertisements. A Database holds the advertisements of the peers, and
// Cluster.Assess determines which node has the best links for a leader.
//
// The package sends no messages and reads no clock. Its types are not safe for concurrent use.
package links

import (
	"cmp"
	"fmt"

	"opaldale/internal/enum"
)

// Kind is the kind of endpoint at the far end of a link. Its values are part of the wire format.
type Kind uint8

// The kinds of endpoints.
const (
	KVStore  Kind = iota + 1 // the key-value store
	Cloud                    // the cloud provider
	PeerNode                 // another node of the cluster
	Machines                 // all machines of a zone
)

// String returns the kind's name in reports and metrics, where it must not change.
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

func (k Kind) valid() bool { return k >= KVStore && k <= Machines }

// Endpoint is the far end of a link.
type Endpoint struct {
	Kind Kind
	Name string // the peer's node ID or the machines' zone; "" for the key-value store and the cloud
}

// String returns the endpoint's name in reports and metrics.
func (e Endpoint) String() string {
	if e.Name == "" {
		return e.Kind.String()
	}
	return e.Kind.String() + " " + e.Name
}

// compare orders endpoints by kind, then by name.
func (e Endpoint) compare(other Endpoint) int {
	return cmp.Or(cmp.Compare(e.Kind, other.Kind), cmp.Compare(e.Name, other.Name))
}

// roundTrip reports whether the link carries only requests of this node and their responses. A response
// then shows that both directions work, and its absence does not tell which direction is broken.
func (e Endpoint) roundTrip() bool { return e.Kind == KVStore || e.Kind == Cloud }

// Direction is one of the two directions of a link, as seen from this node.
type Direction uint8

// The directions.
const (
	Inbound  Direction = iota // from the endpoint to this node
	Outbound                  // from this node to the endpoint
)

// String returns the direction's name in reports and metrics.
func (d Direction) String() string { return enum.Name(directionNames[:], d, "direction") }

var directionNames = [...]string{"inbound", "outbound"}

// State is the verdict on one direction of a link. Its values are part of the wire format.
type State uint8

// The states of a direction.
const (
	Unknown State = iota // the evidence is not conclusive
	Up                   // messages arrive
	Suspect              // messages are later than usual
	Down                 // messages are far too late, connections are refused, or flap damping suppresses the direction
)

// String returns the state's name in reports and metrics, where it must not change.
func (s State) String() string { return enum.Name(stateNames[:], s, "state") }

var stateNames = [...]string{"unknown", "up", "suspect", "down"}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Evidence is the kind of event that a verdict is based on.
type Evidence uint8

// The kinds of evidence. Those after NoEvidence are ordered from the strongest sign of a working link to the
// weakest.
const (
	NoEvidence        Evidence = iota
	Response                   // the endpoint responded to a request
	Echo                       // the endpoint repeated the ID of a message from this node
	Message                    // the endpoint sent a message
	ErrorResponse              // the endpoint responded that it does not serve this node
	ConnectionRefused          // the endpoint's machine, or a firewall in front of it, refused a connection
	Silence                    // no message or acknowledgment arrived, for longer than the usual delay
)

// String returns the evidence's name in reports, where it must not change.
func (e Evidence) String() string { return enum.Name(evidenceNames[:], e, "evidence") }

var evidenceNames = [...]string{"none", "answer", "echo", "message", "error answer", "connection refused", "silence"}

// MarshalText returns the evidence's name.
func (e Evidence) MarshalText() ([]byte, error) { return []byte(e.String()), nil }
