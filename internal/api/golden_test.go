package api

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"opaldale/internal/golden"
	"opaldale/internal/ident"
)

// TestGoldenMessages pins the encoding of the messages of both APIs, with all of their fields set.
func TestGoldenMessages(t *testing.T) {
	var d golden.Document
	for v := range golden.BoolVariants {
		s := golden.Filled[Spec](v)
		s.Shape, s.Priority = Gang, BestEffort
		golden.RoundTrip(t, &d, fmt.Sprintf("submission %d", v), s)
		if parsed, err := ParseSpec(JSON(s)); err != nil || !reflect.DeepEqual(*parsed, s) {
			t.Errorf("encoded and parsed: got %+v, %v, want %+v", parsed, err, s)
		}
		r := golden.Filled[Heartbeat](v)
		golden.RoundTrip(t, &d, fmt.Sprintf("heartbeat %d", v), r)
		if parsed, err := ParseHeartbeat(JSON(r)); err != nil || !reflect.DeepEqual(*parsed, r) {
			t.Errorf("encoded and parsed: got %+v, %v, want %+v", parsed, err, r)
		}
	}
	golden.RoundTrip(t, &d, "view", golden.Filled[JobView](0))
	golden.RoundTrip(t, &d, "acknowledgement", golden.Filled[StatusResponse](0))
	golden.RoundTrip(t, &d, "problem", golden.Filled[ErrorResponse](0))
	golden.RoundTrip(t, &d, "response to a heartbeat", golden.Filled[HeartbeatResponse](0))
	commands := golden.Filled[CommandRequest](0)
	noGracePeriod := 0.0
	id := ident.TaskID{Job: "j-7", Index: 8}
	commands.Commands = append(commands.Commands,
		Command{Verb: Launch, TaskID: id, Attempt: 9},
		Command{Verb: Kill, TaskID: id, Attempt: 10, GracePeriodS: &noGracePeriod},
		Command{Verb: Clear, TaskID: id, Attempt: 11})
	golden.RoundTrip(t, &d, "commands", commands)
	d.Add("words", fmt.Sprintln(Batch, Service, Gang)+fmt.Sprintln(Critical, High, Standard, BestEffort)+
		fmt.Sprintln(Pulling, Gathering, Running, Flushing, Ended)+
		fmt.Sprintln(CauseDone, CauseStopped, CauseError, CauseNoCapacity, CauseBusy, CauseUnknown, CauseGangMemberLost,
			CauseGangIncomplete))
	d.Compare(t, "messages")
}

// TestGoldenRefusals pins the errors for malformed submissions and heartbeats, which are part of the responses.
func TestGoldenRefusals(t *testing.T) {
	var d golden.Document
	var submissions, reports strings.Builder
	spec := golden.Filled[Spec](0)
	spec.Shape, spec.Priority = Batch, Standard
	for _, change := range []struct{ from, to string }{
		{`{`, `[`}, {`"id"`, `"x"`}, {`"lane"`, `"x"`}, {`"desk"`, `"x"`},
		{`"shape"`, `"x"`}, {`"rank"`, `"x"`}, {`"pieces"`, `"x"`}, {`"vcpus"`, `"x"`},
		{`"cards"`, `"x"`}, {`"memory_gb"`, `"x"`}, {`"bundle"`, `"x"`}, {`"image_gb"`, `"x"`},
		{`"models"`, `"x"`}, {`"site"`, `"x"`}, {`"one_zone"`, `"x"`}, {`"apart"`, `"x"`},
		{`"standby"`, `"x"`}, {`"runtime_s"`, `"x"`}, {`"snapshot_every_s"`, `"x"`}, {`"snapshot_s"`, `"x"`},
		{`"due_s"`, `"x"`}, {`"id":"j-2"`, `"id":"2"`}, {`"batch"`, `"flock"`}, {`"standard"`, `"urgent"`},
		{`"pieces":7`, `"pieces":0`}, {`"pieces":7`, `"pieces":"7"`}, {`"lane":"j-3"`, `"lane":""`},
		{`"desk":"j-4"`, `"desk":""`},
		{`"bundle":"j-11"`, `"bundle":""`}, {`8.5`, `-1`}, {`9.5`, `-1`}, {`10.5`, `-1`},
		{`12.5`, `-1`}, {`20.5`, `-1`}, {`21.5`, `-1`}, {`22.5`, `-1`},
		{`24.5`, `-1`}, {`12.5`, `1e10`}, {`["j-14"]`, `{}`},
	} {
		body := strings.Replace(string(JSON(spec)), change.from, change.to, 1)
		_, err := ParseSpec([]byte(body))
		fmt.Fprintf(&submissions, "%s for %s: %v\n", change.to, change.from, err)
	}
	d.Add("submissions", submissions.String())
	report := golden.Filled[Heartbeat](0)
	for _, change := range []struct{ from, to string }{
		{`{`, `[`}, {`"host"`, `"x"`}, {`"addr"`, `"x"`}, {`"model"`, `"x"`},
		{`"site"`, `"x"`}, {`"standby"`, `"x"`}, {`"tenure"`, `"x"`}, {`"serial"`, `"x"`},
		{`"epoch"`, `"x"`}, {`"warning_s"`, `"x"`}, {`"pieces"`, `"x"`}, {`"status"`, `"x"`},
		{`/16`, ``}, {`"try":17`, `"try":"x"`},
	} {
		body := strings.Replace(string(JSON(report)), change.from, change.to, 1)
		_, err := ParseHeartbeat([]byte(body))
		fmt.Fprintf(&reports, "%s for %s: %v\n", change.to, change.from, err)
	}
	d.Add("reports", reports.String())
	d.Compare(t, "refusals")
}
