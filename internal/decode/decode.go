// Package decode decodes JSON as the protocol defines it: names of fields compare exactly, code unit by code unit (RFC 8259),
// and unknown fields are ignored. Package encoding/json also accepts a name that differs only in case.
package decode

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// options are those of all functions of the package. Names may be given twice, as they may be in unknown fields, which are not
// looked at; invalid UTF-8 is replaced by U+FFFD, as the names and texts of users may contain it.
var options = []json.Options{jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true)}

// JSON decodes a JSON value into the variable that target points to. Of a field given twice, the last value counts. The errors
// are those of github.com/go-json-experiment/json and jsontext; after an error, the variable may be partly set.
func JSON(data []byte, target any) error {
	return json.Unmarshal(data, target, options...)
}

// FieldPath returns the path of the field whose value is not of the type of the message, such as "pieces.0.try", if err is an
// error of JSON for that reason. For other errors, and if the whole value is of another type, it returns "".
func FieldPath(err error) string {
	var typeErr *json.SemanticError
	if !errors.As(err, &typeErr) {
		return ""
	}
	return strings.Join(slices.Collect(typeErr.JSONPointer.Tokens()), ".")
}

// JSONFrom decodes the JSON value that a reader returns up to its end, as JSON does, or returns the reader's error.
func JSONFrom(reader io.Reader, target any) error {
	return json.UnmarshalRead(reader, target, options...)
}

// ErrNotObject is the error of Fields for a JSON value that is not an object.
var ErrNotObject = errors.New("not a JSON object")

// Fields calls visit for each field of a JSON object, in order, until visit returns an error. It returns that error,
// ErrNotObject, or an error of jsontext for malformed JSON. It does not read what comes after the object.
func Fields(data []byte, visit func(name string, isNull bool) error) error {
	decoder := jsontext.NewDecoder(bytes.NewBuffer(data), options...)
	start, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	if start.Kind() != jsontext.KindBeginObject {
		return ErrNotObject
	}
	for decoder.PeekKind() != jsontext.KindEndObject {
		if err := visitField(decoder, visit); err != nil {
			return err
		}
	}
	return nil
}

// visitField reads a field and calls visit for it.
func visitField(decoder *jsontext.Decoder, visit func(string, bool) error) error {
	token, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	name := token.String() // the token is valid only until the next read
	isNull := decoder.PeekKind() == jsontext.KindNull
	if err := decoder.SkipValue(); err != nil {
		return err
	}
	return visit(name, isNull)
}
