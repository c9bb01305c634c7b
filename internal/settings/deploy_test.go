package settings

import (
	"os"
	"path/filepath"
	"testing"
)

// TestDeployFiles: every shipped tuning file is valid and enables the link monitor.
func TestDeployFiles(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*.sexp")
	if err != nil || len(files) < 2 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		tuning := DefaultTuning()
		if err := tuning.Apply(b); err != nil {
			t.Errorf("%s: %v", f, err)
		}
		if err := tuning.check(); err != nil || !tuning.Links.Enabled {
			t.Errorf("%s: %v, links %v", f, err, tuning.Links.Enabled)
		}
	}
}
