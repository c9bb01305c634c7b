package transport

import "testing"

// TestOutboxBounds: the queue holds maxQueuedFrames heartbeats, the total size of the bodies is limited, and
// after a frame is dequeued exactly one more frame of the same size is accepted.
func TestOutboxBounds(t *testing.T) {
	small := &Frame{Type: MsgRequest, Body: make([]byte, 1500)}
	large := &Frame{Type: MsgRequest, Body: make([]byte, 64<<10)}
	for _, c := range []struct {
		name  string
		frame *Frame
		want  int
	}{
		{"heartbeats of a fleet", small, maxQueuedFrames},
		{"largest bodies", large, maxQueuedBytes / (64 << 10)},
	} {
		o := newOutbox()
		n := 0
		for o.enqueue(c.frame) {
			n++
		}
		if n != c.want {
			t.Errorf("%s: the queue accepted %d frames, want %d", c.name, n, c.want)
		}
		o.dequeued(<-o.frames)
		if !o.enqueue(c.frame) || o.enqueue(c.frame) {
			t.Errorf("%s: after a frame was dequeued: got no or more than one further frame accepted, want exactly one", c.name)
		}
		o.discardAll()
		if o.queuedBytes.Load() != 0 || !o.enqueue(c.frame) {
			t.Errorf("%s: %d bytes counted after discardAll, want 0 and a frame accepted", c.name, o.queuedBytes.Load())
		}
	}
}
