package transport

import "testing"

// TestOutboxBounds: the queue has room for maxQueuedFrames heartbeats, the total size of large bodies is
// limited, and each frame taken makes room for another one.
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
		for o.put(c.frame) {
			n++
		}
		if n != c.want {
			t.Errorf("%s: %d frames found room, want %d", c.name, n, c.want)
		}
		o.release(<-o.frames)
		if !o.put(c.frame) || o.put(c.frame) {
			t.Errorf("%s: a frame that is taken must make room for one", c.name)
		}
		o.drain()
		if o.queuedBytes.Load() != 0 || !o.put(c.frame) {
			t.Errorf("%s: after drain %d bytes are counted", c.name, o.queuedBytes.Load())
		}
	}
}
