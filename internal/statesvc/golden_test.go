package statesvc

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"opaldale/internal/golden"
)

// TestGoldenRequests pins method, path, query and body of each operation.
func TestGoldenRequests(t *testing.T) {
	var d golden.Document
	transport := &golden.Transport{Status: http.StatusOK, Body: "{}"}
	c := NewClient("state:1", transport)
	for _, x := range []struct {
		name    string
		request Request
	}{
		{"get", Request{Op: Get, Path: "live/j-1"}},
		{"first page of a list", Request{Op: List, Starts: "live/"}},
		{"next page of a list", Request{Op: List, Starts: "live/", Since: "live/j-1"}},
		{"transaction", Request{Op: Txn, If: []Cond{{Path: "leader", Stamp: 11}, {Path: "over/j-1"}},
			Then: []Change{{Put: "leader", Value: json.RawMessage(`{"node":"agent-1"}`), Grant: 12}, {Put: "term", Value: json.RawMessage("13")}, {Delete: "live/j-1"}}}},
		{"transaction without changes", Request{Op: Txn, If: []Cond{{Path: "leader", Stamp: 14}}}},
		{"transaction without conditions", Request{Op: Txn, Then: []Change{{Delete: "live/j-1"}}}},
		{"grant of a lease", Request{Op: Grant, TTL: 1500 * time.Millisecond}},
		{"extension of a lease", Request{Op: Extend, Grant: 15}},
		{"end of a lease", Request{Op: Revoke, Grant: 16}},
		{"watch", Request{Op: Follow, Starts: "leader", Ledger: 17, Block: 18 * time.Second}},
	} {
		x.request.Timeout = time.Minute
		c.Do(x.request)
		d.Add(x.name, transport.Saw)
	}
	d.Compare(t, "requests")
}

// TestGoldenAnswers pins what is read of an answer, field by field, and what each status means.
func TestGoldenAnswers(t *testing.T) {
	var d golden.Document
	for v := range golden.BoolVariants {
		want := golden.Filled[Reply](v)
		want.Outcome, want.Rejected = OK, false
		d.JSON(t, fmt.Sprintf("answer %d", v), want)
		body, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		c := NewClient("state:1", &golden.Transport{Status: http.StatusOK, Body: string(body)})
		if got := c.Do(Request{Timeout: time.Minute}); !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v", body, got)
		}
	}
	golden.RoundTrip(t, &d, "key", golden.Filled[Pair](0))
	golden.RoundTrip(t, &d, "change seen", golden.Filled[News](0))
	var b strings.Builder
	for _, status := range []int{200, 201, 400, 404, 409, 410, 429, 500, 503} {
		c := NewClient("state:1", &golden.Transport{Status: status, Body: `{"failed":["a"],"error":"why"}`})
		r := c.Do(Request{Timeout: time.Minute})
		fmt.Fprintf(&b, "%d: %s, failed %v, error %q\n", status, r.Outcome, r.Failed, r.Error)
	}
	d.Add("outcomes", b.String())
	d.Compare(t, "answers")
}
