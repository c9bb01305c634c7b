// Package decodetest changes JSON messages in ways that must not change what they mean. Only tests may import the package.
package decodetest

import (
	"bytes"
	"reflect"
	"strconv"
	"testing"
	"unicode"

	"github.com/go-json-experiment/json/jsontext"
	"pgregory.net/rapid"
)

// maxUnknownFields is the maximum number of unknown fields that are added at one place.
const maxUnknownFields = 2

// unknownValues are the values of unknown fields. Objects in them have fields given twice, or names that are known elsewhere.
var unknownValues = []string{`0`, `2`, `-1.5e300`, `null`, `true`, `"x"`, `"\ud800"`, `[]`, `{}`, `{"id":"j-1","pieces":2}`,
	`[1,{"a":1,"a":[2]}]`}

// addUnknownFields returns a JSON text with fields added to its objects, before, between and after those it has. The names of
// the fields differ from each name in the text, most only in the case of letters. The text must have all fields of its message,
// and no objects with arbitrary names, such as the encodings of maps.
func addUnknownFields(t *rapid.T, text []byte) []byte {
	a := &fieldAdder{t: t, names: namesIn(t, text), decoder: newDecoder(text)}
	a.copyValue()
	return a.out.Bytes()
}

// UnknownFields checks that unknown fields in a message, given in JSON, don't change what parse returns for it.
func UnknownFields[Message any](t testing.TB, text []byte, parse func([]byte) (Message, error)) {
	t.Helper()
	want, err := parse(text)
	if err != nil {
		t.Fatalf("parsing %s: got error %v, want none", text, err)
	}
	rapid.Check(t, func(t *rapid.T) {
		extended := addUnknownFields(t, text)
		got, err := parse(extended)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("parsing %s: got %+v, %v, want %+v as without unknown fields", extended, got, err, want)
		}
	})
}

// newDecoder returns a decoder of a text that accepts all that package decode does.
func newDecoder(text []byte) *jsontext.Decoder {
	return jsontext.NewDecoder(bytes.NewReader(text), jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
}

// namesIn returns the names of all fields in a JSON text, in order, without repetitions.
func namesIn(t *rapid.T, text []byte) []string {
	decoder := newDecoder(text)
	var names []string
	seen := map[string]bool{}
	for {
		token, err := decoder.ReadToken()
		if err != nil {
			break
		}
		kind, length := decoder.StackIndex(decoder.StackDepth())
		isName := kind == jsontext.KindBeginObject && length%2 == 1 && token.Kind() == jsontext.KindString
		if isName && !seen[token.String()] {
			seen[token.String()] = true
			names = append(names, token.String())
		}
	}
	if len(names) == 0 {
		t.Fatalf("%s has no fields", text)
	}
	return names
}

// fieldAdder copies a JSON text and adds fields to its objects.
type fieldAdder struct {
	t       *rapid.T
	names   []string
	decoder *jsontext.Decoder
	out     bytes.Buffer
}

// copyValue copies the next value, with fields added to the objects in it.
func (a *fieldAdder) copyValue() {
	switch a.decoder.PeekKind() {
	case jsontext.KindBeginObject:
		a.copyElements("{", "}", a.copyField, a.addFields)
	case jsontext.KindBeginArray:
		a.copyElements("[", "]", a.copyValue, func(string) bool { return false })
	default:
		value, err := a.decoder.ReadValue()
		if err != nil {
			a.t.Fatal(err)
		}
		a.out.Write(value)
	}
}

// copyElements copies an object or an array. add may add elements before each element and after the last one, separated by the
// given text, and reports whether it did.
func (a *fieldAdder) copyElements(start, end string, copyElement func(), add func(separator string) bool) {
	a.readDelimiter()
	a.out.WriteString(start)
	separator := ""
	for a.decoder.PeekKind() != jsontext.Kind(end[0]) {
		if add(separator) {
			separator = ","
		}
		a.out.WriteString(separator)
		copyElement()
		separator = ","
	}
	add(separator)
	a.readDelimiter()
	a.out.WriteString(end)
}

func (a *fieldAdder) readDelimiter() {
	if _, err := a.decoder.ReadToken(); err != nil {
		a.t.Fatal(err)
	}
}

func (a *fieldAdder) copyField() {
	name, err := a.decoder.ReadValue()
	if err != nil {
		a.t.Fatal(err)
	}
	a.out.Write(name)
	a.out.WriteByte(':')
	a.copyValue()
}

// addFields adds unknown fields, the first one after the separator, and reports whether it added any.
func (a *fieldAdder) addFields(separator string) bool {
	added := false
	for range rapid.IntRange(0, maxUnknownFields).Draw(a.t, "unknown fields") {
		name := a.unknownName()
		if name == "" {
			continue
		}
		a.out.WriteString(separator + strconv.Quote(name) + ":" + rapid.SampledFrom(unknownValues).Draw(a.t, "value"))
		separator, added = ",", true
	}
	return added
}

// unknownName returns a variation of a name in the text that is not itself a name in the text, or "" if the drawn one is.
func (a *fieldAdder) unknownName() string {
	name := []rune(rapid.SampledFrom(a.names).Draw(a.t, "name"))
	for i := range name {
		name[i] = rapid.SampledFrom(foldedVariants(name[i])).Draw(a.t, "letter")
	}
	for _, known := range a.names {
		if known == string(name) {
			return ""
		}
	}
	return string(name)
}

// foldedVariants returns the characters that equal a character under Unicode case folding, such as the Kelvin sign for k.
func foldedVariants(character rune) []rune {
	variants := []rune{character}
	for r := unicode.SimpleFold(character); r != character; r = unicode.SimpleFold(r) {
		variants = append(variants, r)
	}
	return variants
}
