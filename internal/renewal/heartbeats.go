package renewal

import "opaldale/internal/ident"

// maxSentHeartbeats is the number of heartbeats that are remembered.
const maxSentHeartbeats = 64

// SentHeartbeats records when the newest heartbeats of this process were sent, to date the echoes of
// peers. The zero SentHeartbeats is empty and ready to use.
type SentHeartbeats struct {
	heartbeats [maxSentHeartbeats]sentHeartbeat // a ring
	count      int                              // of all heartbeats recorded so far
}

type sentHeartbeat struct {
	id uint64
	at ident.MonotonicTime
}

// Record adds a heartbeat.
func (h *SentHeartbeats) Record(id uint64, at ident.MonotonicTime) {
	h.heartbeats[h.count%maxSentHeartbeats] = sentHeartbeat{id: id, at: at}
	h.count++
}

// SentAt returns when a heartbeat was sent, or false if it is not among the newest ones of this process.
func (h *SentHeartbeats) SentAt(id uint64) (ident.MonotonicTime, bool) {
	for _, heartbeat := range h.heartbeats[:min(h.count, maxSentHeartbeats)] {
		if heartbeat.id == id {
			return heartbeat.at, true
		}
	}
	return 0, false
}
