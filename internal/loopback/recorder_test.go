package loopback

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// TestRecorderDetectsViolations checks that Recorder and user report each kind of violation, and nothing else.
func TestRecorderDetectsViolations(t *testing.T) {
	r := newRecorder()
	task := ident.TaskID{Job: "j-1"}
	alive := func(ident.MachineID) bool { return true }
	first := r.recordStart(task, "host-1", alive)
	if r.recordStart(task, "host-2", func(ident.MachineID) bool { return false }); len(r.violations) != 0 {
		t.Errorf("second start after the lease of the first machine expired: got violations %q, want none", r.violations)
	}
	if r.recordStart(task, "host-3", alive); len(r.violations) == 0 {
		t.Error("task running on two machines: got no violation, want one")
	}
	before := len(r.violations)
	r.recordCommand("agent-0", ident.MakeFencingToken(4, 1))
	r.recordCommand("agent-0", ident.MakeFencingToken(4, 2))
	r.recordCommand("agent-1", ident.MakeFencingToken(5, 0))
	if len(r.violations) != before {
		t.Errorf("commands of one node in each term: got violations %q, want none", r.violations)
	}
	if r.recordCommand("agent-1", ident.MakeFencingToken(4, 3)); len(r.violations) == before {
		t.Error("commands of two nodes in one term: got no violation, want one")
	}
	if r.complete("j-1", 1) {
		t.Error("complete before the task ended: got true, want false")
	}
	if r.recordEnd(first, true); !r.complete("j-1", 1) || r.complete("j-1", 2) {
		t.Errorf("one completed task: got complete %v for a job of one task and %v for a job of two, want true and false",
			r.complete("j-1", 1), r.complete("j-1", 2))
	}
	if r.startsAfter("j-1", time.Now().Add(-time.Hour)) != 3 || r.startsAfter("j-1", time.Now()) != 0 {
		t.Errorf("startsAfter: got %d starts since an hour ago and %d since now, want 3 and 0",
			r.startsAfter("j-1", time.Now().Add(-time.Hour)), r.startsAfter("j-1", time.Now()))
	}
	for _, a := range []Response{{Status: 404}, {Status: 200, Job: api.JobView{Status: "cancelled"}}} {
		u := &user{id: "j-1"}
		if u.checkResponse(a); len(u.violations) == 0 {
			t.Errorf("response %+v: got no violation, want one", a)
		}
	}
	u := &user{id: "j-1", finalStatus: "done"}
	if u.checkResponse(Response{Status: 200, Job: api.JobView{Status: "running"}}); len(u.violations) == 0 {
		t.Error("response running after done: got no violation, want one")
	}
}

// echoBytes accepts one connection, sends each byte that it receives to got, and writes it back.
func echoBytes(l net.Listener, got chan<- byte) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	b := make([]byte, 1)
	for {
		if _, err := conn.Read(b); err != nil {
			return
		}
		got <- b[0]
		if _, err := conn.Write(b); err != nil {
			return
		}
	}
}

// TestBrokenLinkHoldsTraffic checks that a broken link delays data in its direction only. Delayed data is delivered when the
// link heals, and a read that waits fails at its deadline.
func TestBrokenLinkHoldsTraffic(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	got := make(chan byte, 10)
	go echoBytes(l, got)
	n := NewNetwork()
	conn, err := n.Dialer("a", func(string) string { return "b" })(context.Background(), "tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	n.Break("b", "a")
	if _, err := conn.Write([]byte{1}); err != nil || <-got != 1 {
		t.Fatalf("write in the working direction: got error %v or another byte, want no error and byte 1", err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("read in the broken direction: got data, want a timeout")
	}
	n.Break("a", "b")
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write([]byte{2})
		written <- err
	}()
	select {
	case b := <-got:
		t.Errorf("write in the broken direction: got byte %d before the link healed, want none", b)
	case <-time.After(20 * time.Millisecond):
	}
	n.HealAll()
	if b := <-got; b != 2 {
		t.Errorf("after healing: got byte %d, want 2", b)
	}
	if err := <-written; err != nil {
		t.Errorf("delayed write: got error %v, want none", err)
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Errorf("read after healing: got error %v, want none", err)
	}
	if n.DelayedCount() < 2 || n.dialedFrom(conn.LocalAddr().String(), conn.RemoteAddr().String()) != "a" {
		t.Errorf("got %d delayed reads and writes, want at least 2; connection dialed from %q, want \"a\"", n.DelayedCount(),
			n.dialedFrom(conn.LocalAddr().String(), conn.RemoteAddr().String()))
	}
}
