package fleet

import (
	"fmt"
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/golden"
)

// TestGoldenRentals pins the names under which machines are rented: a name is never used again,
// by whichever term.
func TestGoldenRentals(t *testing.T) {
	r := newRig()
	r.m.tokens = 10
	r.m.rent(pool{model: "m8", site: "east", standby: true}, 3)
	r.m.rent(pool{model: "g8", site: "west"}, 4)
	var d golden.Document
	for i, c := range r.calls {
		d.Add(fmt.Sprintf("request %d", i), string(api.JSON(c)))
	}
	d.Compare(t, "rentals")
}
