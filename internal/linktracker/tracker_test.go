package linktracker

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/transport"
)

// TestNilTracker: the tracker of a node that doesn't watch its links takes events, and finds no fault.
func TestNilTracker(t *testing.T) {
	var tracker *Tracker
	tracker.Start()
	tracker.ObserveTerm(1, 1)
	tracker.HeartbeatSent("agent-1", 1)
	tracker.HeartbeatEchoed("agent-1", 1, 2)
	tracker.FrameReceived("agent-1", 2)
	tracker.RecordWorkerHeartbeat(&api.Heartbeat{}, true)
	tracker.SampleWorkerHeartbeat(nil)
	tracker.MergeAdvertisements(&transport.Frame{})
	if tracker.Enabled() {
		t.Error("links are watched")
	}
	if !tracker.PeerDelivering("agent-1") || tracker.PeerDown("agent-1") {
		t.Error("a peer is down")
	}
	if !tracker.ZoneHealthy("a") {
		t.Error("a zone is not healthy")
	}
	if relay, ok := tracker.RelayFor("agent-1"); ok {
		t.Errorf("relay %s", relay)
	}
}

// TestHandoverRecordsAreBounded: the last handovers are remembered, and all are counted.
func TestHandoverRecordsAreBounded(t *testing.T) {
	const handovers = maxHandoverRecords + 3
	var tracker Tracker
	for term := range ident.Term(handovers) {
		tracker.RecordHandover(HandoverRecord{Term: term})
		tracker.CountHandover()
	}
	if n := len(tracker.handovers); n != maxHandoverRecords || tracker.handovers[0].Term != handovers-maxHandoverRecords {
		t.Errorf("%d handovers, the first in term %d", n, tracker.handovers[0].Term)
	}
	if tracker.handoverCount != handovers {
		t.Errorf("%d are counted", tracker.handoverCount)
	}
}
