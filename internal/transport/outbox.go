package transport

import "sync/atomic"

// Limits of the queue of a peer. It has room for the worker heartbeats that a fleet of several thousand
// machines sends while a connection is stalled for a few seconds.
const (
	maxQueuedFrames = 8192
	maxQueuedBytes  = 16 << 20
)

// outbox is the queue of frames to be sent to a peer. Any goroutine may call put; only the one that
// sends may call the other methods.
type outbox struct {
	frames      chan *Frame
	queuedBytes atomic.Int64 // total size of the bodies in the queue
}

func newOutbox() *outbox { return &outbox{frames: make(chan *Frame, maxQueuedFrames)} }

// put queues a frame, and reports whether there was room.
func (o *outbox) put(f *Frame) bool {
	size := int64(len(f.Body))
	if o.queuedBytes.Add(size) > maxQueuedBytes {
		o.queuedBytes.Add(-size)
		return false
	}
	select {
	case o.frames <- f:
		return true
	default:
		o.queuedBytes.Add(-size)
		return false
	}
}

// release frees the room of a frame that was taken from the queue, and returns the frame.
func (o *outbox) release(f *Frame) *Frame {
	o.queuedBytes.Add(-int64(len(f.Body)))
	return f
}

// appendQueued takes the frames that are queued at present and appends them to buf, until buf has the
// size of a frame of maximum size.
func (o *outbox) appendQueued(buf []byte) []byte {
	for n := len(o.frames); n > 0 && len(buf) < MaxFrameBytes; n-- {
		buf = o.release(<-o.frames).Append(buf)
	}
	return buf
}

// drain discards all frames in the queue.
func (o *outbox) drain() {
	for len(o.frames) > 0 {
		o.release(<-o.frames)
	}
}
