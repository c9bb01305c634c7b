package api

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"opaldale/internal/decodetest"
	"opaldale/internal/golden"
)

// filledSpec returns a valid submission with all fields set.
func filledSpec() Spec {
	spec := golden.Filled[Spec](0)
	spec.Shape, spec.Priority = Batch, Standard
	return spec
}

// TestUnknownFieldsInRequests guards against a submission of six tasks of which two run: an unknown field, "Pieces" beside
// "pieces", replaced the known one.
func TestUnknownFieldsInRequests(t *testing.T) {
	decodetest.UnknownFields(t, JSON(filledSpec()), ParseSpec)
	decodetest.UnknownFields(t, JSON(golden.Filled[Heartbeat](0)), ParseHeartbeat)
}

// TestFieldGivenTwice: a submission that gives a field twice is rejected by the name of the field, in a heartbeat the last value
// counts, and unknown fields may be given any number of times.
func TestFieldGivenTwice(t *testing.T) {
	submission := string(JSON(filledSpec()))
	for _, field := range append(requiredFields, optionalFields...) {
		body := strings.Replace(submission, "{", `{"`+field+`":null,`, 1)
		_, err := ParseSpec([]byte(body))
		var fieldErr *FieldError
		if !errors.As(err, &fieldErr) || *fieldErr != (FieldError{field, "given twice"}) {
			t.Errorf("submission with %s twice: got error %v, want %v", field, err, &FieldError{field, "given twice"})
		}
	}
	body := strings.Replace(submission, "{", `{"unknown":1,"unknown":{"id":1,"id":2},`, 1)
	if _, err := ParseSpec([]byte(body)); err != nil {
		t.Errorf("submission with an unknown field twice: got error %v, want none", err)
	}
	heartbeat := golden.Filled[Heartbeat](0)
	body = strings.Replace(string(JSON(heartbeat)), "{", `{"host":"first","pieces":[{"status":"first"},{"status":"second"}],`, 1)
	if got, err := ParseHeartbeat([]byte(body)); err != nil || !reflect.DeepEqual(*got, heartbeat) {
		t.Errorf("heartbeat with fields twice: got %+v, %v, want %+v", got, err, heartbeat)
	}
}

// TestFieldListsCoverSpec: each field of a submission is listed as required or as optional.
func TestFieldListsCoverSpec(t *testing.T) {
	listed := map[string]bool{}
	for _, field := range append(requiredFields, optionalFields...) {
		listed[field] = true
	}
	for field := range reflect.TypeFor[Spec]().Fields() {
		if name := field.Tag.Get("json"); !listed[name] {
			t.Errorf("field %s is neither in requiredFields nor in optionalFields", name)
		}
	}
}

// checkParseError checks that a request is parsed or rejected with an error that names a field.
func checkParseError(t *testing.T, body []byte, err error) {
	t.Helper()
	var fieldErr *FieldError
	if err != nil && (!errors.As(err, &fieldErr) || fieldErr.Field == "" || fieldErr.Problem == "") {
		t.Errorf("parsing %q: got error %#v, want a *FieldError with a field and a problem", body, err)
	}
}

// malformedBodies are seeds of the fuzz tests that no request parses.
var malformedBodies = []string{"", "{", "[]", "null", `{"id":`, `{"id":"\ud800"}`, "{\"id\":\"\xff\"}", `{"pieces":1e400}`,
	`{"pieces":[{"piece":7}]}`, strings.Repeat("[", 20_000)}

func FuzzParseSpec(f *testing.F) {
	f.Add(JSON(filledSpec()))
	for _, body := range malformedBodies {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		_, err := ParseSpec(body)
		checkParseError(t, body, err)
	})
}

func FuzzParseHeartbeat(f *testing.F) {
	f.Add(JSON(golden.Filled[Heartbeat](0)))
	for _, body := range malformedBodies {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		_, err := ParseHeartbeat(body)
		checkParseError(t, body, err)
	})
}
