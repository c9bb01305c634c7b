package golden

import (
	"testing"
)

// TestFirstDifference: the first line that differs is named, also where one text ends.
func TestFirstDifference(t *testing.T) {
	for _, c := range []struct {
		want, got string
		number    int
		was, is   string
	}{
		{"a\nb\n", "a\nb\n", 0, "", ""},
		{"a\nb\nc\n", "a\nx\ny\n", 2, "b\n", "x\n"},
		{"a\n", "a\nb\n", 2, "", "b\n"},
		{"a\nb\n", "a\n", 2, "b\n", ""},
		{"a\n", "a", 1, "a\n", "a"},
	} {
		number, was, is, differ := firstDifference(c.want, c.got)
		if number != c.number || was != c.was || is != c.is || differ != (c.want != c.got) {
			t.Errorf("%q and %q: %d, %q, %q, %v", c.want, c.got, number, was, is, differ)
		}
	}
}

// TestFilled: no two fields are alike, and each pair of booleans differs in some variant.
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
