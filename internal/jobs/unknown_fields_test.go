package jobs

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/decode"
	"opaldale/internal/decodetest"
	goldenfile "opaldale/internal/golden"
)

// TestUnknownFieldsInStoredJobs: unknown fields in a stored value are ignored, also if their names differ from those of known
// fields only in the case of letters.
func TestUnknownFieldsInStoredJobs(t *testing.T) {
	header := goldenfile.Filled[jobHeader](0)
	header.Phase = Cancelled
	checkUnknownFields(t, header)
	checkUnknownFields(t, goldenfile.Filled[taskSegment](0))
	checkUnknownFields(t, goldenfile.Filled[logRecord](0))
}

func checkUnknownFields[Record any](t *testing.T, record Record) {
	t.Helper()
	parse := func(text []byte) (Record, error) {
		var parsed Record
		err := decode.JSON(text, &parsed)
		return parsed, err
	}
	decodetest.UnknownFields(t, api.JSON(record), parse)
}
