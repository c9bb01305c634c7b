// Package kvstore speaks to the state service, the only place where
// controllers keep anything.
package kvstore

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"opaldale/internal/httpcall"
	"opaldale/internal/ident"
)

// Op is what a request asks for.
type Op uint8

// The operations of the state service.
const (
	Get Op = iota
	List
	Txn
	GrantLease
	RenewLease
	RevokeLease
	Watch
)

// Compare requires a key to have a stamp; 0: the key must not exist.
type Compare struct {
	Key      string         `json:"path"`
	Revision ident.Revision `json:"stamp"`
}

// Mutation puts or deletes one key.
type Mutation struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	LeaseID uint64          `json:"grant,omitempty"`
	Delete  string          `json:"delete,omitempty"`
}

// Request is one call; only the fields of its Op are used.
type Request struct {
	Op         Op
	Key        string         // Get
	Prefix     string         // List, Follow
	StartAfter string         // List
	Revision   ident.Revision // Follow
	Compares   []Compare
	Mutations  []Mutation
	TTL        time.Duration // Grant
	LeaseID    uint64        // Extend, Revoke
	Block      time.Duration // Follow
	Timeout    time.Duration
}

// Outcome is what is known after a call.
type Outcome uint8

// The outcomes. Only after Lost may the request still be carried out.
const (
	NoAnswer    Outcome = iota // no answer: carried out, or not, or later
	OK                         // 200
	NotFound                   // 404
	Conflict                   // 409
	Compacted                  // 410
	Unavailable                // 503: not executed
	RateLimited                // 429: not executed, the rate was too high
	Invalid                    // 400 and what the protocol does not name
)

func (o Outcome) String() string {
	return [...]string{"lost", "ok", "not found", "conflict", "too old", "refused", "limited", "bad"}[o]
}

// KeyValue is a key with its value.
type KeyValue struct {
	Key      string          `json:"path"`
	Value    json.RawMessage `json:"value"`
	Revision ident.Revision  `json:"stamp"`
}

// WatchEvent is one change seen by Follow.
type WatchEvent struct {
	Put      string          `json:"put"`
	Value    json.RawMessage `json:"value"`
	Delete   string          `json:"delete"`
	Revision ident.Revision  `json:"stamp"`
}

// Response is the answer to any request.
type Response struct {
	Outcome       Outcome         `json:"-"`
	Value         json.RawMessage `json:"value"`
	Revision      ident.Revision  `json:"stamp"`
	LeaseID       uint64          `json:"grant"`
	StoreRevision ident.Revision  `json:"ledger"`
	FailedKeys    []string        `json:"failed"`
	KeyValues     []KeyValue      `json:"pairs"`
	Truncated     bool            `json:"truncated"`
	Events        []WatchEvent    `json:"news"`
	Error         string          `json:"error"`
	// ConnectionRefused says that the connection was refused; the request was not sent.
	ConnectionRefused bool `json:"-"`
}

// maxResponseBytes bounds what is read of an answer: a list has at most 512 KiB, the
// news may have more.
const maxResponseBytes = 8 << 20

// Client is the HTTP client of the state service.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient makes a client for the service at addr.
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{baseURL: "http://" + addr, httpClient: &http.Client{Transport: transport}}
}

// Do carries out a request. It never guesses: whatever is not a clear answer
// is Lost.
func (c *Client) Do(r Request) Response {
	method, path, requestBody := httpRequest(r)
	call := httpcall.Call{
		Method:           method,
		URL:              c.baseURL + path,
		Body:             requestBody,
		Timeout:          r.Timeout,
		MaxResponseBytes: maxResponseBytes,
	}
	status, responseBody, err := call.Do(c.httpClient)
	if err != nil {
		return Response{Outcome: NoAnswer, Error: err.Error(), ConnectionRefused: httpcall.ConnectionRefused(err)}
	}
	var response Response
	switch status {
	case http.StatusOK:
		response.Outcome = OK
	case http.StatusNotFound:
		response.Outcome = NotFound
	case http.StatusConflict:
		response.Outcome = Conflict
	case http.StatusGone:
		response.Outcome = Compacted
	case http.StatusTooManyRequests:
		return Response{Outcome: RateLimited, Error: http.StatusText(status)}
	case http.StatusServiceUnavailable:
		return Response{Outcome: Unavailable, Error: http.StatusText(status)}
	case http.StatusBadRequest:
		response.Outcome = Invalid
	default:
		// Not in the protocol: it may have been carried out.
		return Response{Outcome: NoAnswer, Error: http.StatusText(status)}
	}
	if len(responseBody) > 0 {
		if err := json.Unmarshal(responseBody, &response); err != nil && response.Outcome == OK {
			return Response{Outcome: NoAnswer, Error: err.Error()}
		}
	}
	return response
}

// httpRequest puts a request in the service's words.
func httpRequest(r Request) (method, path string, body any) {
	switch r.Op {
	case List:
		query := url.Values{"starts": {r.Prefix}, "most": {"1000"}}
		if r.StartAfter != "" {
			query.Set("since", r.StartAfter)
		}
		return http.MethodGet, "/keys?" + query.Encode(), nil
	case Txn:
		return http.MethodPost, "/txn", struct {
			If   []Compare  `json:"if"`
			Then []Mutation `json:"then,omitempty"`
		}{r.Compares, r.Mutations}
	case GrantLease:
		return http.MethodPost, "/leases", struct {
			TTL int64 `json:"ttl_ms"`
		}{r.TTL.Milliseconds()}
	case RenewLease:
		return http.MethodPost, "/leases/" + strconv.FormatUint(r.LeaseID, 10) + "/extend", nil
	case RevokeLease:
		return http.MethodDelete, "/leases/" + strconv.FormatUint(r.LeaseID, 10), nil
	case Watch:
		query := url.Values{"starts": {r.Prefix}, "since": {strconv.FormatUint(uint64(r.Revision), 10)},
			"block_ms": {strconv.FormatInt(r.Block.Milliseconds(), 10)}}
		return http.MethodGet, "/follow?" + query.Encode(), nil
	}
	return http.MethodGet, "/keys/" + r.Key, nil
}
