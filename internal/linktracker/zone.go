package linktracker

// This file answers questions about the links to the machines of a zone.

import "opaldale/internal/links"

// ForgetEmptyZones forgets the links to zones without machines, given the number of machines in each zone. A terminated
// machine may have left a command unanswered, for which the link would count as down when the zone gets its next
// machine.
func (t *Tracker) ForgetEmptyZones(machines map[string]int) {
	for _, endpoint := range t.monitor.Endpoints() {
		if endpoint.Kind == links.Machines && machines[endpoint.Name] == 0 {
			t.monitor.Forget(endpoint)
			delete(t.probes.targets, endpoint.Name)
		}
	}
}

// ZoneUnreachable reports whether neither this node nor any peer, by its advertisement, has a working link to a zone's
// machines.
func (t *Tracker) ZoneUnreachable(zone string) bool {
	endpoint := machinesEndpoint(zone)
	for _, direction := range directions {
		if t.monitor.Verdict(endpoint, direction).State == links.Up {
			return false
		}
	}
	return !t.anyPeerReaches(endpoint)
}

// ZoneReachedByPeersOnly reports whether a peer reaches a zone's machines, and this node can't send to them.
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
