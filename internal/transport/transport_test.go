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

var (
	submission   = &Frame{Type: MsgRequest, ID: 1<<64 - 1, Method: SubmitJob, Body: []byte(`{"id":"j-1"}`)}
	sampleFrames = []*Frame{
		{Type: MsgHello, Node: "agent-0"},
		{Type: MsgHeartbeat},
		{
			Type: MsgHeartbeat,
			Node: "agent-1",
			Term: 1<<63 + 5,
			ID:   1 << 60,
			Heartbeat: PeerHeartbeat{
				EchoID:           9,
				UptimeMS:         1,
				LeaseAllowanceMS: 24_000,
				SinceLeaderMS:    NeverMS,
				SinceRenewalMS:   3,
			},
		},
		{Type: MsgRequest, ID: 7, Method: GetJob, JobID: "j-000412", Body: []byte{}},
		submission,
		{Type: MsgResponse, ID: 9, Status: 503, RetryAfterS: 2, Body: []byte("{}")},
		{Type: MsgRelayRequest, ID: 8, Method: CancelJob, JobID: "j-000412", Body: []byte{}},
		{Type: MsgTransferLeader, Node: "agent-2", Term: 12},
		{
			Type: MsgLinkState,
			ID:   5,
			LinkState: []links.Advertisement{{
				Origin:      "agent-0",
				Incarnation: 3,
				Sequence:    4,
				Age:         time.Second,
				Links: []links.LinkState{{
					Endpoint: links.Endpoint{Kind: links.PeerNode, Name: "agent-1"},
					In:       links.Up,
					Out:      links.Down,
					Damped:   true,
				}},
				ProbeTargets: []links.ProbeTarget{{Zone: "east", Address: "10.1.0.1:9000"}},
			}},
		},
	}
)

// TestRoundTrip: each encoded frame decodes to the same frame.
func TestRoundTrip(t *testing.T) {
	var all []byte
	for _, f := range sampleFrames {
		all = f.Append(all)
	}
	r := bytes.NewReader(all)
	for _, f := range sampleFrames {
		decoded, err := Read(r)
		if err != nil || !reflect.DeepEqual(f, decoded) {
			t.Errorf("encoded and decoded: got %+v, %v, want %+v", decoded, err, f)
		}
	}
}

// TestMalformed: input that is not a frame of this version is rejected with ErrMalformedFrame.
func TestMalformed(t *testing.T) {
	valid := submission.Append(nil)[4:]
	linkStateID := []byte{0, 0, 0, 0, 0, 0, 0, 1}
	for _, c := range []struct {
		name  string
		frame []byte
	}{
		{"empty", nil},
		{"other version", append([]byte{Version + 1}, valid[1:]...)},
		{"unknown message type", []byte{Version, 99}},
		{"cut short", valid[:len(valid)-1]},
		{"too long", append(valid[:len(valid):len(valid)], 0)},
		{"advertisements cut short", append(append([]byte{Version, byte(MsgLinkState)}, linkStateID...), 1, 1, 5)},
		{"no advertisements", append([]byte{Version, byte(MsgLinkState)}, linkStateID...)},
		{"unknown method", []byte{Version, byte(MsgRequest), 0, 0, 0, 0, 0, 0, 0, 1, 77, 0, 0, 0, 0, 0, 0}},
	} {
		if _, err := Decode(c.frame); !errors.Is(err, ErrMalformedFrame) {
			t.Errorf("%s: got error %v, want %v", c.name, err, ErrMalformedFrame)
		}
	}
	huge := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	if _, err := Read(bytes.NewReader(huge)); !errors.Is(err, ErrMalformedFrame) {
		t.Errorf("length above the maximum: got error %v, want %v", err, ErrMalformedFrame)
	}
}

// FuzzDecode: Decode never panics, and each frame that it accepts encodes to the same bytes.
func FuzzDecode(f *testing.F) {
	for _, s := range sampleFrames {
		f.Add(s.Append(nil)[4:])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		decoded, err := Decode(b)
		if err != nil {
			return
		}
		if encoded := decoded.Append(nil)[4:]; !bytes.Equal(encoded, b) {
			t.Fatalf("decoded %+v encodes to %x, want %x", decoded, encoded, b)
		}
	})
}

// TestTransport: a frame that is sent over a socket is received, and connections that violate the protocol
// are closed.
func TestTransport(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	received := make(chan *Frame, 10)
	b := New("b", func(from ident.NodeID, f *Frame) {
		if from != "a" {
			t.Errorf("got a frame from peer %q, want peer \"a\"", from)
		}
		received <- f
	})
	b.outboxes["a"] = newOutbox()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		if err := b.Serve(l); !errors.Is(err, net.ErrClosed) {
			t.Errorf("Serve returned %v, want %v", err, net.ErrClosed)
		}
	}()

	a := New("a", func(ident.NodeID, *Frame) {})
	a.Connect("b", l.Addr().String())
	if f := sendUntilReceived(a, "b", submission, received); !reflect.DeepEqual(f, submission) {
		t.Errorf("received %+v, want %+v", f, submission)
	}

	checkClosed(t, l.Addr().String(), "unknown peer", (&Frame{Type: MsgHello, Node: "x"}).Append(nil))
	checkClosed(t, l.Addr().String(), "no hello", submission.Append(nil))
	checkClosed(t, l.Addr().String(), "garbage", []byte{0, 0, 0, 2, 99, 99})
	if n := b.Malformed.Load(); n != 1 {
		t.Errorf("counted %d malformed frames, want 1", n)
	}
	l.Close()
	wg.Wait()
}

// sendUntilReceived sends a frame repeatedly until it is received, because frames are dropped until the
// connection is open.
func sendUntilReceived(t *Transport, peer ident.NodeID, f *Frame, received <-chan *Frame) *Frame {
	for {
		t.Send(peer, f)
		select {
		case got := <-received:
			return got
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// checkClosed sends bytes on a new connection and checks that the connection is closed.
func checkClosed(t *testing.T, addr, name string, sent []byte) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write(sent); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Errorf("%s: the connection stays open, want it closed", name)
	}
}

// TestWireCompatibility: frames encode to the same bytes as in the version in production, and the frames
// that it sends are decoded. That version (see deploy/service.toml) wrote testdata/production.hex from the
// frames below.
func TestWireCompatibility(t *testing.T) {
	b, err := os.ReadFile("testdata/production.hex")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(string(b))
	heartbeat := PeerHeartbeat{EchoID: 5, UptimeMS: 1000, LeaseAllowanceMS: 2000, SinceLeaderMS: NeverMS, SinceRenewalMS: 3}
	frames := []*Frame{
		{Type: MsgHello, Node: "agent-1"},
		{Type: MsgHeartbeat, Node: "agent-2", Term: 7, ID: 99, Heartbeat: heartbeat},
		{Type: MsgRequest, ID: 12, Method: SubmitJob, Body: []byte(`{"id":"j-1"}`)},
		{Type: MsgRequest, ID: 13, Method: WorkerHeartbeat, Body: []byte(`{}`)},
		{Type: MsgRequest, ID: 14, Method: GetJob, JobID: "j-000412"},
		{Type: MsgRequest, ID: 15, Method: CancelJob, JobID: "j-000412"},
		{Type: MsgResponse, ID: 12, Status: 503, RetryAfterS: 1, Body: []byte(`{"error":"no leader at present"}`)},
	}
	if len(lines) != len(frames) {
		t.Fatalf("production.hex has %d frames, want %d", len(lines), len(frames))
	}
	for i, f := range frames {
		if got := hex.EncodeToString(f.Append(nil)); got != lines[i] {
			t.Errorf("frame %d encodes to %s, want %s", i, got, lines[i])
		}
		raw, err := hex.DecodeString(lines[i])
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(raw[4:]); err != nil {
			t.Errorf("decoding frame %d of production.hex: got error %v, want none", i, err)
		}
	}
}
