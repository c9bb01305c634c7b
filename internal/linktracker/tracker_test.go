package linktracker

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/transport"
)

// TestNilTracker: the nil tracker of a node that doesn't monitor its links accepts events, and reports all links as healthy.
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
		t.Error("nil tracker: got Enabled true, want false")
	}
	if !tracker.PeerDelivering("agent-1") || tracker.PeerDown("agent-1") {
		t.Errorf("nil tracker: got PeerDelivering %v, PeerDown %v; want true, false",
			tracker.PeerDelivering("agent-1"), tracker.PeerDown("agent-1"))
	}
	if !tracker.ZoneHealthy("a") {
		t.Error("nil tracker: got ZoneHealthy false, want true")
	}
	if relay, ok := tracker.RelayFor("agent-1"); ok {
		t.Errorf("nil tracker: got relay %q, want none", relay)
	}
}

// TestHandoverRecordsAreBounded: only the newest maxHandoverRecords handovers are kept, but all are counted.
func TestHandoverRecordsAreBounded(t *testing.T) {
	const handovers = maxHandoverRecords + 3
	var tracker Tracker
	for term := range ident.Term(handovers) {
		tracker.RecordHandover(HandoverRecord{Term: term})
		tracker.CountHandover()
	}
	if n := len(tracker.handovers); n != maxHandoverRecords || tracker.handovers[0].Term != handovers-maxHandoverRecords {
		t.Errorf("got %d handover records, the first of term %d; want %d, the first of term %d",
			n, tracker.handovers[0].Term, maxHandoverRecords, handovers-maxHandoverRecords)
	}
	if tracker.handoverCount != handovers {
		t.Errorf("got %d counted handovers, want %d", tracker.handoverCount, handovers)
	}
}
