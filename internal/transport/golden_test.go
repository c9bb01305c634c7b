package transport

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"opaldale/internal/golden"
	"opaldale/internal/links"
)

// goldenFrames are frames of each message type, with distinct values in the fields that belong to the type.
var goldenFrames = []struct {
	name  string
	frame Frame
}{
	{"hello", Frame{Type: MsgHello, Node: "agent-1"}},
	{"heartbeat", Frame{
		Type: MsgHeartbeat,
		Node: "agent-2",
		Term: 0x1101,
		ID:   0x1102,
		Heartbeat: PeerHeartbeat{
			EchoID:           0x1103,
			UptimeMS:         0x1104,
			LeaseAllowanceMS: 0x1105,
			SinceLeaderMS:    0x1106,
			SinceRenewalMS:   NeverMS,
		},
	}},
	{"forwarded submission", Frame{Type: MsgRequest, ID: 0x2201, Method: SubmitJob, Body: []byte("body")}},
	{"forwarded poll", Frame{Type: MsgRequest, ID: 0x2202, Method: GetJob, JobID: "j-1", Body: []byte{}}},
	{"forwarded cancellation", Frame{Type: MsgRequest, ID: 0x2203, Method: CancelJob, JobID: "j-2", Body: []byte{}}},
	{"forwarded heartbeat", Frame{Type: MsgRequest, ID: 0x2204, Method: WorkerHeartbeat, Body: []byte("report")}},
	{"response", Frame{Type: MsgResponse, ID: 0x3301, Status: 0x3302, RetryAfterS: 0x3303, Body: []byte("answer")}},
	{"links", Frame{
		Type: MsgLinkState,
		ID:   0x4401,
		LinkState: []links.Advertisement{{
			Origin:      "agent-3",
			Incarnation: 0x4402,
			Sequence:    0x4403,
			Age:         0x4404 * time.Millisecond,
			Links: []links.LinkState{{
				Endpoint: links.Endpoint{Kind: links.PeerNode, Name: "agent-4"},
				In:       links.Up,
				Out:      links.Down,
				Damped:   true,
			}},
		}},
	}},
	{"handover", Frame{Type: MsgTransferLeader, Node: "agent-5", Term: 0x5501}},
	{"request to be relayed", Frame{
		Type:   MsgRelayRequest,
		ID:     0x6601,
		Method: CancelJob,
		JobID:  "j-3",
		Body:   []byte("relayed"),
	}},
}

// TestGoldenFrames pins the encoding of each message type.
func TestGoldenFrames(t *testing.T) {
	var d golden.Document
	for _, c := range goldenFrames {
		raw := c.frame.Append(nil)
		d.Add(c.name, hex.EncodeToString(raw))
		if decoded, err := Read(bytes.NewReader(raw)); err != nil || !reflect.DeepEqual(*decoded, c.frame) {
			t.Errorf("%s: encoded and decoded: got %+v, %v, want %+v", c.name, decoded, err, c.frame)
		}
	}
	d.Compare(t, "frames")
}
