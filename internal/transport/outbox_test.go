package transport

import "testing"

// TestOutboxBounds: reports of some thousand machines wait together, large bodies are
// bounded by their bytes, and what is taken makes room again.
func TestOutboxBounds(t *testing.T) {
	small, large := &Frame{Type: MsgRequest, Body: make([]byte, 1500)}, &Frame{Type: MsgRequest, Body: make([]byte, 64<<10)}
	for _, c := range []struct {
		name  string
		frame *Frame
		want  int
	}{
		{"reports of a fleet", small, maxQueuedFrames},
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
		o.dequeued(<-o.frames)
		if !o.put(c.frame) || o.put(c.frame) {
			t.Errorf("%s: one that is taken makes room for one", c.name)
		}
		o.drain()
		if o.queuedBytes.Load() != 0 || !o.put(c.frame) {
			t.Errorf("%s: after a drain %d bytes are counted", c.name, o.queuedBytes.Load())
		}
	}
}
