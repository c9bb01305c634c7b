// Package cloud speaks to the cloud that rents machines.
package cloud

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"opaldale/internal/httpcall"
	"opaldale/internal/ident"
)

// Op is what a request asks for.
type Op uint8

// The operations of the cloud.
const (
	Catalog Op = iota
	Rent
	Return
	List
)

// Model is a machine type.
type Model struct {
	SKU         string   `json:"sku"`
	VCPUs       float64  `json:"vcpus"`
	Cards       float64  `json:"cards"`
	MemoryGB    float64  `json:"memory_gb"`
	LocalGB     float64  `json:"local_gb"`
	PullGBPerS  float64  `json:"pull_gb_per_s"`
	Hourly      float64  `json:"hourly"`
	MarketPrice float64  `json:"market_price"`
	StartupS    float64  `json:"startup_s"`
	Zones       []string `json:"sites"`
}

// Listed is a machine in the cloud's list.
type Listed struct {
	ID     ident.MachineID `json:"id"`
	Addr   string          `json:"addr"`
	Model  string          `json:"model"`
	Zone   string          `json:"site"`
	Spot   bool            `json:"standby"`
	Status string          `json:"status"`
	AgeS   float64         `json:"age_s"`
}

// Request is one call; only the fields of its Op are used.
type Request struct {
	Op     Op                `json:"-"`
	Hire   string            `json:"hire"`
	Model  string            `json:"model"`
	Zone   string            `json:"site"`
	Spot   bool              `json:"standby"`
	Number int               `json:"number"`
	Hosts  []ident.MachineID `json:"-"`
	Since  ident.MachineID   `json:"-"`
	// NotAfter is the time, by this node's clock, from which the request must not be
	// sent any more; 0: none.
	NotAfter ident.MonotonicTime `json:"-"`
}

// Outcome is what is known after a call.
type Outcome uint8

// The outcomes. Only after Lost may the request still be carried out.
const (
	Lost       Outcome = iota // no answer, or one that the protocol does not name
	OK                        // 200
	NoCapacity                // 503 "no capacity"
	Refused                   // 429, or 503 of an outage
	Bad                       // 400
	Unsent                    // its time was over before it was sent
)

// Reply is the answer to any request.
type Reply struct {
	Outcome   Outcome
	Error     string
	Models    []Model
	Rented    []ident.MachineID
	Listed    []Listed
	Truncated bool
	Rejected  bool // the connection was refused; the request was not sent
}

const (
	timeout  = 4 * time.Second
	maxReply = 4 << 20
	listMost = "500"
)

// Client is the HTTP client of the cloud.
type Client struct {
	base string
	http *http.Client
}

// NewClient makes a client for the cloud at addr.
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: transport}}
}

// Do carries out a request.
func (c *Client) Do(r Request) Reply {
	method, path := http.MethodGet, ""
	var body any
	switch r.Op {
	case Catalog:
		path = "/catalog"
	case Rent:
		method, path, body = http.MethodPost, "/machines", r
	case Return:
		method, path = http.MethodPost, "/machines/return"
		body = struct {
			Hosts []ident.MachineID `json:"hosts"`
		}{r.Hosts}
	case List:
		path = "/machines?" + url.Values{"since": {string(r.Since)}, "most": {listMost}}.Encode()
	}
	status, b, err := httpcall.Do(c.http, timeout, method, c.base+path, body, maxReply)
	if err != nil {
		return Reply{Outcome: Lost, Error: err.Error(), Rejected: httpcall.ConnectionRefused(err)}
	}
	return decode(r.Op, status, b)
}

func decode(op Op, status int, body []byte) Reply {
	var problem struct {
		Error string `json:"error"`
	}
	switch status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		if json.Unmarshal(body, &problem) == nil && problem.Error == "no capacity" {
			return Reply{Outcome: NoCapacity, Error: problem.Error}
		}
		return Reply{Outcome: Refused, Error: "503 " + problem.Error}
	case http.StatusTooManyRequests:
		return Reply{Outcome: Refused, Error: "429"}
	case http.StatusBadRequest:
		return Reply{Outcome: Bad, Error: string(body)}
	default:
		return Reply{Outcome: Lost, Error: http.StatusText(status)}
	}
	out := Reply{Outcome: OK}
	var err error
	switch op {
	case Catalog:
		var v struct {
			Models []Model `json:"models"`
		}
		err = json.Unmarshal(body, &v)
		out.Models = v.Models
	case Rent:
		var v struct {
			Hosts []ident.MachineID `json:"hosts"`
		}
		err = json.Unmarshal(body, &v)
		out.Rented = v.Hosts
	case List:
		var v struct {
			Hosts     []Listed `json:"hosts"`
			Truncated bool     `json:"truncated"`
		}
		err = json.Unmarshal(body, &v)
		out.Listed, out.Truncated = v.Hosts, v.Truncated
	}
	if err != nil {
		return Reply{Outcome: Lost, Error: err.Error()}
	}
	return out
}
