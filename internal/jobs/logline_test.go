package jobs

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// TestLogLineRoundTrip checks that a task's log line has no spaces or special characters for any machine ID, and
// that it parses as the same task.
func TestLogLineRoundTrip(t *testing.T) {
	j := &Job{Spec: &api.Spec{ID: "j-1"}}
	j.Tasks = newTaskList(j, 3, 0)
	for _, machineID := range []ident.MachineID{"host-000231", "a b,c\nd", "+", "%2C", "ü\"<&>"} {
		for _, s := range []State{Waiting, Assigned, Stopping, Completed} {
			task := j.Tasks.At(2)
			*task = Task{Job: j, Index: 2, State: s, Attempt: 1<<64 - 1, MachineID: machineID, Incarnation: 1<<64 - 1}
			group, line := task.TextLine()
			if group != "j-1" {
				t.Errorf("group of the line is %q, want %q", group, "j-1")
			}
			for _, c := range line {
				if c == ' ' || c == '\n' || c == '"' || c == '\\' || c < 32 || c > 126 {
					t.Errorf("line %q contains %q, want printable ASCII without space, quote and backslash", line, c)
				}
			}
			i, r, err := parseLogLine(line)
			if err != nil || i != 2 || r != task.toRecord() {
				t.Errorf("parse %q: got index %d, %+v, error %v; want index 2, %+v", line, i, r, err, task.toRecord())
			}
		}
	}
	for _, bad := range []string{"", "1", "x,1", "1,x", "-1,2", "1,2,3", "1,2,h,x", "1,2,,3", "1,2,%zz,3", "1,2,h,3,4"} {
		if _, _, err := parseLogLine(bad); err == nil {
			t.Errorf("parse %q: got no error, want one", bad)
		}
	}
}

// FuzzParseLogLine checks that any line is either parsed with a valid index or rejected, without a panic.
func FuzzParseLogLine(f *testing.F) {
	for _, s := range []string{"1,2", "1,2,+", "1,2,host-1,3", ",,,"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if i, _, err := parseLogLine(s); err == nil && i < 0 {
			t.Errorf("parse %q: got index %d, want at least 0 or an error", s, i)
		}
	})
}
