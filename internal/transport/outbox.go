package transport

import "sync/atomic"

// outbox is what waits to be sent to a sibling, bounded by frames and by bytes. Any
// goroutine may put; one takes.
type outbox struct {
	frames      chan *Frame
	queuedBytes atomic.Int64 // of the bodies that wait
}

func newOutbox() *outbox { return &outbox{frames: make(chan *Frame, maxQueuedFrames)} }

// put queues a frame, and says whether there was room.
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

// dequeued notes that a frame has left the queue.
func (o *outbox) dequeued(f *Frame) *Frame {
	o.queuedBytes.Add(-int64(len(f.Body)))
	return f
}

// drain drops what waits.
func (o *outbox) drain() {
	for len(o.frames) > 0 {
		o.dequeued(<-o.frames)
	}
}
