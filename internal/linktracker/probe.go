package linktracker

// This file probes links that carry no traffic.

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
	// storeIdleAfter, machinesIdleAfter and cloudIdleAfter are how long a link must be without traffic to be
	// probed.
	storeIdleAfter    = time.Second
	machinesIdleAfter = 1500 * time.Millisecond
	cloudIdleAfter    = 5 * time.Second
	// zoneOverdueAfter is how long a machine may take to answer before others of its zone are probed, so that
	// one lost machine is not taken for a lost zone; zoneProbeInterval paces these probes.
	zoneOverdueAfter  = 300 * time.Millisecond
	zoneProbeInterval = 500 * time.Millisecond
	// sampleInterval is the shortest interval between heartbeats of workers that a follower parses.
	sampleInterval = 500 * time.Millisecond
	// targetsPerZone bounds the machines of each zone that are kept as targets of probes, and named to peers.
	targetsPerZone = 3
	// maxAdvertisedZones bounds the zones for which a leader names machines.
	maxAdvertisedZones = links.MaxProbeTargets / targetsPerZone
)

// probes holds the targets of probes, and when they were last used.
type probes struct {
	targets      map[string][]links.ProbeTarget // by zone: machines whose heartbeats came here
	zoneProbedAt map[string]ident.MonotonicTime // when all targets of a zone were last probed
	sampledAt    ident.MonotonicTime            // when a follower last parsed a heartbeat
}

func newProbes() probes {
	return probes{targets: map[string][]links.ProbeTarget{}, zoneProbedAt: map[string]ident.MonotonicTime{}}
}

// probeIdleLinks probes the links that carry no traffic.
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

// probeZone probes one target of an idle zone, or all targets of a zone with an overdue answer.
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

// probeMachine sends a machine an empty list of commands without a fencing token, which has no effect except that the
// machine answers.
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

// removeTarget removes a machine that didn't answer from the targets. It may have been terminated: further probes of it
// would make its zone look down.
func (t *Tracker) removeTarget(target links.ProbeTarget) {
	isTarget := func(other links.ProbeTarget) bool { return other == target }
	t.probes.targets[target.Zone] = slices.DeleteFunc(t.probes.targets[target.Zone], isTarget)
}

// probeTargetsByZone returns, by zone, the machines that this node may probe: those whose heartbeats came here,
// and on a follower those that the leader names.
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

// RecordWorkerHeartbeat records a machine's heartbeat; one that came directly from the machine shows that its zone
// reaches this node.
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

// SampleWorkerHeartbeat records some of the heartbeats that a follower forwards. Parsing all of them would take too long.
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
