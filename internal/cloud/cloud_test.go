package cloud

import "testing"

// TestDecode: "no capacity" is the one 503 after which the pool is empty, and
// only what the protocol names is a clear answer.
func TestDecode(t *testing.T) {
	for _, x := range []struct {
		op     Op
		status int
		body   string
		want   Outcome
	}{
		{Rent, 200, `{"hosts":["host-1"]}`, OK},
		{Rent, 200, `{"hosts":`, Lost},
		{Rent, 503, `{"error":"no capacity"}`, NoCapacity},
		{Rent, 503, `{"error":"trouble"}`, Refused},
		{Rent, 503, `<html>`, Refused},
		{Rent, 429, ``, Refused},
		{Rent, 400, ``, Bad},
		{Return, 502, ``, Lost},
		{Return, 200, ``, OK},
		{List, 200, `{"hosts":[{"id":"host-1","status":"running","age_s":1.5}],"truncated":true}`, OK},
		{Catalog, 200, `{"models":[{"sku":"g8","vcpus":96}]}`, OK},
	} {
		if got := decode(x.op, x.status, []byte(x.body)); got.Outcome != x.want {
			t.Errorf("%d %s: %v, %s", x.status, x.body, got.Outcome, got.Error)
		}
	}
	if r := decode(Rent, 200, []byte(`{"hosts":["host-1"]}`)); len(r.Rented) != 1 {
		t.Errorf("%+v", r)
	}
}
