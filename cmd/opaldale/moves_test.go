package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"opaldale/internal/controller"
)

// TestMovesCommand: the command prints the report of a node as a table or as JSON.
func TestMovesCommand(t *testing.T) {
	gain := 12.5
	report := controller.MoveReport{Node: "agent-1", Mode: "move", Leader: true, Moves: []controller.MoveEntry{
		{
			Task:          "j-000012/3",
			Team:          "vision",
			From:          "host-000004",
			To:            "host-000009",
			For:           "j-000031/0",
			Source:        "makes room",
			State:         "running",
			Reason:        "arrived",
			AgeS:          7,
			ExpectedGainS: 20,
			CostS:         4,
			RealizedGainS: &gain,
		},
		{Task: "j-000013/0", From: "host-000005", To: "host-000006", Source: "leaves a slow machine", State: "stopping"}}}
	run := runAgainst(t, &fakeNode{path: "/moves", status: http.StatusOK, report: &report}, movesCommand)
	out, err := run()
	for _, want := range []string{
		"agent-1: rebalance move, leads", "makes room for j-000031/0", "leaves a slow machine      stopping",
		"j-000012/3  vision", "arrived", "16.0 s", "12.5 s", "stopping",
	} {
		if err != nil || !strings.Contains(out, want) {
			t.Errorf("got error %v and the output below, want no error and output with %q:\n%s", err, want, out)
		}
	}
	out, err = run("--json")
	var decoded controller.MoveReport
	if err != nil || json.Unmarshal([]byte(out), &decoded) != nil {
		t.Fatalf("with --json: got error %v, want none and the report as JSON:\n%s", err, out)
	}
	if len(decoded.Moves) != 2 || *decoded.Moves[0].RealizedGainS != gain {
		t.Errorf("with --json: got %d moves, want 2 and a realized gain of %v:\n%s", len(decoded.Moves), gain, out)
	}
	report = controller.MoveReport{Node: "agent-2", Mode: "off", Truncated: true, Error: "state service unavailable"}
	out, err = run()
	for _, want := range []string{"follows", "does not move tasks", "state service unavailable", "the list is truncated"} {
		if err != nil || !strings.Contains(out, want) {
			t.Errorf("got error %v and the output below, want no error and output with %q:\n%s", err, want, out)
		}
	}
}
