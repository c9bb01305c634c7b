package election

import (
	"encoding/json"
	"fmt"

	"opaldale/internal/decode"
	"opaldale/internal/ident"
)

// termRecord is the value of the term key at format level 1 and later. At level 0 the value is the number
// of the term alone. A program version that does not know format levels cannot decode the record, and
// therefore cannot become leader.
type termRecord struct {
	Term  ident.Term        `json:"term"`
	Level ident.FormatLevel `json:"level"`
}

// EncodeTerm returns the value of the term key for a term at a format level.
func EncodeTerm(term ident.Term, level ident.FormatLevel) json.RawMessage {
	if level == 0 {
		return mustMarshal(term)
	}
	return mustMarshal(termRecord{Term: term, Level: level})
}

// mustMarshal encodes a value of a type for which encoding cannot fail.
func mustMarshal(v any) json.RawMessage {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}

// DecodeTerm decodes a value of the term key. It returns an error if the value is malformed or its format
// level is later than ident.NewestFormatLevel.
func DecodeTerm(value []byte) (ident.Term, ident.FormatLevel, error) {
	var term ident.Term
	if decode.JSON(value, &term) == nil {
		return term, 0, nil
	}
	var record termRecord
	if err := decode.JSON(value, &record); err != nil {
		return 0, 0, err
	}
	if record.Term == 0 || record.Level == 0 {
		return 0, 0, fmt.Errorf("term key must have a positive term and level, got term %d, level %d", record.Term, record.Level)
	}
	if record.Level > ident.NewestFormatLevel {
		return 0, 0, fmt.Errorf("format level %d is not supported, newest supported level is %d",
			record.Level, ident.NewestFormatLevel)
	}
	return record.Term, record.Level, nil
}
