package links

import (
	"time"

	"opaldale/internal/ident"
)

// LinkState is the state of one link of the origin of an advertisement.
type LinkState struct {
	Endpoint Endpoint
	In, Out  State
	Refusing bool // the endpoint responds, but refuses to serve the origin
	Damped   bool // either direction is suppressed by flap damping
}

// usable reports whether the evidence shows that requests over the link arrive and are served.
func (l LinkState) usable() bool { return l.Out == Up && l.In != Down && !l.Refusing }

// broken reports whether the evidence shows that requests over the link are lost or refused. A link
// whose state is Unknown or Suspect may be neither usable nor broken.
func (l LinkState) broken() bool { return l.Out == Down || l.In == Down || l.Refusing }

// ProbeTarget is a machine to which peers may send a request to probe their own links to its zone.
type ProbeTarget struct {
	Zone    string
	Address string // host:port of the machine's worker
}

// Advertisement is a node's link state advertisement: the states of its own links.
type Advertisement struct {
	Origin ident.NodeID
	// Incarnation distinguishes the processes of a node. It increases with each process.
	Incarnation uint64
	// Sequence increases with each advertisement of a process.
	Sequence uint64
	// Age is an upper bound on the time since the advertisement was made. It is encoded in
	// milliseconds.
	Age          time.Duration
	Links        []LinkState
	ProbeTargets []ProbeTarget // nil unless the origin is the leader
}

// Link returns the state of the link to an endpoint. Both directions are Unknown if the link is not
// advertised.
func (a *Advertisement) Link(endpoint Endpoint) LinkState {
	for _, l := range a.Links {
		if l.Endpoint == endpoint {
			return l
		}
	}
	return LinkState{Endpoint: endpoint}
}

// newer reports whether the advertisement was made after other, which has the same origin.
func (a *Advertisement) newer(other *Advertisement) bool {
	if a.Incarnation != other.Incarnation {
		return a.Incarnation > other.Incarnation
	}
	return a.Sequence > other.Sequence
}

// Advertisement returns an advertisement with the verdicts of the last Evaluate. origin is the node that
// runs the monitor. The advertisement has Age 0 and no probe targets.
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
