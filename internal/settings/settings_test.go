package settings

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const validConfig = `
node_name = "agent-0"
zone = "east"
bind = "10.0.0.1:8080"
mesh_addr = "10.0.0.1:8081"
new_field = true
[[siblings]]
node_name = "agent-1"
address = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
nodes = 2
zones = ["east"]
[[cluster.teams]]
name = "red"
cpus = 24.0
cpus_max = 88.0
[[cluster.objectives]]
kind = "wait"
class = "api"
within_s = 1.0
[cluster.workers]
report_s = 3.0
lease_s = 36.0
cancel_s = 61.0
[cluster.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 24
[cluster.cloud]
rps = 5.0
list_lag_s = 5.0
[cluster.resources]
cores = 0.144
memory_mb = 342.0
sockets = 3500
`

// TestParse: a valid file is parsed, and the error for an invalid file names all invalid settings.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(validConfig))
	if err != nil || s.Cluster.Teams[0].CPUsMax != 88 || s.Cluster.Objectives[0].WithinS != 1 {
		t.Fatalf("parsed settings: got %+v, %v, want the values of validConfig", s, err)
	}
	// The error names every invalid setting, not only the first one.
	bad := strings.NewReplacer(`"agent-1"`, `"agent-0"`, `10.2.0.2:8443`, `cloud.example:1`, `lease_s = 36.0`, `lease_s = 70.0`,
		`txn_ops = 24`, `txn_ops = 0`, `sockets = 3500`, ``).Replace(validConfig)
	_, err = Parse([]byte(bad))
	for _, name := range []string{"siblings[0].node_name", "endpoints.cloud", "cancel_s", "txn_ops", "sockets"} {
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("got error %v, want one that names %s", err, name)
		}
	}
}

// TestTuning: a tuning file sets the values that it contains, and malformed files are rejected.
func TestTuning(t *testing.T) {
	tuning := DefaultTuning()
	if err := tuning.Apply([]byte("; ours\n(tuning (leader-lease 3s)\n (plan none) (headroom 1.5))")); err != nil {
		t.Fatal(err)
	}
	if tuning.LeaderLease != 3*time.Second || tuning.PlanMode != "none" || tuning.Headroom != 1.5 {
		t.Errorf("got %+v, want leader-lease 3s, plan none and headroom 1.5", tuning)
	}
	for _, bad := range []string{"", "(tuning", "(tuning))", "(other)", "(tuning (colour red))", "(tuning (round))",
		"(tuning (round soon))", strings.Repeat("(", 100)} {
		tuning := DefaultTuning()
		if tuning.Apply([]byte(bad)) == nil {
			t.Errorf("tuning file %q was accepted, want an error", bad)
		}
	}
	links := "(links on) (links-suspect 800ms) (links-half-life 20s) (links-hold 30s) (links-persist 5s)"
	if err := tuning.Apply([]byte("(tuning " + links + ")")); err != nil {
		t.Fatal(err)
	}
	wantLinks := Links{
		Enabled:             true,
		SuspectGrace:        800 * time.Millisecond,
		PenaltyHalfLife:     20 * time.Second,
		MinTermDuration:     30 * time.Second,
		StabilizationWindow: 5 * time.Second,
	}
	if tuning.Links != wantLinks || tuning.check() != nil {
		t.Errorf("got %+v, %v, want %+v and no error", tuning.Links, tuning.check(), wantLinks)
	}
	moves := "(rebalance move) (moves-cluster 6) (moves-zone 3) (moves-team 1) (moves-margin 1.5) (moves-settle 5s)" +
		" (moves-patience 2s) (moves-min-run 0s)"
	if err := tuning.Apply([]byte("(tuning " + moves + ")")); err != nil {
		t.Fatal(err)
	}
	wantLimits := MigrationLimits{
		Cluster:          6,
		Zone:             3,
		Team:             1,
		MinGainFactor:    1.5,
		LeaderSettleTime: 5 * time.Second,
		MinTaskWait:      2 * time.Second,
	}
	if tuning.Migration != wantLimits || tuning.Rebalance != RebalanceMove || tuning.check() != nil {
		t.Errorf("got rebalance %s, %+v, %v, want rebalance move, %+v and no error",
			tuning.Rebalance, tuning.Migration, tuning.check(), wantLimits)
	}
}

// TestFaultyTuning: the error names the setting whose value is malformed or out of bounds.
func TestFaultyTuning(t *testing.T) {
	for _, bad := range []struct{ text, name string }{
		{"(links-suspect 1h)", "links-suspect"},
		{"(links-half-life 0s)", "links-half-life"},
		{"(links-hold 1s)", "links-hold"},
		{"(links-persist 0s)", "links-persist"},
		{"(links maybe)", "links"},
		{"(rebalance sometimes)", "rebalance"},
		{"(moves-cluster 0)", "moves-cluster"},
		{"(moves-cluster many)", "moves-cluster"},
		{"(moves-zone 0)", "moves-zone"},
		{"(moves-zone 5)", "moves-zone"},
		{"(moves-team 0)", "moves-team"},
		{"(moves-margin 0.5)", "moves-margin"},
		{"(moves-margin NaN)", "moves-margin"},
		{"(moves-settle -1s)", "moves-settle"},
		{"(moves-patience soon)", "moves-patience"},
		{"(moves-min-run 2h)", "moves-min-run"},
	} {
		tuning := DefaultTuning()
		err := errors.Join(tuning.Apply([]byte("(tuning "+bad.text+")")), tuning.check())
		if err == nil || !strings.Contains(err.Error(), bad.name) {
			t.Errorf("%s: got error %v, want one that names %s", bad.text, err, bad.name)
		}
	}
	tuning := DefaultTuning()
	tuning.PlanMode = "guess"
	if tuning.check() == nil {
		t.Error("the unknown plan mode \"guess\" was accepted, want an error")
	}
}

// TestAnnouncedStoreLimits: Strictest returns announced limits where they are lower and leaves limits without
// an announcement unchanged, and the error for invalid announcements names them.
func TestAnnouncedStoreLimits(t *testing.T) {
	withAnnouncement := func(body string) string {
		return strings.Replace(validConfig, "[cluster.cloud]", "[cluster.state.next]\n"+body+"\n[cluster.cloud]", 1)
	}
	s, err := Parse([]byte(withAnnouncement("write_rps = 56.0\nvalue_kb = 2.0\nlater = 1")))
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Cluster.Store.Strictest(); got.WriteRPS != 56 || got.ValueKB != 2 || got.TxnOps != 24 || got.RPS != 200 {
		t.Errorf("got %+v, want WriteRPS 56, ValueKB 2, TxnOps 24 and RPS 200", got)
	}
	unannounced, err := Parse([]byte(validConfig))
	if err != nil || unannounced.Cluster.Store.Strictest() != unannounced.Cluster.Store {
		t.Errorf("without an announcement: got limits %+v, %v, want %+v",
			unannounced.Cluster.Store.Strictest(), err, unannounced.Cluster.Store)
	}
	_, err = Parse([]byte(withAnnouncement("write_rps = -1.0\nvalue_kb = 0.5\ntxn_ops = 2")))
	for _, name := range []string{"next.write_rps", "next.value_kb", "next.txn_ops"} {
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("got error %v, want one that names %s", err, name)
		}
	}
}
