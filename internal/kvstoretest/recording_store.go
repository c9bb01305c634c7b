package kvstoretest

import (
	"strings"

	"opaldale/internal/kvstore"
)

// RequestLog keeps the requests to a store as text, for golden files. A fake store embeds it, and
// records each request before it serves it. The zero value is empty.
type RequestLog struct{ text strings.Builder }

// Record adds the description of a request.
func (l *RequestLog) Record(r kvstore.Request) { l.text.WriteString(Describe(r)) }

// Requests returns the descriptions of all requests, in order.
func (l *RequestLog) Requests() string { return l.text.String() }

// RecordingStore is a SteppedStore that records its requests.
type RecordingStore struct {
	*SteppedStore
	RequestLog
}

// NewRecordingStore makes one with the given keys.
func NewRecordingStore(pairs ...kvstore.KeyValue) *RecordingStore {
	return &RecordingStore{SteppedStore: NewSteppedStore(NewMemoryStore(pairs...))}
}

// Store records a request, and serves it as a SteppedStore does.
func (s *RecordingStore) Store(r kvstore.Request, onResponse func(kvstore.Response)) {
	s.Record(r)
	s.SteppedStore.Store(r, onResponse)
}
