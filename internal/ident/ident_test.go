package ident

import (
	"errors"
	"strings"
	"testing"
)

// TestParseJobID: IDs of the required form are accepted, and others are rejected with ErrMalformed.
func TestParseJobID(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		valid      bool
	}{
		{"leading zeros", "j-000412", true},
		{"one digit", "j-0", true},
		{"most digits", "j-" + strings.Repeat("9", maxJobIDDigits), true},
		{"too many digits", "j-" + strings.Repeat("9", maxJobIDDigits+1), false},
		{"no digits", "j-", false},
		{"no prefix", "000412", false},
		{"letter", "j-00a", false},
		{"sign", "j-+1", false},
		{"empty", "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			id, err := ParseJobID(tc.text)
			if tc.valid && (err != nil || id != JobID(tc.text)) {
				t.Errorf("ParseJobID(%q): got %q, %v, want the same text and no error", tc.text, id, err)
			}
			if !tc.valid && !errors.Is(err, ErrMalformed) {
				t.Errorf("ParseJobID(%q): got %q, %v, want ErrMalformed", tc.text, id, err)
			}
		})
	}
}

// TestTaskIDText: a task ID is encoded in its text form, and decoded from it.
func TestTaskIDText(t *testing.T) {
	want := TaskID{Job: "j-000412", Index: 3}
	text, err := want.MarshalText()
	if err != nil || string(text) != "j-000412/3" {
		t.Fatalf("encoding %+v: got %q, %v, want \"j-000412/3\"", want, text, err)
	}
	var got TaskID
	if err := got.UnmarshalText(text); err != nil || got != want {
		t.Errorf("decoding %q: got %+v, %v, want %+v", text, got, err, want)
	}
}

// TestMalformedTaskIDText: malformed texts are rejected with ErrMalformed and leave the ID unchanged.
func TestMalformedTaskIDText(t *testing.T) {
	for _, text := range []string{"", "j-1", "j-1/", "j-1/-1", "j-1/x", "j-1/1/1", "/1", "1/1"} {
		var id TaskID
		err := id.UnmarshalText([]byte(text))
		if !errors.Is(err, ErrMalformed) || id != (TaskID{}) {
			t.Errorf("decoding %q: got %+v, %v, want the zero ID and ErrMalformed", text, id, err)
		}
	}
}

// TestFencingTokenOrder: tokens are ordered by term first, and by counter within a term.
func TestFencingTokenOrder(t *testing.T) {
	ascending := []FencingToken{
		MakeFencingToken(1, 0),
		MakeFencingToken(1, 1),
		MakeFencingToken(1, MaxTokenCounter),
		MakeFencingToken(2, 0),
	}
	for i, token := range ascending[1:] {
		if token <= ascending[i] {
			t.Errorf("got token %d after token %d, want a higher one", token, ascending[i])
		}
	}
	if term := MakeFencingToken(7, MaxTokenCounter).Term(); term != 7 {
		t.Errorf("term of the token: got %d, want 7", term)
	}
}
