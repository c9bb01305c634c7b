package links

import (
	"time"

	"opaldale/internal/ident"
)

// LinkState is what an advertisement says of one link of its origin.
type LinkState struct {
	Endpoint Endpoint
	In, Out  State
	Refusing bool // the endpoint answers, but does not serve the origin
	Damped   bool // either direction is suppressed by flap damping
}

// usable reports whether the link is known to carry requests that are served.
func (l LinkState) usable() bool { return l.Out == Up && l.In != Down && !l.Refusing }

// broken reports whether the link is known not to.
func (l LinkState) broken() bool { return l.Out == Down || l.In == Down || l.Refusing }

// ProbeTarget is a machine to which peers may send a request, to judge their own links to its zone.
type ProbeTarget struct {
	Zone    string
	Address string // host:port of the machine's worker
}

// Advertisement is a node's report on its own links.
type Advertisement struct {
	Origin ident.NodeID
	// Incarnation tells the processes of a node apart; a later process has a larger one.
	Incarnation uint64
	// Sequence increases with each advertisement of a process.
	Sequence uint64
	// Age bounds the time since the advertisement was made. It is carried in milliseconds.
	Age          time.Duration
	Links        []LinkState
	ProbeTargets []ProbeTarget // of a leader, nil otherwise
}

// Link returns the state of a link. Both directions are Unknown if it is not advertised.
func (a *Advertisement) Link(endpoint Endpoint) LinkState {
	for _, l := range a.Links {
		if l.Endpoint == endpoint {
			return l
		}
	}
	return LinkState{Endpoint: endpoint}
}

// newer reports whether the advertisement was made after another one of the same origin.
func (a *Advertisement) newer(other *Advertisement) bool {
	if a.Incarnation != other.Incarnation {
		return a.Incarnation > other.Incarnation
	}
	return a.Sequence > other.Sequence
}

// Advertisement returns the advertisement of the monitor's own node.
func (m *Monitor) Advertisement(origin ident.NodeID, incarnation, sequence uint64) Advertisement {
	advertisement := Advertisement{Origin: origin, Incarnation: incarnation, Sequence: sequence}
	for _, endpoint := range m.Endpoints() {
		in := m.Verdict(endpoint, Inbound)
		out := m.Verdict(endpoint, Outbound)
		advertisement.Links = append(advertisement.Links, LinkState{
			Endpoint: endpoint,
			In:       in.State,
			Out:      out.State,
			Refusing: m.Refusing(endpoint),
			Damped:   in.Damped || out.Damped,
		})
	}
	return advertisement
}
