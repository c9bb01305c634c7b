// Package api defines the messages of the HTTP APIs for users and for workers, and validates those that
// are received. Durations in messages are in seconds, sizes in GB.
package api

import (
	"encoding/json"
	"errors"
	"fmt"

	"opaldale/internal/decode"
	"opaldale/internal/ident"
)

// MaxBodyBytes is the maximum size of a request body. Larger ones are rejected.
const MaxBodyBytes = 64 << 10

// FieldError is the error for a malformed field of a message, or for a message that is malformed as a whole.
type FieldError struct {
	Field   string // name of the field in JSON, or "body" for the whole message
	Problem string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Problem) }

// malformed returns the *FieldError for an error of package decode, or the error itself if it is one already. The field has the
// form of a path, such as pieces.0.try.
func malformed(err error) *FieldError {
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		return fieldErr
	}
	field := decode.FieldPath(err)
	switch {
	case field == "":
		return &FieldError{"body", "not a JSON object"}
	case errors.Is(err, ident.ErrMalformed):
		return &FieldError{field, ident.ErrMalformed.Error()}
	}
	return &FieldError{field, "wrong type or out of range"}
}

// ErrorResponse is the body of a response with an error status.
type ErrorResponse struct {
	Error string `json:"error"`
}

// JSON encodes a message or a stored value. It panics if v cannot be encoded, which never happens for
// messages and stored values.
func JSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
