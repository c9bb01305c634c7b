package cloud

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"opaldale/internal/decodetest"
	"opaldale/internal/golden"
	"opaldale/internal/ident"
)

// TestGoldenRequests pins the method, path, query and body of the request for each operation.
func TestGoldenRequests(t *testing.T) {
	var d golden.Document
	transport := &golden.Transport{Status: http.StatusOK, Body: "{}"}
	c := NewClient("cloud:1", transport)
	allFields := Request{
		Op:         Provision,
		RequestID:  "opaldale-7-8",
		Model:      "g8",
		Zone:       "east",
		Spot:       true,
		Count:      9,
		MachineIDs: []ident.MachineID{"host-1"},
		StartAfter: "host-2",
		NotAfter:   10,
	}
	onDemand := Request{Op: Provision, RequestID: "opaldale-7-9", Model: "g8", Zone: "east", Count: 1}
	for _, testCase := range []struct {
		name    string
		request Request
	}{
		{"catalog", Request{Op: Catalog}},
		{"rental", allFields},
		{"rental of a machine that stays", onDemand},
		{"return", Request{Op: Terminate, MachineIDs: []ident.MachineID{"host-3", "host-4"}}},
		{"first page of the list", Request{Op: List}},
		{"next page of the list", Request{Op: List, StartAfter: "host-5"}},
	} {
		c.Do(testCase.request)
		d.Add(testCase.name, transport.NewestRequest)
	}
	d.Compare(t, "requests")
}

// TestGoldenAnswers pins the decoding of each field of the responses, and the outcome for each status.
func TestGoldenAnswers(t *testing.T) {
	var d golden.Document
	models := []MachineType{golden.Filled[MachineType](0)}
	machines := []ListedMachine{golden.Filled[ListedMachine](0)}
	golden.RoundTrip(t, &d, "machine type", models[0])
	golden.RoundTrip(t, &d, "machine", machines[0])
	text := func(v any) string {
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	for _, testCase := range []struct {
		op   Op
		body string
		want Response
	}{
		{Catalog, `{"models":` + text(models) + `}`, Response{Outcome: OK, MachineTypes: models}},
		{Provision, `{"hosts":["host-1","host-2"]}`, Response{Outcome: OK, Provisioned: []ident.MachineID{"host-1", "host-2"}}},
		{Terminate, `{}`, Response{Outcome: OK}},
		{List, `{"hosts":` + text(machines) + `,"truncated":true}`, Response{Outcome: OK, Machines: machines, Truncated: true}},
	} {
		c := NewClient("cloud:1", &golden.Transport{Status: http.StatusOK, Body: testCase.body})
		if got := c.Do(Request{Op: testCase.op}); !reflect.DeepEqual(got, testCase.want) {
			t.Errorf("decoding %s: got %+v, want %+v", testCase.body, got, testCase.want)
		}
		if testCase.op == Terminate {
			continue // the body is ignored
		}
		parse := func(body []byte) (Response, error) { return decodeSuccess(testCase.op, body) }
		decodetest.UnknownFields(t, []byte(testCase.body), parse)
	}
	names := map[Outcome]string{NoResponse: "lost", OK: "ok", NoCapacity: "no capacity", Unavailable: "refused", Invalid: "bad"}
	var b strings.Builder
	for _, status := range []int{200, 201, 400, 404, 429, 500, 503} {
		for _, body := range []string{`{"error":"no capacity"}`, `{"error":"outage"}`} {
			c := NewClient("cloud:1", &golden.Transport{Status: status, Body: body})
			r := c.Do(Request{Op: Provision})
			fmt.Fprintf(&b, "%d %s: %s, error %q\n", status, body, names[r.Outcome], r.Error)
		}
	}
	d.Add("outcomes", b.String())
	d.Compare(t, "answers")
}
