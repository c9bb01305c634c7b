package transport

import "sync/atomic"

// The queue of a peer is bounded by frames and by the bytes of their bodies. It holds the
// heartbeats that a fleet of some thousand machines sends while a connection is stalled for a few
// seconds.
const (
	maxQueuedFrames = 8192
	maxQueuedBytes  = 16 << 20
)

// outbox is the queue of frames to be sent to a peer. Any goroutine may put; one takes.
type outbox struct {
	frames      chan *Frame
	queuedBytes atomic.Int64 // of the bodies in the queue
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

// dequeued must be called with each frame taken from the queue. It returns the frame.
func (o *outbox) dequeued(f *Frame) *Frame {
	o.queuedBytes.Add(-int64(len(f.Body)))
	return f
}

// appendQueued takes the frames that are queued by now, as far as buf stays within about one
// frame of the largest size, and appends them to buf.
func (o *outbox) appendQueued(buf []byte) []byte {
	for n := len(o.frames); n > 0 && len(buf) < MaxFrameBytes; n-- {
		buf = o.dequeued(<-o.frames).Append(buf)
	}
	return buf
}

// drain drops all frames in the queue.
func (o *outbox) drain() {
	for len(o.frames) > 0 {
		o.dequeued(<-o.frames)
	}
}
