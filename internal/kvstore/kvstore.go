// Package kvstore is the client of the key-value store, which holds all persistent state of the
// controllers. The store assigns increasing revisions to writes, applies a transaction only if the keys
// that it compares have the expected revisions, and deletes keys whose lease has expired.
package kvstore

import (
	"encoding/json"
	"time"

	"opaldale/internal/ident"
)

// Op identifies the operation of a request.
type Op uint8

// The operations of the store.
const (
	Get         Op = iota // read a key
	List                  // read a page of the keys with a prefix
	Txn                   // apply mutations if all compares succeed
	GrantLease            // create a lease
	RenewLease            // restart the TTL of a lease
	RevokeLease           // end a lease and delete the keys attached to it
	Watch                 // wait for changes to the keys with a prefix
)

// Compare is a condition of a transaction: the key must have a revision. Revision 0 requires that the
// key does not exist.
type Compare struct {
	Key      string         `json:"path"`
	Revision ident.Revision `json:"stamp"`
}

// Mutation is the put or the deletion of one key. Exactly one of Put and Delete is set.
type Mutation struct {
	Put     string          `json:"put,omitempty"` // the key to put
	Value   json.RawMessage `json:"value,omitempty"`
	LeaseID uint64          `json:"grant,omitempty"`  // lease whose end deletes the key; 0: no lease
	Delete  string          `json:"delete,omitempty"` // the key to delete
}

// Request is a request to the store. Only the fields that belong to its Op are used.
type Request struct {
	Op         Op
	Key        string         // Get
	Prefix     string         // List, Watch
	StartAfter string         // List: the last key of the previous page; "" for the first page
	Revision   ident.Revision // Watch: only changes after this revision are returned
	Compares   []Compare      // Txn
	Mutations  []Mutation     // Txn
	TTL        time.Duration  // GrantLease; sent as whole milliseconds
	LeaseID    uint64         // RenewLease, RevokeLease
	Block      time.Duration  // Watch: how long the store may wait for a change; sent as whole milliseconds
	Timeout    time.Duration  // time limit of the whole call; for Watch it must be longer than Block
}

// Outcome is the result of a request as the client sees it.
type Outcome uint8

// The outcomes. After NoResponse it is unknown whether the request was applied, and it may still be applied
// later. After all other outcomes except OK it was not applied.
const (
	NoResponse  Outcome = iota // no response, or one that the protocol does not define
	OK                         // 200
	NotFound                   // 404: no such key or lease
	Conflict                   // 409: at least one compare failed
	Compacted                  // 410: changes since the given revision are no longer available
	Unavailable                // 503: the store can't serve requests at the moment
	RateLimited                // 429: the request rate was too high
	Invalid                    // 400: the request is malformed or exceeds a limit of the store
)

// outcomeNames holds the names that String returns. Golden tests pin them, so some differ from the names
// of the constants.
var outcomeNames = [...]string{
	NoResponse:  "lost",
	OK:          "ok",
	NotFound:    "not found",
	Conflict:    "conflict",
	Compacted:   "too old",
	Unavailable: "refused",
	RateLimited: "limited",
	Invalid:     "bad",
}

// String returns the name of the outcome, or "unknown" if it is not defined.
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
	Revision ident.Revision  `json:"stamp"` // revision of the last put of the key
}

// WatchEvent is one change to a key. Exactly one of Put and Delete is set.
type WatchEvent struct {
	Put      string          `json:"put"` // the key that was put
	Value    json.RawMessage `json:"value"`
	Delete   string          `json:"delete"` // the key that was deleted
	Revision ident.Revision  `json:"stamp"`  // revision of the store after the change
}

// Response is the response to a request. Only the fields that belong to the request's Op are set.
type Response struct {
	Outcome       Outcome         `json:"-"`
	Value         json.RawMessage `json:"value"`     // Get
	Revision      ident.Revision  `json:"stamp"`     // Get: revision of the key
	LeaseID       uint64          `json:"grant"`     // GrantLease: the new lease; Get: the lease of the key
	StoreRevision ident.Revision  `json:"ledger"`    // revision of the store; after Txn, also that of the keys put
	FailedKeys    []string        `json:"failed"`    // outcome Conflict: the keys whose compares failed
	KeyValues     []KeyValue      `json:"pairs"`     // List: in the order of their keys
	Truncated     bool            `json:"truncated"` // List: there are more pages
	Events        []WatchEvent    `json:"news"`      // Watch: in the order of their revisions
	Error         string          `json:"error"`     // error message of the store or the transport, for logs
	// ConnectionRefused reports, if the outcome is NoResponse, that the connection was refused, so that the
	// request was certainly not sent.
	ConnectionRefused bool `json:"-"`
}
