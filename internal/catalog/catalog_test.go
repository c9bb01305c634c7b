package catalog

import (
	"testing"

	"opaldale/internal/cloud"
)

// TestSameExceptPrices: two catalogs are the same if they differ only in spot prices.
func TestSameExceptPrices(t *testing.T) {
	machineType := func(change func(*cloud.MachineType)) []cloud.MachineType {
		m := cloud.MachineType{SKU: "m8", VCPUs: 8, Zones: []string{"a"}, SpotPrice: 0.3}
		change(&m)
		return []cloud.MachineType{m}
	}
	known := machineType(func(*cloud.MachineType) {})
	for _, x := range []struct {
		name string
		list []cloud.MachineType
		want bool
	}{
		{"the same", machineType(func(*cloud.MachineType) {}), true},
		{"another spot price", machineType(func(m *cloud.MachineType) { m.SpotPrice = 0.4 }), true},
		{"another size", machineType(func(m *cloud.MachineType) { m.VCPUs = 16 }), false},
		{"another zone", machineType(func(m *cloud.MachineType) { m.Zones = []string{"a", "b"} }), false},
		{"one type more", append(machineType(func(*cloud.MachineType) {}), cloud.MachineType{SKU: "m16"}), false},
		{"none", nil, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			if got := sameExceptPrices(x.list, known); got != x.want {
				t.Errorf("sameExceptPrices returned %v, want %v", got, x.want)
			}
		})
	}
}
