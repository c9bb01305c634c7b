package election

import (
	"encoding/json"
	"testing"

	"opaldale/internal/ident"
)

// TestTermCarriesFormatLevel: below the first level every version decodes the term key. From it
// on, a version that knows no levels must fail to decode it, and so must this one for a later
// level.
func TestTermCarriesFormatLevel(t *testing.T) {
	for _, l := range []ident.FormatLevel{0, ident.NewestFormatLevel} {
		term, level, err := DecodeTerm(EncodeTerm(41, l))
		if err != nil || term != 41 || level != l {
			t.Errorf("level %d: %d, %d, %v", l, term, level, err)
		}
	}
	var old ident.Term // as a version without levels decodes it
	if err := json.Unmarshal(EncodeTerm(41, 0), &old); err != nil || old != 41 {
		t.Errorf("a version without levels reads %d, %v", old, err)
	}
	if err := json.Unmarshal(EncodeTerm(41, ident.FormatPacked), &old); err == nil {
		t.Error("a version without levels could lead above its level")
	}
	for _, bad := range []string{`{}`, `"x"`, `{"term":0,"level":1}`, `{"term":5}`, `{"term":5,"level":99}`, `null x`} {
		if _, _, err := DecodeTerm([]byte(bad)); err == nil {
			t.Errorf("%s is decoded", bad)
		}
	}
}
