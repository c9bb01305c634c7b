package kvstore

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"opaldale/internal/decode"
	"opaldale/internal/httpcall"
)

const (
	// listPageSize is the number of keys requested per page of a list.
	listPageSize = 1000
	// maxResponseBytes is the largest response body that the client reads. A page of a list has at most
	// 512 KiB; the events of a watch may be larger.
	maxResponseBytes = 8 << 20
)

// Client is the HTTP client of the store. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client of the store at addr, which has the form host:port.
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{baseURL: "http://" + addr, httpClient: &http.Client{Transport: transport}}
}

// Do sends a request once, without retries. If it receives no response, or one that the protocol does not
// define, the outcome is NoResponse.
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
		return Response{Outcome: NoResponse, Error: err.Error(), ConnectionRefused: httpcall.ConnectionRefused(err)}
	}
	return decodeResponse(status, responseBody)
}

// decodeResponse decodes a response from an HTTP status and body.
func decodeResponse(status int, body []byte) Response {
	outcome := outcomeOf(status)
	switch outcome {
	case NoResponse, RateLimited, Unavailable:
		return Response{Outcome: outcome, Error: http.StatusText(status)} // the protocol defines no body
	}
	response := Response{Outcome: outcome}
	if len(body) == 0 {
		return response
	}
	if err := decode.JSON(body, &response); err != nil && outcome == OK {
		return Response{Outcome: NoResponse, Error: err.Error()}
	}
	return response
}

// outcomeOf returns the outcome for an HTTP status. For a status that the protocol does not define it
// returns NoResponse, because the request may have been applied.
func outcomeOf(status int) Outcome {
	switch status {
	case http.StatusOK:
		return OK
	case http.StatusNotFound:
		return NotFound
	case http.StatusConflict:
		return Conflict
	case http.StatusGone:
		return Compacted
	case http.StatusTooManyRequests:
		return RateLimited
	case http.StatusServiceUnavailable:
		return Unavailable
	case http.StatusBadRequest:
		return Invalid
	}
	return NoResponse
}

// httpRequest returns the HTTP method, the path with the query, and the body of a request.
func httpRequest(r Request) (method, path string, body any) {
	switch r.Op {
	case Get:
		return http.MethodGet, "/keys/" + r.Key, nil
	case List:
		return http.MethodGet, "/keys?" + listQuery(r).Encode(), nil
	case Txn:
		return http.MethodPost, "/txn", txnBody{If: r.Compares, Then: r.Mutations}
	case GrantLease:
		return http.MethodPost, "/leases", grantLeaseBody{TTL: r.TTL.Milliseconds()}
	case RenewLease:
		return http.MethodPost, "/leases/" + strconv.FormatUint(r.LeaseID, 10) + "/extend", nil
	case RevokeLease:
		return http.MethodDelete, "/leases/" + strconv.FormatUint(r.LeaseID, 10), nil
	case Watch:
		return http.MethodGet, "/follow?" + watchQuery(r).Encode(), nil
	}
	panic(fmt.Sprintf("kvstore: unknown operation %d", r.Op))
}

type txnBody struct {
	If   []Compare  `json:"if"`
	Then []Mutation `json:"then,omitempty"`
}

type grantLeaseBody struct {
	TTL int64 `json:"ttl_ms"`
}

func listQuery(r Request) url.Values {
	query := url.Values{"starts": {r.Prefix}, "most": {strconv.Itoa(listPageSize)}}
	if r.StartAfter != "" {
		query.Set("since", r.StartAfter)
	}
	return query
}

func watchQuery(r Request) url.Values {
	return url.Values{
		"starts":   {r.Prefix},
		"since":    {strconv.FormatUint(uint64(r.Revision), 10)},
		"block_ms": {strconv.FormatInt(r.Block.Milliseconds(), 10)},
	}
}
