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

// TestParseSpec: a submission is parsed with fields of later versions, and each error names its field.
func TestParseSpec(t *testing.T) {
	s, err := ParseSpec([]byte(validSpec))
	if err != nil || s.Tasks != 16 || s.Zone != nil || *s.DeadlineS != 900 || !s.CanCheckpoint() {
		t.Fatalf("%+v, %v", s, err)
	}
	// Each error has the name of its field.
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
		var fe *FieldError
		if !errors.As(err, &fe) || fe.Field != field {
			t.Errorf("%s: got %v", field, err)
		}
	}
	if _, err := ParseSpec([]byte(strings.Replace(validSpec, `16`, `1.5`, 1))); err == nil {
		t.Error("a fractional count is accepted")
	}
}

// TestParseHeartbeat: a heartbeat is parsed, and one without what identifies its sender and tasks is refused.
func TestParseHeartbeat(t *testing.T) {
	const heartbeat = `{"host":"host-1","addr":"10.1.0.1:9","model":"g8","site":"a","standby":true,"tenure":1,"serial":88,
	 "epoch":41,"warning_s":null,"pieces":[{"piece":"j-000412/3","try":2,"status":"running"}]}`
	r, err := ParseHeartbeat([]byte(heartbeat))
	if err != nil || r.Tasks[0].TaskID.Index != 3 || r.Tasks[0].TaskID.Job != "j-000412" {
		t.Fatalf("%+v, %v", r, err)
	}
	for _, change := range [][2]string{{`"host-1"`, `""`}, {`"tenure":1`, `"tenure":0`}, {`"running"`, `""`},
		{`j-000412/3`, `j-000412`}, {`j-000412/3`, `j-000412/-1`}, {`41`, `-41`}} {
		if _, err := ParseHeartbeat([]byte(strings.Replace(heartbeat, change[0], change[1], 1))); err == nil {
			t.Errorf("%s is accepted", change[1])
		}
	}
}

// TestUnknownTaskStatus: a heartbeat with a status of a later protocol is not refused, since the machine would
// lose its lease, and all tasks on it.
func TestUnknownTaskStatus(t *testing.T) {
	const heartbeat = `{"host":"host-1","addr":"a:1","model":"g8","site":"a","tenure":1,
	 "pieces":[{"piece":"j-1/0","try":2,"status":"dancing"}]}`
	r, err := ParseHeartbeat([]byte(heartbeat))
	if err != nil || r.Tasks[0].Status == Ended {
		t.Errorf("%+v, %v", r, err)
	}
}

// TestHeartbeatResponseEncoding pins the encoding of what workers receive.
func TestHeartbeatResponseEncoding(t *testing.T) {
	five := 5.0
	response := HeartbeatResponse{FencingToken: 41, Commands: []Command{
		{Verb: Launch, Attempt: 2},
		{Verb: Kill, Attempt: 1, GracePeriodS: &five},
	}}
	response.Commands[0].TaskID.Job, response.Commands[0].TaskID.Index = "j-000412", 4
	response.Commands[1].TaskID.Job = "j-000377"
	want := `{"epoch":41,"orders":[{"verb":"launch","piece":"j-000412/4","try":2},` +
		`{"verb":"kill","piece":"j-000377/0","try":1,"wind_down_s":5}]}`
	if got, _ := json.Marshal(response); string(got) != want {
		t.Errorf("%s", got)
	}
}
