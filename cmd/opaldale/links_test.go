package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"opaldale/internal/linktracker"
)

// TestLinksCommand: the command prints the report of a node as tables or as JSON, and fails on an error status.
func TestLinksCommand(t *testing.T) {
	report := linktracker.Report{
		Node:      "agent-0",
		Enabled:   true,
		Authority: "deciding",
		Handover:  "steady",
		Links: []linktracker.LinkEntry{
			{Peer: "sibling agent-1", Direction: "outbound", State: "down", Evidence: "silence", Damped: true, Breaks: 4},
		},
		Advertisements: []linktracker.AdvertisementEntry{{
			Origin: "agent-2",
			Links:  []linktracker.AdvertisedLink{{Peer: "state service", Inbound: "up", Outbound: "up", Refusing: true}},
		}},
		Handovers: []linktracker.HandoverEntry{
			{Term: 7, To: "agent-2", Reason: "a sibling is better placed", OwnScore: 70, SuccessorScore: 100},
		},
	}
	node := &fakeNode{path: "/links", status: http.StatusOK, report: &report}
	run := runAgainst(t, node, linksCommand)
	out, err := run()
	for _, want := range []string{
		"agent-0: authority deciding, handover steady", "sibling agent-1  outbound   down",
		"damped", "refuses", "term 7", "a sibling is better placed",
	} {
		if err != nil || !strings.Contains(out, want) {
			t.Errorf("got error %v and the output below, want no error and output with %q:\n%s", err, want, out)
		}
	}
	out, err = run("--json")
	var decoded linktracker.Report
	if err != nil || json.Unmarshal([]byte(out), &decoded) != nil || decoded.Handovers[0].To != "agent-2" {
		t.Errorf("with --json: got error %v, want none and the report as JSON:\n%s", err, out)
	}
	report.Enabled = false
	if out, err = run(); err != nil || !strings.Contains(out, "is off") {
		t.Errorf("with link monitoring off: got error %v, want none and a notice:\n%s", err, out)
	}
	node.status = http.StatusServiceUnavailable
	if _, err = run(); err == nil {
		t.Error("got no error for status 503, want one")
	}
}
