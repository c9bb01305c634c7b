// Package golden compares texts with golden files: files in the testdata directory of the package
// under test. They pin what leaves the process, so a change in them is a change of an interface.
// Only tests may import the package.
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
)

var update = flag.Bool("update", false, "write the golden files")

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

// JSON appends a section with a message in its JSON encoding, one field a line.
func (d *Document) JSON(t testing.TB, title string, message any) {
	t.Helper()
	d.Add(title, Indent(t, encode(t, message)))
}

// Compare compares the document with a golden file, as the function Compare does.
func (d *Document) Compare(t testing.TB, name string) {
	t.Helper()
	Compare(t, name, d.text.String())
}

// RoundTrip appends a section with a message in its JSON encoding, and checks that decoding it
// returns the same message.
func RoundTrip[T any](t testing.TB, d *Document, title string, message T) {
	t.Helper()
	d.JSON(t, title, message)
	var decoded T
	if err := json.Unmarshal(encode(t, message), &decoded); err != nil {
		t.Errorf("%s: %v", title, err)
	}
	if !reflect.DeepEqual(decoded, message) {
		t.Errorf("%s: %+v is decoded as %+v", title, message, decoded)
	}
}

// Compare compares a text with the golden file testdata/NAME.golden and reports the first line
// that differs. With the flag -update it writes the file instead.
func Compare(t testing.TB, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		write(t, path, got)
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("%v (written by go test -update)", err)
	}
	if number, was, is, differ := firstDifference(string(want), got); differ {
		t.Errorf("%s:%d: want %q, got %q", path, number, was, is)
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

// firstDifference returns the number of the first line, from 1, in which two texts differ, and
// that line of each. A line after the end of a text is empty.
func firstDifference(want, got string) (number int, was, is string, differ bool) {
	if want == got {
		return 0, "", "", false
	}
	wanted, given := strings.SplitAfter(want, "\n"), strings.SplitAfter(got, "\n")
	for i := range max(len(wanted), len(given)) {
		was, is = lineAt(wanted, i), lineAt(given, i)
		if was != is {
			return i + 1, was, is, true
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

// Indent puts each field of a JSON text on a line of its own, in the order of the text. It
// returns a text that is not JSON unchanged.
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
