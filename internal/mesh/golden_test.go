package mesh

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"opaldale/internal/golden"
	"opaldale/internal/links"
)

// goldenFrames has a frame of each kind, with every field that the kind carries set to another
// value.
var goldenFrames = []struct {
	name  string
	frame Frame
}{
	{"hello", Frame{Kind: Hello, Node: "agent-1"}},
	{"heartbeat", Frame{Kind: Heartbeat, Node: "agent-2", Term: 0x1101, ID: 0x1102,
		Life: Life{Echo: 0x1103, ProcessAge: 0x1104, Allowance: 0x1105, SinceLeader: 0x1106, SinceRenewal: None}}},
	{"submission passed on", Frame{Kind: Ask, ID: 0x2201, Verb: Submit, Body: []byte("body")}},
	{"poll passed on", Frame{Kind: Ask, ID: 0x2202, Verb: Poll, Job: "j-1", Body: []byte{}}},
	{"cancellation passed on", Frame{Kind: Ask, ID: 0x2203, Verb: Cancel, Job: "j-2", Body: []byte{}}},
	{"report passed on", Frame{Kind: Ask, ID: 0x2204, Verb: Checkin, Body: []byte("report")}},
	{"answer", Frame{Kind: Tell, ID: 0x3301, Status: 0x3302, Retry: 0x3303, Body: []byte("answer")}},
	{"links", Frame{Kind: Links, ID: 0x4401, Rows: []links.Row{{Origin: "agent-3", Incarnation: 0x4402, Sequence: 0x4403, Age: 0x4404 * time.Millisecond,
		Links: []links.LinkState{{Peer: links.Peer{Kind: links.Sibling, Name: "agent-4"}, In: links.Up, Out: links.Down, Damped: true}}}}}},
	{"handover", Frame{Kind: Yield, Node: "agent-5", Term: 0x5501}},
	{"request to be passed on", Frame{Kind: Relay, ID: 0x6601, Verb: Cancel, Job: "j-3", Body: []byte("relayed")}},
}

// TestGoldenFrames pins the bytes of each kind of frame.
func TestGoldenFrames(t *testing.T) {
	var d golden.Document
	for _, c := range goldenFrames {
		raw := c.frame.Append(nil)
		d.Add(c.name, hex.EncodeToString(raw))
		if decoded, err := Read(bytes.NewReader(raw)); err != nil || !reflect.DeepEqual(*decoded, c.frame) {
			t.Errorf("%s: %+v is read as %+v, %v", c.name, c.frame, decoded, err)
		}
	}
	d.Compare(t, "frames")
}
