package transport

import "sync/atomic"

// Limits of the send queue of a peer. The queue can hold the worker heartbeats that a fleet of several
// thousand machines sends while the connection is stalled for a few seconds.
const (
	maxQueuedFrames = 8192
	maxQueuedBytes  = 16 << 20
)

// outbox is the send queue of a peer. Any goroutine may call enqueue; only the sending goroutine may call
// the other methods.
type outbox struct {
	frames      chan *Frame
	queuedBytes atomic.Int64 // total size of the bodies of the frames in the queue
}

func newOutbox() *outbox { return &outbox{frames: make(chan *Frame, maxQueuedFrames)} }

// enqueue adds a frame to the queue. It returns false, and drops the frame, if the queue is full.
func (o *outbox) enqueue(f *Frame) bool {
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

// dequeued subtracts the size of a frame that was taken from the queue, and returns the frame.
func (o *outbox) dequeued(f *Frame) *Frame {
	o.queuedBytes.Add(-int64(len(f.Body)))
	return f
}

// appendQueued takes frames from the queue and appends their encodings to buf, until the queue is empty or
// buf is at least MaxFrameBytes long. It does not wait for further frames.
func (o *outbox) appendQueued(buf []byte) []byte {
	for n := len(o.frames); n > 0 && len(buf) < MaxFrameBytes; n-- {
		buf = o.dequeued(<-o.frames).Append(buf)
	}
	return buf
}

// discardAll removes all frames from the queue.
func (o *outbox) discardAll() {
	for len(o.frames) > 0 {
		o.dequeued(<-o.frames)
	}
}
