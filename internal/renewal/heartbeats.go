package renewal

import "opaldale/internal/ident"

// maxSentHeartbeats is the number of sent heartbeats whose times are kept.
const maxSentHeartbeats = 64

// SentHeartbeats records when this process sent its newest heartbeats, so that a heartbeat echoed by a peer
// can be matched to the time at which it was sent. The zero SentHeartbeats is empty and ready to use.
type SentHeartbeats struct {
	heartbeats [maxSentHeartbeats]sentHeartbeat // ring buffer
	count      int                              // number of all heartbeats recorded so far
}

type sentHeartbeat struct {
	id uint64
	at ident.MonotonicTime
}

// Record adds a heartbeat, and overwrites the oldest one if maxSentHeartbeats are recorded.
func (h *SentHeartbeats) Record(id uint64, at ident.MonotonicTime) {
	h.heartbeats[h.count%maxSentHeartbeats] = sentHeartbeat{id: id, at: at}
	h.count++
}

// SentAt returns when a heartbeat was sent, or false if it is not among the recorded ones.
func (h *SentHeartbeats) SentAt(id uint64) (ident.MonotonicTime, bool) {
	for _, heartbeat := range h.heartbeats[:min(h.count, maxSentHeartbeats)] {
		if heartbeat.id == id {
			return heartbeat.at, true
		}
	}
	return 0, false
}
