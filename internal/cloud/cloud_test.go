package cloud

import "testing"

// TestDecode: only status 503 with the error "no capacity" is decoded as NoCapacity, and responses that the API
// does not define are decoded as NoResponse.
func TestDecode(t *testing.T) {
	for _, testCase := range []struct {
		op     Op
		status int
		body   string
		want   Outcome
	}{
		{Provision, 200, `{"hosts":["host-1"]}`, OK},
		{Provision, 200, `{"hosts":`, NoResponse},
		{Provision, 503, `{"error":"no capacity"}`, NoCapacity},
		{Provision, 503, `{"error":"trouble"}`, Unavailable},
		{Provision, 503, `<html>`, Unavailable},
		{Provision, 429, ``, Unavailable},
		{Provision, 400, ``, Invalid},
		{Terminate, 502, ``, NoResponse},
		{Terminate, 200, ``, OK},
		{List, 200, `{"hosts":[{"id":"host-1","status":"running","age_s":1.5}],"truncated":true}`, OK},
		{Catalog, 200, `{"models":[{"sku":"g8","vcpus":96}]}`, OK},
	} {
		if got := decodeResponse(testCase.op, testCase.status, []byte(testCase.body)); got.Outcome != testCase.want {
			t.Errorf("%d %s: got outcome %v, error %q, want outcome %v",
				testCase.status, testCase.body, got.Outcome, got.Error, testCase.want)
		}
	}
	if r := decodeResponse(Provision, 200, []byte(`{"hosts":["host-1"]}`)); len(r.Provisioned) != 1 {
		t.Errorf("provisioning response: got %+v, want one provisioned machine", r)
	}
}
