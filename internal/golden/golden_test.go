package golden

import "testing"

// TestFirstDifference checks that firstDifference finds the first line that differs, even if one text ends before the other.
func TestFirstDifference(t *testing.T) {
	for _, tc := range []struct {
		name              string
		want, got         string
		number            int
		wantLine, gotLine string
	}{
		{"equal", "a\nb\n", "a\nb\n", 0, "", ""},
		{"two lines differ", "a\nb\nc\n", "a\nx\ny\n", 2, "b\n", "x\n"},
		{"line added", "a\n", "a\nb\n", 2, "", "b\n"},
		{"line missing", "a\nb\n", "a\n", 2, "b\n", ""},
		{"last newline missing", "a\n", "a", 1, "a\n", "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			number, wantLine, gotLine, differ := firstDifference(tc.want, tc.got)
			if number != tc.number || wantLine != tc.wantLine || gotLine != tc.gotLine || differ != (tc.want != tc.got) {
				t.Errorf("%q and %q: got line %d, %q, %q, differ %v; want line %d, %q, %q, differ %v", tc.want, tc.got,
					number, wantLine, gotLine, differ, tc.number, tc.wantLine, tc.gotLine, tc.want != tc.got)
			}
		})
	}
}

// TestFilled checks that Filled sets exported fields, also of nested and embedded values, and no others, and that each pair
// of booleans differs in at least one variant.
func TestFilled(t *testing.T) {
	type inner struct{ Number uint8 }
	type message struct {
		inner
		Text            string
		Amount          *float64
		List            []inner
		One, Two, Three bool
		hidden          int
	}
	m := Filled[message](0)
	if m.Number == 0 || m.Text == "" || m.Amount == nil || len(m.List) != 1 || m.List[0] == m.inner || m.hidden != 0 {
		t.Errorf("got %+v, want all exported fields set, List[0] to differ from inner, and hidden unset", m)
	}
	var one, two, three [BoolVariants]bool
	for v := range BoolVariants {
		m := Filled[message](v)
		one[v], two[v], three[v] = m.One, m.Two, m.Three
	}
	if one == two || two == three || one == three {
		t.Errorf("got booleans %v, %v, %v by variant, want three different patterns", one, two, three)
	}
}
