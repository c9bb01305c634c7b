// Package statesvc speaks to the state service, the only place where
// controllers keep anything.
package statesvc

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
	Grant
	Extend
	Revoke
	Follow
)

// Cond requires a key to have a stamp; 0: the key must not exist.
type Cond struct {
	Path  string      `json:"path"`
	Stamp ident.Stamp `json:"stamp"`
}

// Change puts or deletes one key.
type Change struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Grant  uint64          `json:"grant,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Request is one call; only the fields of its Op are used.
type Request struct {
	Op      Op
	Path    string // Get
	Starts  string // List, Follow
	Since   string // List
	Ledger  uint64 // Follow
	If      []Cond
	Then    []Change
	TTL     time.Duration // Grant
	Grant   uint64        // Extend, Revoke
	Block   time.Duration // Follow
	Timeout time.Duration
}

// Outcome is what is known after a call.
type Outcome uint8

// The outcomes. Only after Lost may the request still be carried out.
const (
	Lost     Outcome = iota // no answer: carried out, or not, or later
	OK                      // 200
	NotFound                // 404
	Conflict                // 409
	TooOld                  // 410
	Refused                 // 503: not executed
	Limited                 // 429: not executed, the rate was too high
	Bad                     // 400 and what the protocol does not name
)

func (o Outcome) String() string {
	return [...]string{"lost", "ok", "not found", "conflict", "too old", "refused", "limited", "bad"}[o]
}

// Pair is a key with its value.
type Pair struct {
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value"`
	Stamp ident.Stamp     `json:"stamp"`
}

// News is one change seen by Follow.
type News struct {
	Put    string          `json:"put"`
	Value  json.RawMessage `json:"value"`
	Delete string          `json:"delete"`
	Stamp  ident.Stamp     `json:"stamp"`
}

// Reply is the answer to any request.
type Reply struct {
	Outcome   Outcome         `json:"-"`
	Value     json.RawMessage `json:"value"`
	Stamp     ident.Stamp     `json:"stamp"`
	Grant     uint64          `json:"grant"`
	Ledger    uint64          `json:"ledger"`
	Failed    []string        `json:"failed"`
	Pairs     []Pair          `json:"pairs"`
	Truncated bool            `json:"truncated"`
	News      []News          `json:"news"`
	Error     string          `json:"error"`
	// Rejected says that the connection was refused; the request was not sent.
	Rejected bool `json:"-"`
}

// maxReply bounds what is read of an answer: a list has at most 512 KiB, the
// news may have more.
const maxReply = 8 << 20

// Client is the HTTP client of the state service.
type Client struct {
	base string
	http *http.Client
}

// NewClient makes a client for the service at addr.
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: transport}}
}

// Do carries out a request. It never guesses: whatever is not a clear answer
// is Lost.
func (c *Client) Do(r Request) Reply {
	method, path, sent := request(r)
	status, body, err := httpcall.Do(c.http, r.Timeout, method, c.base+path, sent, maxReply)
	if err != nil {
		return Reply{Outcome: Lost, Error: err.Error(), Rejected: httpcall.Rejected(err)}
	}
	var out Reply
	switch status {
	case http.StatusOK:
		out.Outcome = OK
	case http.StatusNotFound:
		out.Outcome = NotFound
	case http.StatusConflict:
		out.Outcome = Conflict
	case http.StatusGone:
		out.Outcome = TooOld
	case http.StatusTooManyRequests:
		return Reply{Outcome: Limited, Error: http.StatusText(status)}
	case http.StatusServiceUnavailable:
		return Reply{Outcome: Refused, Error: http.StatusText(status)}
	case http.StatusBadRequest:
		out.Outcome = Bad
	default:
		// Not in the protocol: it may have been carried out.
		return Reply{Outcome: Lost, Error: http.StatusText(status)}
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &out); err != nil && out.Outcome == OK {
			return Reply{Outcome: Lost, Error: err.Error()}
		}
	}
	return out
}

// request puts a request in the service's words.
func request(r Request) (method, path string, body any) {
	switch r.Op {
	case List:
		q := url.Values{"starts": {r.Starts}, "most": {"1000"}}
		if r.Since != "" {
			q.Set("since", r.Since)
		}
		return http.MethodGet, "/keys?" + q.Encode(), nil
	case Txn:
		return http.MethodPost, "/txn", struct {
			If   []Cond   `json:"if"`
			Then []Change `json:"then,omitempty"`
		}{r.If, r.Then}
	case Grant:
		return http.MethodPost, "/leases", struct {
			TTL int64 `json:"ttl_ms"`
		}{r.TTL.Milliseconds()}
	case Extend:
		return http.MethodPost, "/leases/" + strconv.FormatUint(r.Grant, 10) + "/extend", nil
	case Revoke:
		return http.MethodDelete, "/leases/" + strconv.FormatUint(r.Grant, 10), nil
	case Follow:
		q := url.Values{"starts": {r.Starts}, "since": {strconv.FormatUint(r.Ledger, 10)},
			"block_ms": {strconv.FormatInt(r.Block.Milliseconds(), 10)}}
		return http.MethodGet, "/follow?" + q.Encode(), nil
	}
	return http.MethodGet, "/keys/" + r.Path, nil
}
