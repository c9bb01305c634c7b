package linktracker

import "opaldale/internal/links"

// ForgetEmptyZones forgets the links to zones without machines. The last command to a zone's last machine was not
// answered since that was being terminated, which says nothing of the next machine there: remembered, the
// zone would count as down when that comes.
func (t *Tracker) ForgetEmptyZones(machines map[string]int) {
	for _, endpoint := range t.monitor.Endpoints() {
		if endpoint.Kind == links.Machines && machines[endpoint.Name] == 0 {
			t.monitor.Forget(endpoint)
			delete(t.probes.targets, endpoint.Name)
		}
	}
}

// ZoneUnreachable reports whether no node is known to reach a zone's machines: neither this one nor any peer, by
// its own account.
func (t *Tracker) ZoneUnreachable(zone string) bool {
	endpoint := machinesEndpoint(zone)
	for _, direction := range directions {
		if t.monitor.Verdict(endpoint, direction).State == links.Up {
			return false
		}
	}
	return !t.anyPeerReaches(endpoint)
}

// ZoneReachedByPeersOnly reports whether a peer reaches a zone's machines, and this node doesn't.
func (t *Tracker) ZoneReachedByPeersOnly(zone string) bool {
	endpoint := machinesEndpoint(zone)
	return t.monitor.Verdict(endpoint, links.Outbound).State == links.Down && t.anyPeerReaches(endpoint)
}

// anyPeerReaches reports whether a peer has a link that works in either direction.
func (t *Tracker) anyPeerReaches(endpoint links.Endpoint) bool {
	for _, advertisement := range t.advertisements.Advertisements(t.env.Now()) {
		if link := advertisement.Link(endpoint); link.Out == links.Up || link.In == links.Up {
			return true
		}
	}
	return false
}

// ZoneHealthy reports whether nothing speaks against the links to a zone's machines.
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
