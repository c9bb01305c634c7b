// Package golden compares texts with golden files in the testdata directory of the package under
// test. Golden files hold texts that leave the process, such as messages, keys and metrics, so a
// change of a golden file is a change of an external interface. Only tests may import the package.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"opaldale/internal/decode"
	"opaldale/internal/decodetest"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// Document collects the sections of a golden file. The zero value is empty.
type Document struct{ text strings.Builder }

// Add appends a section with a title.
func (d *Document) Add(title, content string) {
	d.text.WriteString("## " + title + "\n")
	d.text.WriteString(content)
	if content != "" && !strings.HasSuffix(content, "\n") {
		d.text.WriteString("\n")
	}
}

// JSON appends a section with the JSON encoding of a message, one field per line.
func (d *Document) JSON(t testing.TB, title string, message any) {
	t.Helper()
	d.Add(title, Indent(t, encode(t, message)))
}

// Compare compares the document with the golden file testdata/NAME.golden, like the function Compare.
func (d *Document) Compare(t testing.TB, name string) {
	t.Helper()
	Compare(t, name, d.text.String())
}

// RoundTrip appends a section with the JSON encoding of a message, and checks that decoding it
// yields an equal message, with and without unknown fields. All fields of the message must be set.
func RoundTrip[T any](t testing.TB, d *Document, title string, message T) {
	t.Helper()
	d.JSON(t, title, message)
	text := encode(t, message)
	decoded, err := decodeAs[T](text)
	if err != nil {
		t.Errorf("%s: decoding its JSON encoding: got error %v, want none", title, err)
	}
	if !reflect.DeepEqual(decoded, message) {
		t.Errorf("%s: JSON round trip: got %+v, want %+v", title, decoded, message)
		return
	}
	decodetest.UnknownFields(t, text, decodeAs[T])
}

func decodeAs[T any](text []byte) (T, error) {
	var message T
	err := decode.JSON(text, &message)
	return message, err
}

// Compare compares a text with the golden file testdata/NAME.golden and reports the first line
// that differs. With the flag -update, it writes the file instead.
func Compare(t testing.TB, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		write(t, path, got)
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("reading the golden file: got error %v, want none (the file is written by go test -update)", err)
	}
	if number, wantLine, gotLine, differ := firstDifference(string(want), got); differ {
		t.Errorf("%s:%d: want %q, got %q", path, number, wantLine, gotLine)
	}
}

func write(t testing.TB, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// firstDifference returns the number of the first line in which two texts differ, counted from 1,
// and that line of each text, which is empty after the end of the text.
func firstDifference(want, got string) (number int, wantLine, gotLine string, differ bool) {
	if want == got {
		return 0, "", "", false
	}
	wantLines, gotLines := strings.SplitAfter(want, "\n"), strings.SplitAfter(got, "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		wantLine, gotLine = lineAt(wantLines, i), lineAt(gotLines, i)
		if wantLine != gotLine {
			return i + 1, wantLine, gotLine, true
		}
	}
	return 0, "", "", false
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return ""
}

// Indent returns a JSON text with each field on its own line, in unchanged order. It returns a
// text that is not JSON unchanged.
func Indent(t testing.TB, text []byte) string {
	t.Helper()
	var out bytes.Buffer
	if err := json.Indent(&out, text, "", " "); err != nil {
		return string(text)
	}
	return out.String()
}

func encode(t testing.TB, message any) []byte {
	t.Helper()
	text, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
