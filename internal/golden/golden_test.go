package golden

import "testing"

// TestFirstDifference: the first line that differs is reported, also where one text ends.
func TestFirstDifference(t *testing.T) {
	for _, tc := range []struct {
		name      string
		want, got string
		number    int
		was, is   string
	}{
		{"equal", "a\nb\n", "a\nb\n", 0, "", ""},
		{"two lines differ", "a\nb\nc\n", "a\nx\ny\n", 2, "b\n", "x\n"},
		{"line added", "a\n", "a\nb\n", 2, "", "b\n"},
		{"line missing", "a\nb\n", "a\n", 2, "b\n", ""},
		{"last newline missing", "a\n", "a", 1, "a\n", "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			number, was, is, differ := firstDifference(tc.want, tc.got)
			if number != tc.number || was != tc.was || is != tc.is || differ != (tc.want != tc.got) {
				t.Errorf("%q and %q: %d, %q, %q, %v", tc.want, tc.got, number, was, is, differ)
			}
		})
	}
}

// TestFilled: no two fields are equal, and each pair of booleans differs in some variant.
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
		t.Errorf("%+v", m)
	}
	var one, two, three [BoolVariants]bool
	for v := range BoolVariants {
		m := Filled[message](v)
		one[v], two[v], three[v] = m.One, m.Two, m.Three
	}
	if one == two || two == three || one == three {
		t.Errorf("%v, %v, %v", one, two, three)
	}
}
