package election

import (
	"encoding/json"
	"testing"

	"opaldale/internal/ident"
)

// TestTermCarriesFormatLevel: below the first level the term's key is what every version
// reads; from it on a program that knows no levels must fail to read it, and so does
// this one with a level of later.
func TestTermCarriesFormatLevel(t *testing.T) {
	for _, l := range []ident.FormatLevel{0, ident.NewestFormatLevel} {
		term, level, err := DecodeTerm(EncodeTerm(41, l))
		if err != nil || term != 41 || level != l {
			t.Errorf("level %d: %d, %d, %v", l, term, level, err)
		}
	}
	var old ident.Term // as the version in production reads it
	if err := json.Unmarshal(EncodeTerm(41, 0), &old); err != nil || old != 41 {
		t.Errorf("an old node reads %d, %v", old, err)
	}
	if err := json.Unmarshal(EncodeTerm(41, ident.FormatPacked), &old); err == nil {
		t.Error("an old node could lead above its level")
	}
	for _, bad := range []string{`{}`, `"x"`, `{"term":0,"level":1}`, `{"term":5}`, `{"term":5,"level":99}`, `null x`} {
		if _, _, err := DecodeTerm([]byte(bad)); err == nil {
			t.Errorf("%s is read", bad)
		}
	}
}
