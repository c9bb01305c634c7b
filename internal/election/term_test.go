package election

import (
	"encoding/json"
	"testing"

	"opaldale/internal/ident"
)

// TestTermCarriesFormatLevel checks that every program version can decode the term key at level 0. From
// level 1 on, a version without format levels must fail to decode it, so that it cannot lead. This
// version must fail to decode a level that is later than the newest supported one.
func TestTermCarriesFormatLevel(t *testing.T) {
	for _, l := range []ident.FormatLevel{0, ident.NewestFormatLevel} {
		term, level, err := DecodeTerm(EncodeTerm(41, l))
		if err != nil || term != 41 || level != l {
			t.Errorf("decoded term %d, level %d, error %v, want term 41, level %d", term, level, err, l)
		}
	}
	var old ident.Term // as a version without format levels decodes it
	if err := json.Unmarshal(EncodeTerm(41, 0), &old); err != nil || old != 41 {
		t.Errorf("version without format levels decodes term %d, error %v, want 41", old, err)
	}
	if err := json.Unmarshal(EncodeTerm(41, ident.FormatPacked), &old); err == nil {
		t.Errorf("version without format levels decodes term %d at level %d, want an error", old, ident.FormatPacked)
	}
	for _, bad := range []string{`{}`, `"x"`, `{"term":0,"level":1}`, `{"term":5}`, `{"term":5,"level":99}`, `null x`} {
		if _, _, err := DecodeTerm([]byte(bad)); err == nil {
			t.Errorf("malformed term key %s is decoded, want an error", bad)
		}
	}
}
