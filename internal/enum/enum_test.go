package enum

import "testing"

func TestName(t *testing.T) {
	type phase uint8
	names := []string{"open", "done"}
	for value, want := range map[phase]string{0: "open", 1: "done", 2: "phase 2", 255: "phase 255"} {
		if got := Name(names, value, "phase"); got != want {
			t.Errorf("%d: %q, want %q", uint8(value), got, want)
		}
	}
}
