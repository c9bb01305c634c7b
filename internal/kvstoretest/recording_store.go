package kvstoretest

import (
	"strings"

	"opaldale/internal/kvstore"
)

// RequestLog records the requests to a store as text, for golden files. A fake store embeds a RequestLog
// and calls Record with each request before it serves the request. The zero value is an empty log.
type RequestLog struct{ text strings.Builder }

// Record appends the description of a request.
func (l *RequestLog) Record(r kvstore.Request) { l.text.WriteString(Describe(r)) }

// Requests returns the descriptions of all recorded requests, in order.
func (l *RequestLog) Requests() string { return l.text.String() }

// RecordingStore is a SteppedStore that records its requests.
type RecordingStore struct {
	*SteppedStore
	RequestLog
}

// NewRecordingStore returns a RecordingStore with the given keys.
func NewRecordingStore(pairs ...kvstore.KeyValue) *RecordingStore {
	return &RecordingStore{SteppedStore: NewSteppedStore(NewMemoryStore(pairs...))}
}

// Store records a request, and then serves it as SteppedStore does.
func (s *RecordingStore) Store(r kvstore.Request, onResponse func(kvstore.Response)) {
	s.Record(r)
	s.SteppedStore.Store(r, onResponse)
}
