package loopback

import (
	"testing"
	"time"
)

// troublesDuration is how long TestTroublesOnSockets has troubles. Longer runs: study sockets.
const troublesDuration = 45 * time.Second

// TestTroublesOnSockets runs real controllers on real sockets under random troubles, of which late commands in quick succession,
// copies of executed commands, slow links of single machines and urgent work beside cancellations are those that simulated days
// had not. By the records of workers and users, each job must have one final status, no task may run on two machines or after
// the deadline of a cancellation, and no job may be called done before its tasks have completed.
func TestTroublesOnSockets(t *testing.T) {
	t.Parallel()
	outcome, err := Troubles{Seed: 1, Duration: troublesDuration}.Run()
	if err != nil {
		t.Fatal(err)
	}
	if len(outcome.Violations) > 0 {
		t.Errorf("got violations %q, want none", outcome.Violations)
	}
	const wantKilled, wantLate, wantCopied = 3, 20, 20
	if outcome.LateCommands < wantLate || outcome.CopiedCommands < wantCopied || outcome.ControllersKilled < wantKilled ||
		outcome.LinksBroken == 0 || outcome.Done == 0 || outcome.Cancelled == 0 || outcome.Starts < outcome.Jobs/2 {
		t.Errorf("too little activity for a valid test: got %+v, want at least %d late commands, %d copied ones, %d kills, a "+
			"broken link, jobs done and cancelled, and half as many starts as jobs", outcome, wantLate, wantCopied, wantKilled)
	}
	t.Logf("%+v", outcome)
}
