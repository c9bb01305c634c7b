package jobs

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// TestLogLineRoundTrip: whatever the ID of a machine is, the line of a task has no spaces or special characters,
// and parses as the same task.
func TestLogLineRoundTrip(t *testing.T) {
	j := &Job{Spec: &api.Spec{ID: "j-1"}, Tasks: make([]Task, 3)}
	for _, machineID := range []ident.MachineID{"host-000231", "a b,c\nd", "+", "%2C", "ü\"<&>"} {
		for _, s := range []State{Waiting, Assigned, Stopping, Completed} {
			task := &j.Tasks[2]
			*task = Task{Job: j, Index: 2, State: s, Attempt: 1<<64 - 1, MachineID: machineID, Incarnation: 1<<64 - 1}
			group, line := task.TextLine()
			if group != "j-1" {
				t.Errorf("group %q", group)
			}
			for _, c := range line {
				if c == ' ' || c == '\n' || c == '"' || c == '\\' || c < 32 || c > 126 {
					t.Errorf("%q has %q", line, c)
				}
			}
			i, r, err := parseLogLine(line)
			if err != nil || i != 2 || r != task.toRecord() {
				t.Errorf("%q is read as %d %+v, %v", line, i, r, err)
			}
		}
	}
	for _, bad := range []string{"", "1", "x,1", "1,x", "-1,2", "1,2,3", "1,2,h,x", "1,2,,3", "1,2,%zz,3", "1,2,h,3,4"} {
		if _, _, err := parseLogLine(bad); err == nil {
			t.Errorf("%q is read", bad)
		}
	}
}

// FuzzParseLogLine: any line is parsed or refused, without a panic or an invalid index.
func FuzzParseLogLine(f *testing.F) {
	for _, s := range []string{"1,2", "1,2,+", "1,2,host-1,3", ",,,"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if i, _, err := parseLogLine(s); err == nil && i < 0 {
			t.Errorf("%q has index %d", s, i)
		}
	})
}
