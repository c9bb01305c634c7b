// Package api defines the messages of the users' interface and of the workers' interface, and
// checks those that come in. Durations in messages are in seconds, sizes in GB.
package api

import (
	"encoding/json"
	"fmt"
)

// MaxBodyBytes is the largest request body that is read.
const MaxBodyBytes = 64 << 10

// FieldError names the field that makes a message malformed.
type FieldError struct {
	Field, Problem string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Problem) }

// ErrorResponse is the body of each response that refuses a request.
type ErrorResponse struct {
	Error string `json:"error"`
}

// JSON encodes a message or a stored value, none of which can fail to encode. It panics on a value
// that can.
func JSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
