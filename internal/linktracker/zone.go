package linktracker

// This file evaluates the links to the machines of a zone.

import "opaldale/internal/links"

// ForgetEmptyZones removes the links to zones without machines, given the number of machines in each zone. Otherwise a
// command that a terminated machine left unanswered would make the link count as down when the zone gets its next machine.
func (t *Tracker) ForgetEmptyZones(machines map[string]int) {
	for _, endpoint := range t.monitor.Endpoints() {
		if endpoint.Kind == links.Machines && machines[endpoint.Name] == 0 {
			t.monitor.Forget(endpoint)
			delete(t.probes.targets, endpoint.Name)
		}
	}
}

// ZoneUnreachable reports whether no link to a zone's machines is up in any direction, neither from this node nor, according
// to its advertisement, from any peer.
func (t *Tracker) ZoneUnreachable(zone string) bool {
	endpoint := machinesEndpoint(zone)
	for _, direction := range directions {
		if t.monitor.Verdict(endpoint, direction).State == links.Up {
			return false
		}
	}
	return !t.anyPeerReaches(endpoint)
}

// ZoneReachedByPeersOnly reports whether this node's outbound link to a zone's machines is down while a peer advertises a
// link to them that is up.
func (t *Tracker) ZoneReachedByPeersOnly(zone string) bool {
	endpoint := machinesEndpoint(zone)
	return t.monitor.Verdict(endpoint, links.Outbound).State == links.Down && t.anyPeerReaches(endpoint)
}

// anyPeerReaches reports whether a peer advertises a link to an endpoint that is up in either direction.
func (t *Tracker) anyPeerReaches(endpoint links.Endpoint) bool {
	for _, advertisement := range t.advertisements.Advertisements(t.env.Now()) {
		if link := advertisement.Link(endpoint); link.Out == links.Up || link.In == links.Up {
			return true
		}
	}
	return false
}

// ZoneHealthy reports whether the link to a zone's machines is neither damped, suspect nor down in either direction.
func (t *Tracker) ZoneHealthy(zone string) bool {
	if t == nil {
		return true
	}
	for _, direction := range directions {
		verdict := t.monitor.Verdict(machinesEndpoint(zone), direction)
		if verdict.Damped || verdict.State == links.Suspect || verdict.State == links.Down {
			return false
		}
	}
	return true
}
