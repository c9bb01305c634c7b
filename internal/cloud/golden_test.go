package cloud

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"opaldale/internal/golden"
	"opaldale/internal/ident"
)

// TestGoldenRequests pins method, path, query and body of each operation.
func TestGoldenRequests(t *testing.T) {
	var d golden.Document
	transport := &golden.Transport{Status: http.StatusOK, Body: "{}"}
	c := NewClient("cloud:1", transport)
	rent := Request{Op: Rent, Hire: "opaldale-7-8", Model: "g8", Zone: "east", Spot: true, Number: 9, Hosts: []ident.MachineID{"host-1"}, Since: "host-2", NotAfter: 10}
	for _, x := range []struct {
		name    string
		request Request
	}{
		{"catalog", Request{Op: Catalog}},
		{"rental", rent},
		{"rental of a machine that stays", Request{Op: Rent, Hire: "opaldale-7-9", Model: "g8", Zone: "east", Number: 1}},
		{"return", Request{Op: Return, Hosts: []ident.MachineID{"host-3", "host-4"}}},
		{"first page of the list", Request{Op: List}},
		{"next page of the list", Request{Op: List, Since: "host-5"}},
	} {
		c.Do(x.request)
		d.Add(x.name, transport.Saw)
	}
	d.Compare(t, "requests")
}

// TestGoldenAnswers pins what is read of each kind of answer, field by field, and what each
// status means.
func TestGoldenAnswers(t *testing.T) {
	var d golden.Document
	models, machines := []Model{golden.Filled[Model](0)}, []Listed{golden.Filled[Listed](0)}
	golden.RoundTrip(t, &d, "machine type", models[0])
	golden.RoundTrip(t, &d, "machine", machines[0])
	text := func(v any) string {
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	for _, x := range []struct {
		op   Op
		body string
		want Reply
	}{
		{Catalog, `{"models":` + text(models) + `}`, Reply{Outcome: OK, Models: models}},
		{Rent, `{"hosts":["host-1","host-2"]}`, Reply{Outcome: OK, Rented: []ident.MachineID{"host-1", "host-2"}}},
		{Return, `{}`, Reply{Outcome: OK}},
		{List, `{"hosts":` + text(machines) + `,"truncated":true}`, Reply{Outcome: OK, Listed: machines, Truncated: true}},
	} {
		c := NewClient("cloud:1", &golden.Transport{Status: http.StatusOK, Body: x.body})
		if got := c.Do(Request{Op: x.op}); !reflect.DeepEqual(got, x.want) {
			t.Errorf("%s is read as %+v", x.body, got)
		}
	}
	names := map[Outcome]string{Lost: "lost", OK: "ok", NoCapacity: "no capacity", Refused: "refused", Bad: "bad"}
	var b strings.Builder
	for _, status := range []int{200, 201, 400, 404, 429, 500, 503} {
		for _, body := range []string{`{"error":"no capacity"}`, `{"error":"outage"}`} {
			c := NewClient("cloud:1", &golden.Transport{Status: status, Body: body})
			r := c.Do(Request{Op: Rent})
			fmt.Fprintf(&b, "%d %s: %s, error %q\n", status, body, names[r.Outcome], r.Error)
		}
	}
	d.Add("outcomes", b.String())
	d.Compare(t, "answers")
}
