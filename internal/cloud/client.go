package cloud

import (
	"net/http"
	"net/url"
	"time"

	"opaldale/internal/decode"
	"opaldale/internal/httpcall"
	"opaldale/internal/ident"
)

const (
	requestTimeout   = 4 * time.Second
	maxResponseBytes = 4 << 20
	listPageSize     = "500" // the maximum that the API allows
)

// noCapacityError is the error in the body of a response with status 503 that distinguishes a lack of
// machines from an outage of the API.
const noCapacityError = "no capacity"

// Client is a client of the provider's API.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client for the API at addr, which has the form host:port.
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{baseURL: "http://" + addr, httpClient: &http.Client{Transport: transport}}
}

// machineIDList is the body of a termination request and of the response to a provisioning request.
type machineIDList struct {
	MachineIDs []ident.MachineID `json:"hosts"`
}

// Do sends a request and waits for the response.
func (c *Client) Do(request Request) Response {
	method, path, body := request.encode()
	call := httpcall.Call{
		Method:           method,
		URL:              c.baseURL + path,
		Body:             body,
		Timeout:          requestTimeout,
		MaxResponseBytes: maxResponseBytes,
	}
	status, response, err := call.Do(c.httpClient)
	if err != nil {
		return Response{Outcome: NoResponse, Error: err.Error(), ConnectionRefused: httpcall.ConnectionRefused(err)}
	}
	return decodeResponse(request.Op, status, response)
}

// encode returns the HTTP method, the path with the query, and the body of the request, which is nil if the
// request has none.
func (r Request) encode() (method, path string, body any) {
	switch r.Op {
	case Catalog:
		return http.MethodGet, "/catalog", nil
	case Provision:
		return http.MethodPost, "/machines", r
	case Terminate:
		return http.MethodPost, "/machines/return", machineIDList{r.MachineIDs}
	case List:
		query := url.Values{"since": {string(r.StartAfter)}, "most": {listPageSize}}
		return http.MethodGet, "/machines?" + query.Encode(), nil
	}
	return http.MethodGet, "", nil
}

func decodeResponse(op Op, status int, body []byte) Response {
	if status != http.StatusOK {
		return decodeFailure(status, body)
	}
	response, err := decodeSuccess(op, body)
	if err != nil {
		return Response{Outcome: NoResponse, Error: err.Error()}
	}
	response.Outcome = OK
	return response
}

// decodeFailure decodes a response with a status other than 200.
func decodeFailure(status int, body []byte) Response {
	switch status {
	case http.StatusServiceUnavailable:
		var problem struct {
			Error string `json:"error"`
		}
		if decode.JSON(body, &problem) == nil && problem.Error == noCapacityError {
			return Response{Outcome: NoCapacity, Error: problem.Error}
		}
		return Response{Outcome: Unavailable, Error: "503 " + problem.Error}
	case http.StatusTooManyRequests:
		return Response{Outcome: Unavailable, Error: "429"}
	case http.StatusBadRequest:
		return Response{Outcome: Invalid, Error: string(body)}
	}
	return Response{Outcome: NoResponse, Error: http.StatusText(status)}
}

// decodeSuccess decodes the body of a response with status 200.
func decodeSuccess(op Op, body []byte) (Response, error) {
	switch op {
	case Catalog:
		var catalog struct {
			Models []MachineType `json:"models"`
		}
		err := decode.JSON(body, &catalog)
		return Response{MachineTypes: catalog.Models}, err
	case Provision:
		var provisioned machineIDList
		err := decode.JSON(body, &provisioned)
		return Response{Provisioned: provisioned.MachineIDs}, err
	case List:
		var list struct {
			Machines  []ListedMachine `json:"hosts"`
			Truncated bool            `json:"truncated"`
		}
		err := decode.JSON(body, &list)
		return Response{Machines: list.Machines, Truncated: list.Truncated}, err
	}
	return Response{}, nil // the bodies of other responses are ignored
}
