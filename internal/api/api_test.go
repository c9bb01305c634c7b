package api

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

const validSpec = `{"id":"j-000412","lane":"train","desk":"vision","shape":"batch","rank":"high","pieces":16,
 "vcpus":8.0,"cards":1.0,"memory_gb":64.0,"bundle":"img-07","image_gb":6.2,"models":["g8"],"site":null,"one_zone":true,
 "apart":false,"standby":true,"runtime_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,"due_s":900.0,"later":{"x":1}}`

// TestParseSpec: a submission that contains an unknown field is parsed, and each error names the faulty field.
func TestParseSpec(t *testing.T) {
	s, err := ParseSpec([]byte(validSpec))
	if err != nil || s.Tasks != 16 || s.Zone != nil || *s.DeadlineS != 900 || !s.CanCheckpoint() {
		t.Fatalf("parsed submission: got %+v, %v, want the values of validSpec", s, err)
	}
	for field, change := range map[string][2]string{
		"body":             {validSpec, `[1]`},
		"id":               {`"j-000412"`, `"x-1"`},
		"lane":             {`"lane":"train",`, ``},
		"desk":             {`"vision"`, `null`},
		"shape":            {`"batch"`, `"flock"`},
		"rank":             {`"high"`, `"urgent"`},
		"pieces":           {`16`, `100001`},
		"vcpus":            {`8.0`, `-1`},
		"cards":            {`"cards":1.0`, `"cards":"1"`},
		"memory_gb":        {`64.0`, `1e300`},
		"image_gb":         {`"image_gb":6.2,`, ``},
		"models":           {`["g8"]`, `"g8"`},
		"one_zone":         {`true,`, `"yes",`},
		"due_s":            {`900.0`, `-3`},
		"snapshot_every_s": {`30.0`, `null`},
	} {
		_, err := ParseSpec([]byte(strings.Replace(validSpec, change[0], change[1], 1)))
		var fieldErr *FieldError
		if !errors.As(err, &fieldErr) || fieldErr.Field != field {
			t.Errorf("%s: got error %v, want a FieldError for that field", field, err)
		}
	}
	if _, err := ParseSpec([]byte(strings.Replace(validSpec, `16`, `1.5`, 1))); err == nil {
		t.Error("a fractional number of tasks was accepted, want an error")
	}
}

// TestParseHeartbeat: a heartbeat is parsed, and one that does not identify its sender or its tasks is rejected.
func TestParseHeartbeat(t *testing.T) {
	const heartbeat = `{"host":"host-1","addr":"10.1.0.1:9","model":"g8","site":"a","standby":true,"tenure":1,"serial":88,
	 "epoch":41,"warning_s":null,"pieces":[{"piece":"j-000412/3","try":2,"status":"running"}]}`
	r, err := ParseHeartbeat([]byte(heartbeat))
	if err != nil || r.Tasks[0].TaskID.Index != 3 || r.Tasks[0].TaskID.Job != "j-000412" {
		t.Fatalf("parsed heartbeat: got %+v, %v, want task j-000412/3", r, err)
	}
	for _, change := range [][2]string{{`"host-1"`, `""`}, {`"tenure":1`, `"tenure":0`}, {`"running"`, `""`},
		{`j-000412/3`, `j-000412`}, {`j-000412/3`, `j-000412/-1`}, {`41`, `-41`}} {
		if _, err := ParseHeartbeat([]byte(strings.Replace(heartbeat, change[0], change[1], 1))); err == nil {
			t.Errorf("a heartbeat with %s instead of %s was accepted, want an error", change[1], change[0])
		}
	}
}

// TestUnknownTaskStatus: a heartbeat with a task status of a later protocol version is accepted. If it were
// rejected, the worker would lose its lease, and with it all of its tasks.
func TestUnknownTaskStatus(t *testing.T) {
	const heartbeat = `{"host":"host-1","addr":"a:1","model":"g8","site":"a","tenure":1,
	 "pieces":[{"piece":"j-1/0","try":2,"status":"dancing"}]}`
	r, err := ParseHeartbeat([]byte(heartbeat))
	if err != nil || r.Tasks[0].Status == Ended {
		t.Errorf("got %+v, %v, want a task that has not ended", r, err)
	}
}

// TestHeartbeatResponseEncoding pins the encoding of the response that workers receive.
func TestHeartbeatResponseEncoding(t *testing.T) {
	gracePeriodS := 5.0
	response := HeartbeatResponse{FencingToken: 41, Commands: []Command{
		{Verb: Launch, Attempt: 2},
		{Verb: Kill, Attempt: 1, GracePeriodS: &gracePeriodS},
	}}
	response.Commands[0].TaskID.Job, response.Commands[0].TaskID.Index = "j-000412", 4
	response.Commands[1].TaskID.Job = "j-000377"
	want := `{"epoch":41,"orders":[{"verb":"launch","piece":"j-000412/4","try":2},` +
		`{"verb":"kill","piece":"j-000377/0","try":1,"wind_down_s":5}]}`
	if got, _ := json.Marshal(response); string(got) != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
