package fleet

import (
	"fmt"
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/golden"
)

// TestGoldenProvisionRequests pins the format of provisioning requests. Their identifiers must be unique
// across all terms.
func TestGoldenProvisionRequests(t *testing.T) {
	r := newHarness()
	r.manager.requester.limiter.tokens = 10
	r.manager.provisioner.provision(pool{model: "m8", zone: "east", spot: true}, 3)
	r.manager.provisioner.provision(pool{model: "g8", zone: "west"}, 4)
	var d golden.Document
	for i, c := range r.calls {
		d.Add(fmt.Sprintf("request %d", i), string(api.JSON(c)))
	}
	d.Compare(t, "provision_requests")
}
