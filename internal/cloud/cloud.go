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
	Provision
	Terminate
	List
)

// MachineType is a machine type.
type MachineType struct {
	SKU         string   `json:"sku"`
	VCPUs       float64  `json:"vcpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memory_gb"`
	LocalDiskGB float64  `json:"local_gb"`
	PullGBPerS  float64  `json:"pull_gb_per_s"`
	HourlyPrice float64  `json:"hourly"`
	SpotPrice   float64  `json:"market_price"`
	StartupS    float64  `json:"startup_s"`
	Zones       []string `json:"sites"`
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
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
	Op         Op                `json:"-"`
	RequestID  string            `json:"hire"`
	Model      string            `json:"model"`
	Zone       string            `json:"site"`
	Spot       bool              `json:"standby"`
	Count      int               `json:"number"`
	MachineIDs []ident.MachineID `json:"-"`
	StartAfter ident.MachineID   `json:"-"`
	// NotAfter is the time, by this node's clock, from which the request must not be
	// sent any more; 0: none.
	NotAfter ident.MonotonicTime `json:"-"`
}

// Outcome is what is known after a call.
type Outcome uint8

// The outcomes. Only after Lost may the request still be carried out.
const (
	NoAnswer    Outcome = iota // no answer, or one that the protocol does not name
	OK                         // 200
	NoCapacity                 // 503 "no capacity"
	Unavailable                // 429, or 503 of an outage
	Invalid                    // 400
	NotSent                    // its time was over before it was sent
)

// Response is the answer to any request.
type Response struct {
	Outcome           Outcome
	Error             string
	MachineTypes      []MachineType
	Provisioned       []ident.MachineID
	Machines          []ListedMachine
	Truncated         bool
	ConnectionRefused bool // the connection was refused; the request was not sent
}

const (
	requestTimeout   = 4 * time.Second
	maxResponseBytes = 4 << 20
	listPageSize     = "500"
)

// Client is the HTTP client of the cloud.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient makes a client for the cloud at addr.
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{baseURL: "http://" + addr, httpClient: &http.Client{Transport: transport}}
}

// Do carries out a request.
func (c *Client) Do(request Request) Response {
	method, path := http.MethodGet, ""
	var body any
	switch request.Op {
	case Catalog:
		path = "/catalog"
	case Provision:
		method, path, body = http.MethodPost, "/machines", request
	case Terminate:
		method, path = http.MethodPost, "/machines/return"
		body = struct {
			Hosts []ident.MachineID `json:"hosts"`
		}{request.MachineIDs}
	case List:
		path = "/machines?" + url.Values{"since": {string(request.StartAfter)}, "most": {listPageSize}}.Encode()
	}
	call := httpcall.Call{
		Method:           method,
		URL:              c.baseURL + path,
		Body:             body,
		Timeout:          requestTimeout,
		MaxResponseBytes: maxResponseBytes,
	}
	status, response, err := call.Do(c.httpClient)
	if err != nil {
		return Response{Outcome: NoAnswer, Error: err.Error(), ConnectionRefused: httpcall.ConnectionRefused(err)}
	}
	return decodeResponse(request.Op, status, response)
}

func decodeResponse(op Op, status int, body []byte) Response {
	var problem struct {
		Error string `json:"error"`
	}
	switch status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		if json.Unmarshal(body, &problem) == nil && problem.Error == "no capacity" {
			return Response{Outcome: NoCapacity, Error: problem.Error}
		}
		return Response{Outcome: Unavailable, Error: "503 " + problem.Error}
	case http.StatusTooManyRequests:
		return Response{Outcome: Unavailable, Error: "429"}
	case http.StatusBadRequest:
		return Response{Outcome: Invalid, Error: string(body)}
	default:
		return Response{Outcome: NoAnswer, Error: http.StatusText(status)}
	}
	response := Response{Outcome: OK}
	var err error
	switch op {
	case Catalog:
		var parsed struct {
			Models []MachineType `json:"models"`
		}
		err = json.Unmarshal(body, &parsed)
		response.MachineTypes = parsed.Models
	case Provision:
		var parsed struct {
			Hosts []ident.MachineID `json:"hosts"`
		}
		err = json.Unmarshal(body, &parsed)
		response.Provisioned = parsed.Hosts
	case List:
		var parsed struct {
			Hosts     []ListedMachine `json:"hosts"`
			Truncated bool            `json:"truncated"`
		}
		err = json.Unmarshal(body, &parsed)
		response.Machines, response.Truncated = parsed.Hosts, parsed.Truncated
	}
	if err != nil {
		return Response{Outcome: NoAnswer, Error: err.Error()}
	}
	return response
}
