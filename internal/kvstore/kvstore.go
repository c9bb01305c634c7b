// Package kvstore is the client of the key-value store, the only place where controllers keep
// state. The store orders all writes by a revision, applies transactions on the condition that
// the compared keys have given revisions, and deletes keys whose lease has expired.
package kvstore

import (
	"encoding/json"
	"time"

	"opaldale/internal/ident"
)

// Op is the operation of a request.
type Op uint8

// The operations of the store.
const (
	Get         Op = iota // read a key
	List                  // read a page of the keys with a prefix
	Txn                   // apply mutations if all compares hold
	GrantLease            // make a lease
	RenewLease            // restart the TTL of a lease
	RevokeLease           // end a lease and delete its keys
	Watch                 // wait for changes of the keys with a prefix
)

// Compare requires a key to have a revision; 0 requires that the key does not exist.
type Compare struct {
	Key      string         `json:"path"`
	Revision ident.Revision `json:"stamp"`
}

// Mutation puts or deletes one key. Exactly one of Put and Delete is set.
type Mutation struct {
	Put     string          `json:"put,omitempty"` // the key to put
	Value   json.RawMessage `json:"value,omitempty"`
	LeaseID uint64          `json:"grant,omitempty"`  // deletes the key when it ends; 0: no lease
	Delete  string          `json:"delete,omitempty"` // the key to delete
}

// Request is one call; only the fields of its Op are used.
type Request struct {
	Op         Op
	Key        string         // Get
	Prefix     string         // List, Watch
	StartAfter string         // List: last key of the previous page; "" for the first page
	Revision   ident.Revision // Watch: changes after it are returned
	Compares   []Compare      // Txn
	Mutations  []Mutation     // Txn
	TTL        time.Duration  // GrantLease; sent in whole milliseconds
	LeaseID    uint64         // RenewLease, RevokeLease
	Block      time.Duration  // Watch: how long the store may wait for a change; in whole milliseconds
	Timeout    time.Duration  // of the call; for Watch, longer than Block
}

// Outcome is the result of a call, as far as the caller can know it.
type Outcome uint8

// The outcomes. Only after NoAnswer may the request have been applied, or be applied later, without
// the caller knowing; after all others but OK it was not applied.
const (
	NoAnswer    Outcome = iota // no response, or one that the protocol does not define
	OK                         // 200
	NotFound                   // 404: no such key or lease
	Conflict                   // 409: compares failed
	Compacted                  // 410: the revision to watch from is too old
	Unavailable                // 503: the store can't serve requests at present
	RateLimited                // 429: the request rate was too high
	Invalid                    // 400: malformed, or over a limit of the store
)

// outcomeNames are pinned by golden tests, so some differ from the constants' names.
var outcomeNames = [...]string{
	NoAnswer:    "lost",
	OK:          "ok",
	NotFound:    "not found",
	Conflict:    "conflict",
	Compacted:   "too old",
	Unavailable: "refused",
	RateLimited: "limited",
	Invalid:     "bad",
}

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// KeyValue is a key with its value.
type KeyValue struct {
	Key      string          `json:"path"`
	Value    json.RawMessage `json:"value"`
	Revision ident.Revision  `json:"stamp"` // of the last put of the key
}

// WatchEvent is one change of a key. Exactly one of Put and Delete is set.
type WatchEvent struct {
	Put      string          `json:"put"` // the key that was put
	Value    json.RawMessage `json:"value"`
	Delete   string          `json:"delete"` // the key that was deleted
	Revision ident.Revision  `json:"stamp"`  // of the store after the change
}

// Response is the answer to any request; only the fields of the request's Op are set.
type Response struct {
	Outcome       Outcome         `json:"-"`
	Value         json.RawMessage `json:"value"`     // Get
	Revision      ident.Revision  `json:"stamp"`     // Get: of the key
	LeaseID       uint64          `json:"grant"`     // GrantLease; Get: of the key
	StoreRevision ident.Revision  `json:"ledger"`    // of the whole store; after Txn, that of the keys put
	FailedKeys    []string        `json:"failed"`    // Conflict: keys whose compare failed
	KeyValues     []KeyValue      `json:"pairs"`     // List: in the order of their keys
	Truncated     bool            `json:"truncated"` // List: there are more pages
	Events        []WatchEvent    `json:"news"`      // Watch: in the order of their revisions
	Error         string          `json:"error"`     // for the log: what the store or the transport says
	// ConnectionRefused reports, with NoAnswer, that the request was certainly not sent.
	ConnectionRefused bool `json:"-"`
}
