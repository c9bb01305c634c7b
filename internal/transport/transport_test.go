package transport

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/links"
)

var sampleFrames = []*Frame{
	{Type: MsgHello, Node: "agent-0"},
	{Type: MsgHeartbeat},
	{Type: MsgHeartbeat, Node: "agent-1", Term: 1<<63 + 5, ID: 1 << 60, Heartbeat: PeerHeartbeat{EchoID: 9, UptimeMS: 1, LeaseAllowanceMS: 24_000, SinceLeaderMS: Never, SinceRenewalMS: 3}},
	{Type: MsgRequest, ID: 7, Method: GetJob, JobID: "j-000412", Body: []byte{}},
	{Type: MsgRequest, ID: 1<<64 - 1, Method: SubmitJob, Body: []byte(`{"id":"j-1"}`)},
	{Type: MsgResponse, ID: 9, Status: 503, RetryAfterS: 2, Body: []byte("{}")},
	{Type: MsgRelayRequest, ID: 8, Method: CancelJob, JobID: "j-000412", Body: []byte{}},
	{Type: MsgTransferLeader, Node: "agent-2", Term: 12},
	{Type: MsgLinkState, ID: 5, LinkState: []links.Advertisement{{Origin: "agent-0", Incarnation: 3, Sequence: 4, Age: time.Second,
		Links:        []links.LinkState{{Endpoint: links.Endpoint{Kind: links.PeerNode, Name: "agent-1"}, In: links.Up, Out: links.Down, Damped: true}},
		ProbeTargets: []links.ProbeTarget{{Zone: "east", Address: "10.1.0.1:9000"}}}}},
}

func TestRoundTrip(t *testing.T) {
	var all []byte
	for _, f := range sampleFrames {
		all = f.Append(all)
	}
	r := bytes.NewReader(all)
	for _, f := range sampleFrames {
		g, err := Read(r)
		if err != nil || !reflect.DeepEqual(f, g) {
			t.Errorf("%+v came back as %+v, %v", f, g, err)
		}
	}
}

// TestMalformed: whatever is not a frame of this version is refused.
func TestMalformed(t *testing.T) {
	good := sampleFrames[4].Append(nil)[4:]
	other := append([]byte{Version + 1}, good[1:]...)
	for name, b := range map[string][]byte{"empty": nil, "other version": other, "unknown kind": {Version, 99},
		"cut short": good[:len(good)-1], "too long": append(good[:len(good):len(good)], 0),
		"rows cut short": {Version, byte(MsgLinkState), 0, 0, 0, 0, 0, 0, 0, 1, 1, 5}, "links without rows": {Version, byte(MsgLinkState), 0, 0, 0, 0, 0, 0, 0, 1},
		"unknown verb": {Version, byte(MsgRequest), 0, 0, 0, 0, 0, 0, 0, 1, 77, 0, 0, 0, 0, 0, 0}} {
		if _, err := Decode(b); !errors.Is(err, ErrMalformedFrame) {
			t.Errorf("%s: %v", name, err)
		}
	}
	huge := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	if _, err := Read(bytes.NewReader(huge)); !errors.Is(err, ErrMalformedFrame) {
		t.Errorf("oversized: %v", err)
	}
}

// FuzzDecode: the decoder never panics, and what it accepts is what would be
// written again.
func FuzzDecode(f *testing.F) {
	for _, s := range sampleFrames {
		f.Add(s.Append(nil)[4:])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		g, err := Decode(b)
		if err != nil {
			return
		}
		if again := g.Append(nil)[4:]; !bytes.Equal(again, b) {
			t.Fatalf("%x decodes to %+v, which is written as %x", b, g, again)
		}
	})
}

// TestTransport sends through sockets, and sees a bad peer's connection closed.
func TestTransport(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	got := make(chan *Frame, 10)
	b := New("b", func(from ident.NodeID, f *Frame) {
		if from != "a" {
			t.Errorf("frame from %s", from)
		}
		got <- f
	})
	b.peers["a"] = true
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); b.Serve(l) }()

	a := New("a", func(ident.NodeID, *Frame) {})
	a.Connect("b", l.Addr().String())
	for {
		a.Send("b", sampleFrames[4])
		select {
		case f := <-got:
			if !reflect.DeepEqual(f, sampleFrames[4]) {
				t.Errorf("got %+v", f)
			}
		case <-time.After(50 * time.Millisecond):
			continue // what is sent before the connection stands is dropped
		}
		break
	}
	for name, raw := range map[string][]byte{"unknown node": (&Frame{Type: MsgHello, Node: "x"}).Append(nil),
		"no hello": sampleFrames[4].Append(nil), "garbage": {0, 0, 0, 2, 99, 99}} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.Write(raw)
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("%s: the connection stays open", name)
		}
		c.Close()
	}
	if n := b.Malformed.Load(); n != 1 {
		t.Errorf("%d malformed frames were counted", n)
	}
	l.Close()
	wg.Wait()
}

// TestWireCompatibility: what the version in production sends is read, and what is sent
// now is the same to the byte, as it refuses every other frame. testdata/production.hex
// was written by that version (deploy/service.toml) with the frames below.
func TestWireCompatibility(t *testing.T) {
	b, err := os.ReadFile("testdata/production.hex")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(string(b))
	frames := []*Frame{{Type: MsgHello, Node: "agent-1"},
		{Type: MsgHeartbeat, Node: "agent-2", Term: 7, ID: 99, Heartbeat: PeerHeartbeat{EchoID: 5, UptimeMS: 1000, LeaseAllowanceMS: 2000, SinceLeaderMS: Never, SinceRenewalMS: 3}},
		{Type: MsgRequest, ID: 12, Method: SubmitJob, Body: []byte(`{"id":"j-1"}`)}, {Type: MsgRequest, ID: 13, Method: WorkerHeartbeat, Body: []byte(`{}`)},
		{Type: MsgRequest, ID: 14, Method: GetJob, JobID: "j-000412"}, {Type: MsgRequest, ID: 15, Method: CancelJob, JobID: "j-000412"},
		{Type: MsgResponse, ID: 12, Status: 503, RetryAfterS: 1, Body: []byte(`{"error":"no leader at present"}`)}}
	if len(lines) != len(frames) {
		t.Fatalf("%d frames, want %d", len(lines), len(frames))
	}
	for i, f := range frames {
		if got := hex.EncodeToString(f.Append(nil)); got != lines[i] {
			t.Errorf("frame %d is sent as %s, want %s", i, got, lines[i])
		}
		raw, err := hex.DecodeString(lines[i])
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(raw[4:]); err != nil {
			t.Errorf("frame %d: %v", i, err)
		}
	}
}
