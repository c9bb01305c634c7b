package enum

import "testing"

// TestName: values have the names in the list, and other values a name with their number.
func TestName(t *testing.T) {
	type phase uint8
	names := []string{"open", "done"}
	for value, want := range map[phase]string{0: "open", 1: "done", 2: "phase 2", 255: "phase 255"} {
		if got := Name(names, value, "phase"); got != want {
			t.Errorf("name of value %d: got %q, want %q", uint8(value), got, want)
		}
	}
}
