package golden

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// recordingTB is a testing.TB that records failures instead of failing the test.
type recordingTB struct {
	testing.TB
	failures []string
}

func (r *recordingTB) Helper() {}

func (r *recordingTB) Errorf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// Fatalf records a failure and ends the function under test by a panic, from which check recovers.
func (r *recordingTB) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	panic(r)
}

// check runs a function with a recordingTB and returns the failures that the function reported.
func check(t *testing.T, run func(testing.TB)) []string {
	t.Helper()
	r := &recordingTB{TB: t}
	func() {
		defer func() {
			if reason := recover(); reason != nil && reason != any(r) {
				panic(reason)
			}
		}()
		run(r)
	}()
	return r.failures
}

// TestCompare checks that Compare accepts an equal document, and reports a missing file or the first line that differs.
func TestCompare(t *testing.T) {
	defer func(flagged bool) { *update = flagged }(*update)
	*update = false
	t.Chdir(t.TempDir())
	if err := os.Mkdir("testdata", 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join("testdata", "kept.golden"), []byte("## first\na\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name        string
		file        string
		content     string
		wantFailure string // part of the only failure; empty if there is none
	}{
		{"equal", "kept", "a", ""},
		{"line differs", "kept", "b", `testdata/kept.golden:2: want "a\n", got "b\n"`},
		{"line added", "kept", "a\nb", `testdata/kept.golden:3: want "", got "b\n"`},
		{"no file", "missing", "a", "written by go test -update"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			failures := check(t, func(tb testing.TB) {
				var d Document
				d.Add("first", tc.content)
				d.Compare(tb, tc.file)
			})
			if tc.wantFailure == "" && len(failures) > 0 {
				t.Errorf("failures %q, want none", failures)
			}
			if tc.wantFailure != "" && (len(failures) != 1 || !strings.Contains(failures[0], tc.wantFailure)) {
				t.Errorf("failures %q, want one that contains %q", failures, tc.wantFailure)
			}
		})
	}
}

// looseMessage is a message whose decoder accepts names of fields that differ in case.
type looseMessage struct {
	Number int `json:"number"`
}

func (m *looseMessage) UnmarshalJSON(text []byte) error {
	type plain looseMessage // without this method
	return json.Unmarshal(text, (*plain)(m))
}

// TestRoundTrip checks that RoundTrip fails if a field is not encoded, or if an unknown field is decoded as a known one.
func TestRoundTrip(t *testing.T) {
	type complete struct {
		Number int `json:"number"`
	}
	type lossy struct {
		Number int `json:"-"`
	}
	var d Document
	if failures := check(t, func(tb testing.TB) { RoundTrip(tb, &d, "complete", complete{1}) }); len(failures) > 0 {
		t.Errorf("complete: failures %q, want none", failures)
	}
	if failures := check(t, func(tb testing.TB) { RoundTrip(tb, &d, "lossy", lossy{1}) }); len(failures) != 1 {
		t.Errorf("lossy: failures %q, want one", failures)
	}
	if failures := check(t, func(tb testing.TB) { RoundTrip(tb, &Document{}, "loose", looseMessage{1}) }); len(failures) != 1 {
		t.Errorf("loose: failures %q, want one", failures)
	}
	if want := "## complete\n{\n \"number\": 1\n}\n## lossy\n{}\n"; d.text.String() != want {
		t.Errorf("document %q, want %q", d.text.String(), want)
	}
}
