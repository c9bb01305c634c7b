package linktracker

// This file probes links that have been idle.

import (
	"maps"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/links"
	"opaldale/internal/workers"
)

const (
	// storeIdleAfter, machinesIdleAfter and cloudIdleAfter are the idle times after which a link is probed.
	storeIdleAfter    = time.Second
	machinesIdleAfter = 1500 * time.Millisecond
	cloudIdleAfter    = 5 * time.Second
	// zoneOverdueAfter is the time without a response from a machine after which all targets of its zone are
	// probed, so that the failure of one machine is not mistaken for a broken link to the zone.
	// zoneProbeInterval is the minimum interval between such probes of a zone.
	zoneOverdueAfter  = 300 * time.Millisecond
	zoneProbeInterval = 500 * time.Millisecond
	// sampleInterval is the minimum interval between worker heartbeats that a follower parses.
	sampleInterval = 500 * time.Millisecond
	// targetsPerZone is the maximum number of probe targets per zone that a node keeps and a leader advertises.
	targetsPerZone = 3
	// maxAdvertisedZones is the maximum number of zones whose probe targets a leader advertises.
	maxAdvertisedZones = links.MaxProbeTargets / targetsPerZone
)

// probes holds the probe targets, and the times of the last probes and samples.
type probes struct {
	targets      map[string][]links.ProbeTarget // by zone: machines whose heartbeats reached this node, also through a peer
	zoneProbedAt map[string]ident.MonotonicTime // when all targets of a zone were last probed
	sampledAt    ident.MonotonicTime            // when a follower last parsed a heartbeat
}

func newProbes() probes {
	return probes{targets: map[string][]links.ProbeTarget{}, zoneProbedAt: map[string]ident.MonotonicTime{}}
}

// probeIdleLinks probes the links that have been idle for longer than their limits.
func (t *Tracker) probeIdleLinks(now ident.MonotonicTime) {
	if t.monitor.Idle(storeEndpoint, now, storeIdleAfter) {
		t.node.ProbeStore()
	}
	if t.monitor.Idle(cloudEndpoint, now, cloudIdleAfter) {
		t.env.Cloud(cloud.Request{Op: cloud.Catalog}, func(cloud.Response) {})
	}
	byZone := t.probeTargetsByZone(now)
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		if targets := byZone[zone]; len(targets) > 0 {
			t.probeZone(zone, targets, now)
		}
	}
}

// probeZone probes one target of a zone whose link is idle, or all targets of a zone with an overdue response.
func (t *Tracker) probeZone(zone string, targets []links.ProbeTarget, now ident.MonotonicTime) {
	link := machinesEndpoint(zone)
	switch {
	case t.monitor.Overdue(link, now) > zoneOverdueAfter:
		if now.Sub(t.probes.zoneProbedAt[zone]) < zoneProbeInterval {
			return
		}
		t.probes.zoneProbedAt[zone] = now
		for _, target := range targets {
			t.probeMachine(target)
		}
	case t.monitor.Idle(link, now, machinesIdleAfter):
		t.probeMachine(targets[t.rng.IntN(len(targets))])
	}
}

// probeMachine sends a machine an empty list of commands without a fencing token. The machine responds and does nothing else.
func (t *Tracker) probeMachine(target links.ProbeTarget) {
	command := workers.CommandCall{
		Addr: target.Address,
		Zone: target.Zone,
		Body: api.CommandRequest{Incarnation: 1, Commands: []api.Command{}},
	}
	t.env.Worker(command, func(result workers.CommandResult) {
		if result.Status == 0 {
			t.removeTarget(target)
		}
	})
}

// removeTarget removes a machine whose probe failed from the targets. The machine may have been terminated, and further
// unanswered probes would make the link to its zone appear down.
func (t *Tracker) removeTarget(target links.ProbeTarget) {
	isTarget := func(other links.ProbeTarget) bool { return other == target }
	t.probes.targets[target.Zone] = slices.DeleteFunc(t.probes.targets[target.Zone], isTarget)
}

// probeTargetsByZone returns, by zone, the machines that this node may probe: those whose heartbeats it received, and on a
// follower also those that the leader advertises.
func (t *Tracker) probeTargetsByZone(now ident.MonotonicTime) map[string][]links.ProbeTarget {
	byZone := map[string][]links.ProbeTarget{}
	for zone, list := range t.probes.targets {
		byZone[zone] = append(byZone[zone], list...)
	}
	if t.node.IsLeader() {
		return byZone
	}
	for _, advertisement := range t.advertisements.Advertisements(now) {
		for _, target := range advertisement.ProbeTargets {
			byZone[target.Zone] = append(byZone[target.Zone], target)
		}
	}
	return byZone
}

// RecordWorkerHeartbeat adds the machine that sent a heartbeat to the probe targets. If direct is set, the machine sent the
// heartbeat to this node itself, which is evidence that the inbound link from its zone works.
func (t *Tracker) RecordWorkerHeartbeat(heartbeat *api.Heartbeat, direct bool) {
	if t == nil {
		return
	}
	if direct {
		t.monitor.Received(machinesEndpoint(heartbeat.Zone), t.env.Now())
	}
	target := links.ProbeTarget{Zone: heartbeat.Zone, Address: heartbeat.Addr}
	targets := t.probes.targets[heartbeat.Zone]
	if slices.Contains(targets, target) {
		return
	}
	if len(targets) >= targetsPerZone {
		targets = targets[1:]
	}
	t.probes.targets[heartbeat.Zone] = append(targets, target)
}

// SampleWorkerHeartbeat records some of the worker heartbeats that a follower forwards, at most one per sampleInterval.
// Parsing all of them would take too much CPU time.
func (t *Tracker) SampleWorkerHeartbeat(body []byte) {
	if t == nil {
		return
	}
	now := t.env.Now()
	if now.Sub(t.probes.sampledAt) < sampleInterval {
		return
	}
	t.probes.sampledAt = now
	if heartbeat, err := api.ParseHeartbeat(body); err == nil {
		t.RecordWorkerHeartbeat(heartbeat, true)
	}
}
