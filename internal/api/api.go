// Package api defines the messages of the users' interface and of the workers' interface, and
// checks those that come in. Durations in messages are in seconds, sizes in GB.
package api

import (
	"encoding/json"
	"fmt"
)

// MaxBodyBytes is the largest request body that is read.
const MaxBodyBytes = 64 << 10

// FieldError is the error of a malformed message.
type FieldError struct {
	Field   string // its name in JSON, or "body" for the whole message
	Problem string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Problem) }

// ErrorResponse is the body of each response that refuses a request.
type ErrorResponse struct {
	Error string `json:"error"`
}

// JSON encodes a message or a stored value. It panics if the value cannot be encoded, which no message
// and no stored value is.
func JSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
