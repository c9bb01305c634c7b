package settings

import (
	"os"
	"path/filepath"
	"testing"
)

// TestDeployFiles: every tuning file in deploy is valid and enables the link monitor.
func TestDeployFiles(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*.sexp")
	if err != nil || len(files) < 2 {
		t.Fatalf("tuning files in deploy: got %v, %v, want at least 2", files, err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		tuning := DefaultTuning()
		if err := tuning.Apply(b); err != nil {
			t.Errorf("%s: applying the file: got error %v, want none", f, err)
		}
		if err := tuning.check(); err != nil || !tuning.Links.Enabled {
			t.Errorf("%s: got error %v and link monitor enabled %v, want no error and true", f, err, tuning.Links.Enabled)
		}
	}
}
