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

// TestRecorderDetectsViolations shows that the checks of the recorder and of users can fail.
func TestRecorderDetectsViolations(t *testing.T) {
	r := newRecorder()
	task := ident.TaskID{Job: "j-1"}
	alive := func(ident.MachineID) bool { return true }
	first := r.recordStart(task, "host-1", alive)
	if r.recordStart(task, "host-2", func(ident.MachineID) bool { return false }); len(r.violations) != 0 {
		t.Errorf("a task whose machine's lease has expired counts: %v", r.violations)
	}
	if r.recordStart(task, "host-3", alive); len(r.violations) == 0 {
		t.Error("a task that runs twice is not detected")
	}
	before := len(r.violations)
	r.recordCommand("agent-0", ident.MakeFencingToken(4, 1))
	r.recordCommand("agent-0", ident.MakeFencingToken(4, 2))
	r.recordCommand("agent-1", ident.MakeFencingToken(5, 0))
	if len(r.violations) != before {
		t.Errorf("one node a term is a violation: %v", r.violations)
	}
	if r.recordCommand("agent-1", ident.MakeFencingToken(4, 3)); len(r.violations) == before {
		t.Error("two nodes in one term are not detected")
	}
	if r.complete("j-1", 1) {
		t.Error("complete before its end")
	}
	if r.recordEnd(first, true); !r.complete("j-1", 1) || r.complete("j-1", 2) {
		t.Error("completion is not counted by tasks")
	}
	if r.startsAfter("j-1", time.Now().Add(-time.Hour)) != 3 || r.startsAfter("j-1", time.Now()) != 0 {
		t.Error("starts are not counted by time")
	}
	for _, a := range []Answer{{Status: 404}, {Status: 200, Job: api.JobView{Status: "cancelled"}}} {
		u := &user{id: "j-1"}
		if u.checkAnswer(a); len(u.violations) == 0 {
			t.Errorf("%+v is no violation", a)
		}
	}
	u := &user{id: "j-1", finalStatus: "done"}
	if u.checkAnswer(Answer{Status: 200, Job: api.JobView{Status: "running"}}); len(u.violations) == 0 {
		t.Error("an answer that went back is no violation")
	}
}

// echoBytes sends back the data of the first connection, and passes it on.
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

// TestBrokenLinkHoldsTraffic: a broken link holds up data in its direction and lets the other pass. Held data is delivered
// when the link heals, and a deadline ends the wait.
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
		t.Fatalf("the working direction: %v", err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("an answer came by the broken direction")
	}
	n.Break("a", "b")
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write([]byte{2})
		written <- err
	}()
	select {
	case b := <-got:
		t.Errorf("%d passed the broken direction", b)
	case <-time.After(20 * time.Millisecond):
	}
	n.HealAll()
	if b := <-got; b != 2 {
		t.Errorf("%d was delivered", b)
	}
	if err := <-written; err != nil {
		t.Errorf("the delayed write: %v", err)
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Errorf("after healing: %v", err)
	}
	if n.HeldCount() < 2 || n.dialedFrom(conn.LocalAddr().String(), conn.RemoteAddr().String()) != "a" {
		t.Errorf("%d were held up, the connection is of %q", n.HeldCount(),
			n.dialedFrom(conn.LocalAddr().String(), conn.RemoteAddr().String()))
	}
}
