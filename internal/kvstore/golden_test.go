package kvstore

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"opaldale/internal/decodetest"
	"opaldale/internal/golden"
)

// TestGoldenRequests pins the HTTP method, path, query and body of each operation.
func TestGoldenRequests(t *testing.T) {
	var d golden.Document
	transport := &golden.Transport{Status: http.StatusOK, Body: "{}"}
	c := NewClient("state:1", transport)
	for _, tc := range []struct {
		name    string
		request Request
	}{
		{"get", Request{Op: Get, Key: "live/j-1"}},
		{"first page of a list", Request{Op: List, Prefix: "live/"}},
		{"next page of a list", Request{Op: List, Prefix: "live/", StartAfter: "live/j-1"}},
		{"transaction", Request{
			Op:       Txn,
			Compares: []Compare{{Key: "leader", Revision: 11}, {Key: "over/j-1"}},
			Mutations: []Mutation{
				{Put: "leader", Value: json.RawMessage(`{"node":"agent-1"}`), LeaseID: 12},
				{Put: "term", Value: json.RawMessage("13")},
				{Delete: "live/j-1"},
			},
		}},
		{"transaction without changes", Request{Op: Txn, Compares: []Compare{{Key: "leader", Revision: 14}}}},
		{"transaction without conditions", Request{Op: Txn, Mutations: []Mutation{{Delete: "live/j-1"}}}},
		{"grant of a lease", Request{Op: GrantLease, TTL: 1500 * time.Millisecond}},
		{"extension of a lease", Request{Op: RenewLease, LeaseID: 15}},
		{"end of a lease", Request{Op: RevokeLease, LeaseID: 16}},
		{"watch", Request{Op: Watch, Prefix: "leader", Revision: 17, Block: 18 * time.Second}},
	} {
		tc.request.Timeout = time.Minute
		c.Do(tc.request)
		d.Add(tc.name, transport.NewestRequest)
	}
	d.Compare(t, "requests")
}

// TestGoldenAnswers pins the decoding of each field of a response, and the outcome for each HTTP status.
func TestGoldenAnswers(t *testing.T) {
	var d golden.Document
	for v := range golden.BoolVariants {
		want := golden.Filled[Response](v)
		want.Outcome, want.ConnectionRefused = OK, false
		d.JSON(t, fmt.Sprintf("response %d", v), want)
		body, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		c := NewClient("state:1", &golden.Transport{Status: http.StatusOK, Body: string(body)})
		if got := c.Do(Request{Timeout: time.Minute}); !reflect.DeepEqual(got, want) {
			t.Errorf("response %s was decoded as %+v, want %+v", body, got, want)
		}
		parse := func(body []byte) (Response, error) { return decodeResponse(http.StatusOK, body), nil }
		decodetest.UnknownFields(t, body, parse)
	}
	golden.RoundTrip(t, &d, "key", golden.Filled[KeyValue](0))
	golden.RoundTrip(t, &d, "change seen", golden.Filled[WatchEvent](0))
	var b strings.Builder
	for _, status := range []int{200, 201, 400, 404, 409, 410, 429, 500, 503} {
		c := NewClient("state:1", &golden.Transport{Status: status, Body: `{"failed":["a"],"error":"why"}`})
		r := c.Do(Request{Timeout: time.Minute})
		fmt.Fprintf(&b, "%d: %s, failed %v, error %q\n", status, r.Outcome, r.FailedKeys, r.Error)
	}
	d.Add("outcomes", b.String())
	d.Compare(t, "answers")
}
