package api

import (
	"encoding/json"
	"fmt"
	"testing"

	"opaldale/internal/ident"
)

// benchmarkTasks is the number of tasks in the heartbeat that BenchmarkParseHeartbeat parses.
const benchmarkTasks = 200

func BenchmarkParseHeartbeat(b *testing.B) {
	heartbeat := Heartbeat{MachineID: "host-000001", Addr: "10.0.0.1:7000", Model: "standard-16", Zone: "east",
		Incarnation: 1, SequenceNumber: 812, FencingToken: ident.MakeFencingToken(4, 17)}
	for i := range benchmarkTasks {
		id := ident.TaskID{Job: ident.JobID(fmt.Sprintf("j-%06d", i/8)), Index: i % 8}
		heartbeat.Tasks = append(heartbeat.Tasks, TaskReport{TaskID: id, Attempt: 1, Status: Running})
	}
	benchmarkParse(b, heartbeat, ParseHeartbeat)
}

func BenchmarkParseSpec(b *testing.B) {
	zone, deadline := "east", 240.0
	benchmarkParse(b, Spec{
		ID: "j-000412", Class: "render", Team: "red", Shape: Batch, Priority: Standard, Tasks: 80, VCPUs: 4, MemoryGB: 8,
		Image: "render-7", ImageGB: 1.5, Models: []string{"standard-16", "standard-32"}, Zone: &zone, Spot: true,
		RuntimeS: 20.5, CheckpointEveryS: 10, CheckpointS: 1, DeadlineS: &deadline,
	}, ParseSpec)
}

// benchmarkParse measures how long a function takes to parse a message.
func benchmarkParse[Message any](b *testing.B, message any, parse func([]byte) (Message, error)) {
	body, err := json.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parse(body); err != nil {
			b.Fatal(err)
		}
	}
}
