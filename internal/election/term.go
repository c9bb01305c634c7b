package election

import (
	"encoding/json"
	"errors"
	"fmt"

	"opaldale/internal/ident"
)

// termRecord is the value of the term key once a format level is in force. Below the first
// level the value is the bare number. A version without format levels cannot decode the record,
// and therefore cannot lead.
type termRecord struct {
	Term  ident.Term        `json:"term"`
	Level ident.FormatLevel `json:"level"`
}

// EncodeTerm returns the value of the term key for a term led at a format level.
func EncodeTerm(term ident.Term, level ident.FormatLevel) json.RawMessage {
	if level == 0 {
		return mustMarshal(term)
	}
	return mustMarshal(termRecord{Term: term, Level: level})
}

// mustMarshal encodes a value whose type cannot fail to encode.
func mustMarshal(v any) json.RawMessage {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}

// DecodeTerm decodes a value of the term key. It returns an error for a value that is malformed or of
// a later format level than ident.NewestFormatLevel.
func DecodeTerm(value []byte) (ident.Term, ident.FormatLevel, error) {
	var term ident.Term
	if json.Unmarshal(value, &term) == nil {
		return term, 0, nil
	}
	var record termRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return 0, 0, err
	}
	if record.Term == 0 || record.Level == 0 {
		return 0, 0, errors.New("term or level missing")
	}
	if record.Level > ident.NewestFormatLevel {
		return 0, 0, fmt.Errorf("format level %d is later than this program's", record.Level)
	}
	return record.Term, record.Level, nil
}
