package controller

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/handover"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/links"
	"opaldale/internal/transport"
	"opaldale/internal/upgrade"
	"opaldale/internal/workers"
)

const (
	// evaluateInterval paces the verdicts on links.
	evaluateInterval = 250 * time.Millisecond
	// probeStoreAfter, probeMachinesAfter and probeCloudAfter are how long a link goes
	// without any traffic before it is probed.
	probeStoreAfter    = time.Second
	probeMachinesAfter = 1500 * time.Millisecond
	probeCloudAfter    = 5 * time.Second
	// zoneProbeOverdueAfter is how long a machine may take to answer before others of its zone are
	// asked, so that one lost machine is not taken for a lost zone.
	zoneProbeOverdueAfter = 300 * time.Millisecond
	// zoneProbeInterval paces the questions to all witnesses of a zone while one of its machines is
	// late.
	zoneProbeInterval = 500 * time.Millisecond
	// sampleInterval paces the reports that a follower reads to learn their zone.
	sampleInterval = 500 * time.Millisecond
	// capabilityCheckInterval paces the look for siblings that can read frames about links.
	capabilityCheckInterval = 3 * time.Second
	// dampedCandidacyDelay is for how long a node whose own link to the state service is damped lets
	// others claim the lead first.
	dampedCandidacyDelay = 2 * time.Second
	// probeTargetsPerZone is how many machines of each zone a leader names to its siblings.
	probeTargetsPerZone = 3
	// maxProbeTargetZones bounds the zones of which it does.
	maxProbeTargetZones = links.MaxProbeTargets / probeTargetsPerZone
)

var (
	storeEndpoint = links.Endpoint{Kind: links.KVStore}
	cloudEndpoint = links.Endpoint{Kind: links.Cloud}
)

func peerEndpoint(n ident.NodeID) links.Endpoint {
	return links.Endpoint{Kind: links.PeerNode, Name: string(n)}
}

func machinesEndpoint(zone string) links.Endpoint {
	return links.Endpoint{Kind: links.Machines, Name: zone}
}

// linkTracker is what a node knows of its own links and of its siblings'.
type linkTracker struct {
	controller             *Controller
	monitor                *links.Monitor
	advertisements         *links.Database
	leaderHistory          handover.History
	incarnation            uint64
	sequence               uint64
	linkCapable            map[ident.NodeID]bool // siblings that can read frames about links
	capabilityCheckedAt    ident.MonotonicTime   // when those were last looked for
	capabilityCheckPending bool
	sampledAt              ident.MonotonicTime // when a report was last read for its zone
	probeTargets           map[string][]links.ProbeTarget
	zoneProbedAt           map[string]ident.MonotonicTime // when all witnesses of a zone were last asked
	droppedByReason        map[links.MergeResult]uint64   // rows that were not taken
	droppedUndated         uint64                         // messages of rows that echoed nothing of this node
	handoverRecords        []HandoverRecord
	handoverCount          uint64 // terms that were ended by choice
}

// newLinkTracker makes the view of a node; its own clock and the wall clock at its start tell
// its processes apart.
func newLinkTracker(c *Controller) *linkTracker {
	tuning := c.settings.Tuning.Links
	v := &linkTracker{
		controller:      c,
		monitor:         links.NewMonitor(links.Config{SuspectGrace: tuning.SuspectAfter, HalfLife: tuning.PenaltyHalfLife}),
		incarnation:     uint64(max(1, c.env.WallMS())),
		linkCapable:     map[ident.NodeID]bool{},
		probeTargets:    map[string][]links.ProbeTarget{},
		zoneProbedAt:    map[string]ident.MonotonicTime{},
		droppedByReason: map[links.MergeResult]uint64{},
	}
	v.advertisements = links.NewDatabase(c.peerIDs())
	v.monitor.Watch(storeEndpoint)
	v.monitor.Watch(cloudEndpoint)
	for _, n := range c.peerIDs() {
		v.monitor.Watch(peerEndpoint(n))
	}
	return v
}

// monitoredEnv is the world of a node whose links are watched: what is sent and answered is
// evidence.
type monitoredEnv struct {
	Env
	tracker *linkTracker
}

// Store sends a request to the state service. A long poll says nothing by taking long.
func (e monitoredEnv) Store(r kvstore.Request, done func(kvstore.Response)) {
	if r.Op == kvstore.Watch {
		e.Env.Store(r, done)
		return
	}
	sent := e.Now()
	e.tracker.monitor.Sent(storeEndpoint, sent)
	e.Env.Store(r, func(response kvstore.Response) {
		switch {
		case response.Outcome == kvstore.Unavailable:
			e.tracker.monitor.AnsweredWithError(storeEndpoint, sent, e.Now())
		case response.Outcome != kvstore.NoAnswer:
			e.tracker.monitor.Answered(storeEndpoint, sent, e.Now())
		case response.ConnectionRefused:
			e.tracker.monitor.ConnectionRefused(storeEndpoint, e.Now())
		}
		done(response)
	})
}

// Cloud sends a request to the cloud.
func (e monitoredEnv) Cloud(r cloud.Request, done func(cloud.Response)) {
	sent := e.Now()
	e.tracker.monitor.Sent(cloudEndpoint, sent)
	e.Env.Cloud(r, func(response cloud.Response) {
		switch {
		case response.Outcome == cloud.NotSent:
			e.tracker.monitor.Unsent(cloudEndpoint, sent)
		case response.Outcome == cloud.Unavailable:
			e.tracker.monitor.AnsweredWithError(cloudEndpoint, sent, e.Now())
		case response.Outcome != cloud.NoAnswer:
			e.tracker.monitor.Answered(cloudEndpoint, sent, e.Now())
		case response.ConnectionRefused:
			e.tracker.monitor.ConnectionRefused(cloudEndpoint, e.Now())
		}
		done(response)
	})
}

// Worker sends a command to a machine. A refused connection is that machine's matter, not
// its zone's, and shows that the network carries both ways.
func (e monitoredEnv) Worker(command workers.CommandCall, done func(workers.CommandResult)) {
	if command.Zone == "" {
		e.Env.Worker(command, done)
		return
	}
	zone, sent := machinesEndpoint(command.Zone), e.Now()
	e.tracker.monitor.Sent(zone, sent)
	e.Env.Worker(command, func(response workers.CommandResult) {
		switch {
		case response.NotSent:
			e.tracker.monitor.Unsent(zone, sent)
		case response.Status != 0 || response.ConnectionRefused:
			e.tracker.monitor.Answered(zone, sent, e.Now())
		}
		done(response)
	})
}

// evaluate brings the verdicts up to date, probes what carries no traffic, and has a leader
// compare itself with its siblings; again and again, once it is called.
func (v *linkTracker) evaluate() {
	now := v.controller.env.Now()
	for _, change := range v.monitor.Evaluate(now) {
		logVerdictChange(change)
	}
	v.probeIdleLinks(now)
	v.refreshCapabilities(now)
	if l := v.controller.leader; l != nil && l.loaded() {
		l.evaluateHandover(now)
	}
	v.controller.updateAuthority()
	v.controller.env.After(evaluateInterval, v.evaluate)
}

// logVerdictChange writes one line for each change of a verdict; those that are only a suspicion
// matter to nobody but who looks for them.
func logVerdictChange(change links.VerdictChange) {
	level := slog.LevelInfo
	if change.From.State != links.Down && change.To.State != links.Down {
		level = slog.LevelDebug
	}
	slog.Log(context.Background(), level, "link", "peer", change.Endpoint.String(), "direction", change.Direction.String(),
		"from", change.From.State.String(), "to", change.To.State.String(), "evidence", change.To.Evidence.String(), "damped", change.To.Damped)
}

// probeIdleLinks asks where there is no traffic to judge by.
func (v *linkTracker) probeIdleLinks(now ident.MonotonicTime) {
	if v.monitor.Idle(storeEndpoint, now, probeStoreAfter) {
		v.controller.probeStore()
	}
	if v.monitor.Idle(cloudEndpoint, now, probeCloudAfter) {
		v.controller.env.Cloud(cloud.Request{Op: cloud.Catalog}, func(cloud.Response) {})
	}
	byZone := v.probeTargetsByZone(now)
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		link, witnesses := machinesEndpoint(zone), byZone[zone]
		switch {
		case len(witnesses) == 0:
		case v.monitor.Overdue(link, now) > zoneProbeOverdueAfter:
			if now.Sub(v.zoneProbedAt[zone]) < zoneProbeInterval {
				continue
			}
			v.zoneProbedAt[zone] = now
			for _, w := range witnesses {
				v.probeMachine(w)
			}
		case v.monitor.Idle(link, now, probeMachinesAfter):
			v.probeMachine(witnesses[v.controller.rng.IntN(len(witnesses))])
		}
	}
}

// probeMachine sends a machine a command without orders, under no token: it is answered with a report
// and carried out by nobody.
func (v *linkTracker) probeMachine(target links.ProbeTarget) {
	command := workers.CommandCall{Addr: target.Address, Zone: target.Zone, Body: api.CommandRequest{Incarnation: 1, Commands: []api.Command{}}}
	v.controller.env.Worker(command, func(a workers.CommandResult) {
		if a.Status == 0 {
			v.removeProbeTarget(target)
		}
	})
}

// removeProbeTarget forgets a witness that didn't answer: it may be gone. (With one of two gone, its zone
// was found down for the other's being asked too seldom, and the lead moved for it.)
func (v *linkTracker) removeProbeTarget(target links.ProbeTarget) {
	v.probeTargets[target.Zone] = slices.DeleteFunc(v.probeTargets[target.Zone], func(other links.ProbeTarget) bool { return other == target })
}

// probeTargetsByZone returns, by zone, machines that this node may ask: those whose reports came
// here, and those that the leader names.
func (v *linkTracker) probeTargetsByZone(now ident.MonotonicTime) map[string][]links.ProbeTarget {
	byZone := map[string][]links.ProbeTarget{}
	for zone, list := range v.probeTargets {
		byZone[zone] = append(byZone[zone], list...)
	}
	if v.controller.leader != nil {
		return byZone
	}
	for _, r := range v.advertisements.Advertisements(now) {
		for _, w := range r.ProbeTargets {
			byZone[w.Zone] = append(byZone[w.Zone], w)
		}
	}
	return byZone
}

// noteWorkerHeartbeat notes a machine's report; one that came from the machine itself shows that its
// zone is heard.
func (v *linkTracker) noteWorkerHeartbeat(heartbeat *api.Heartbeat, direct bool) {
	if direct {
		v.monitor.Received(machinesEndpoint(heartbeat.Zone), v.controller.env.Now())
	}
	target := links.ProbeTarget{Zone: heartbeat.Zone, Address: heartbeat.Addr}
	targets := v.probeTargets[heartbeat.Zone]
	for _, known := range targets {
		if known == target {
			return
		}
	}
	if len(targets) >= probeTargetsPerZone {
		targets = targets[1:]
	}
	v.probeTargets[heartbeat.Zone] = append(targets, target)
}

// sampleWorkerHeartbeat reads some of the reports that a follower passes on.
func (v *linkTracker) sampleWorkerHeartbeat(body []byte) {
	now := v.controller.env.Now()
	if now.Sub(v.sampledAt) < sampleInterval {
		return
	}
	v.sampledAt = now
	if heartbeat, err := api.ParseHeartbeat(body); err == nil {
		v.noteWorkerHeartbeat(heartbeat, true)
	}
}

// refreshCapabilities looks for siblings that can read frames about links, until all can.
func (v *linkTracker) refreshCapabilities(now ident.MonotonicTime) {
	if v.capabilityCheckPending || len(v.linkCapable) == len(v.controller.peers) && v.controller.formatLevel >= ident.FormatPacked || v.capabilityCheckedAt > 0 && now.Sub(v.capabilityCheckedAt) < capabilityCheckInterval {
		return
	}
	v.capabilityCheckedAt, v.capabilityCheckPending = now, true
	v.controller.env.Store(kvstore.Request{Op: kvstore.List, Prefix: upgrade.NodeKeyPrefix, Timeout: storeTimeout}, func(r kvstore.Response) {
		v.capabilityCheckPending = false
		if r.Outcome != kvstore.OK {
			return
		}
		for n, frames := range upgrade.FrameCapabilities(r.KeyValues) {
			if v.controller.peers[n] != nil && frames >= transport.LinkStateCapability {
				v.linkCapable[n] = true
			}
		}
	})
	if v.controller.formatLevel < ident.FormatPacked {
		v.controller.refreshFormatLevel(func() {})
	}
}

// supportsLinks says whether a sibling can be told of links.
func (v *linkTracker) supportsLinks(n ident.NodeID) bool {
	return v.linkCapable[n] && v.controller.formatLevel >= ident.FormatPacked
}

// ownAdvertisement makes this node's row.
func (v *linkTracker) ownAdvertisement(now ident.MonotonicTime) links.Advertisement {
	v.sequence++
	advertisement := v.monitor.Advertisement(v.controller.settings.Node, v.incarnation, v.sequence)
	advertisement.Links = advertisement.Links[:min(len(advertisement.Links), links.MaxLinks)]
	if v.controller.leader == nil {
		return advertisement
	}
	zones := slices.Sorted(maps.Keys(v.probeTargets))
	for _, zone := range zones[:min(len(zones), maxProbeTargetZones)] {
		advertisement.ProbeTargets = append(advertisement.ProbeTargets, v.probeTargets[zone]...)
	}
	return advertisement
}

// sendAdvertisements tells a sibling this node's row, and those of the others.
func (v *linkTracker) sendAdvertisements(peerID ident.NodeID, ownAdvertisement links.Advertisement, now ident.MonotonicTime) {
	if !v.supportsLinks(peerID) {
		return
	}
	advertisements := []links.Advertisement{ownAdvertisement}
	for _, received := range v.advertisements.Advertisements(now) {
		if received.Origin != peerID && len(advertisements) < links.MaxAdvertisements {
			received.ProbeTargets = nil
			advertisements = append(advertisements, received)
		}
	}
	v.controller.env.SendPeer(peerID, &transport.Frame{Type: transport.MsgLinkState, ID: v.controller.peers[peerID].lastHeartbeatID, LinkState: advertisements})
}

// mergeAdvertisements merges the rows that a sibling sends. They were made after it had heard the heartbeat
// that it names; without one of ours of late there is nothing to date them by.
func (v *linkTracker) mergeAdvertisements(frame *transport.Frame) {
	now := v.controller.env.Now()
	sentAt, ok := v.controller.sentHeartbeats.SentAt(frame.ID)
	if !ok {
		v.droppedUndated++
		return
	}
	for _, advertisement := range frame.LinkState {
		advertisement.Age += now.Sub(sentAt)
		if result := v.advertisements.Merge(advertisement, now); result != links.Accepted && advertisement.Origin != v.controller.settings.Node {
			v.droppedByReason[result]++
		}
	}
}

// candidacyDelay returns for how long others may claim the lead first.
func (v *linkTracker) candidacyDelay() time.Duration {
	if v.monitor.Verdict(storeEndpoint, links.Outbound).Damped {
		return dampedCandidacyDelay
	}
	return 0
}

// relayFor returns a sibling that reaches a node which this one doesn't, by its own word.
func (v *linkTracker) relayFor(to ident.NodeID) (ident.NodeID, bool) {
	now := v.controller.env.Now()
	for _, r := range v.advertisements.Advertisements(now) {
		if r.Origin == to || !v.supportsLinks(r.Origin) || !v.controller.reachable(r.Origin) || v.countsAsDown(r.Origin) {
			continue
		}
		if l := r.Link(peerEndpoint(to)); l.In == links.Up && l.Out == links.Up {
			return r.Origin, true
		}
	}
	return "", false
}

// downDuration returns for how long the link to a sibling has counted as down in either
// direction, and whether it does.
func (v *linkTracker) downDuration(n ident.NodeID) (longest time.Duration, down bool) {
	now := v.controller.env.Now()
	for _, direction := range []links.Direction{links.Inbound, links.Outbound} {
		if verdict := v.monitor.Verdict(peerEndpoint(n), direction); verdict.State == links.Down {
			longest, down = max(longest, now.Sub(verdict.Since)), true
		}
	}
	return longest, down
}

// countsAsDown says whether the link to a sibling counts as down, though it may pass messages at
// this moment: it may be damped for breaking again and again.
func (v *linkTracker) countsAsDown(n ident.NodeID) bool {
	_, down := v.downDuration(n)
	return down
}

// forgetEmptyZones forgets the links to zones without machines: the last command to the last one
// was not answered since that was being returned, and says nothing of the next one. (The zone
// was found down when its next machine came, and the lead moved for it.)
func (v *linkTracker) forgetEmptyZones(machines map[string]int) {
	for _, p := range v.monitor.Endpoints() {
		if p.Kind == links.Machines && machines[p.Name] == 0 {
			v.monitor.Forget(p)
			delete(v.probeTargets, p.Name)
		}
	}
}
