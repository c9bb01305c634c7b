package settings

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const good = `
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

func TestParse(t *testing.T) {
	s, err := Parse([]byte(good))
	if err != nil || s.Cluster.Teams[0].CPUsMax != 88 || s.Cluster.Objectives[0].WithinS != 1 {
		t.Fatalf("%+v, %v", s, err)
	}
	// Every fault is named, not only the first.
	bad := strings.NewReplacer(`"agent-1"`, `"agent-0"`, `10.2.0.2:8443`, `cloud.example:1`, `lease_s = 36.0`, `lease_s = 70.0`,
		`txn_ops = 24`, `txn_ops = 0`, `sockets = 3500`, ``).Replace(good)
	_, err = Parse([]byte(bad))
	for _, name := range []string{"siblings[0].node_name", "endpoints.cloud", "cancel_s", "txn_ops", "sockets"} {
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s is not named in %v", name, err)
		}
	}
}

func TestTuning(t *testing.T) {
	tu := DefaultTuning()
	if err := tu.Read([]byte("; ours\n(tuning (leader-lease 3s)\n (plan none) (headroom 1.5))")); err != nil {
		t.Fatal(err)
	}
	if tu.LeaderLease != 3*time.Second || tu.Plan != "none" || tu.Headroom != 1.5 {
		t.Errorf("%+v", tu)
	}
	for _, bad := range []string{"", "(tuning", "(tuning))", "(other)", "(tuning (colour red))", "(tuning (round))",
		"(tuning (round soon))", strings.Repeat("(", 100)} {
		tu := DefaultTuning()
		if tu.Read([]byte(bad)) == nil {
			t.Errorf("%q is taken", bad)
		}
	}
	if err := tu.Read([]byte("(tuning (links on) (links-suspect 800ms) (links-half-life 20s) (links-hold 30s) (links-persist 5s))")); err != nil {
		t.Fatal(err)
	}
	if want := (Links{Enabled: true, Suspect: 800 * time.Millisecond, HalfLife: 20 * time.Second, Hold: 30 * time.Second, Persist: 5 * time.Second}); tu.Links != want || tu.check() != nil {
		t.Errorf("%+v, %v", tu.Links, tu.check())
	}
	if err := tu.Read([]byte("(tuning (rebalance move) (moves-cluster 6) (moves-zone 3) (moves-team 1) (moves-margin 1.5) (moves-settle 5s) (moves-patience 2s) (moves-min-run 0s))")); err != nil {
		t.Fatal(err)
	}
	if want := (Moves{Cluster: 6, Zone: 3, Team: 1, Margin: 1.5, Settle: 5 * time.Second, Patience: 2 * time.Second}); tu.Moves != want || tu.Rebalance != RebalanceMove || tu.check() != nil {
		t.Errorf("%+v, %v", tu.Moves, tu.check())
	}
	for _, bad := range []struct{ text, name string }{
		{"(links-suspect 1h)", "links-suspect"}, {"(links-half-life 0s)", "links-half-life"}, {"(links-hold 1s)", "links-hold"},
		{"(links-persist 0s)", "links-persist"}, {"(links maybe)", "links"}, {"(rebalance sometimes)", "rebalance"},
		{"(moves-cluster 0)", "moves-cluster"}, {"(moves-cluster many)", "moves-cluster"}, {"(moves-zone 0)", "moves-zone"},
		{"(moves-zone 5)", "moves-zone"}, {"(moves-team 0)", "moves-team"}, {"(moves-margin 0.5)", "moves-margin"},
		{"(moves-margin NaN)", "moves-margin"}, {"(moves-settle -1s)", "moves-settle"}, {"(moves-patience soon)", "moves-patience"},
		{"(moves-min-run 2h)", "moves-min-run"},
	} {
		tu := DefaultTuning()
		err := errors.Join(tu.Read([]byte("(tuning "+bad.text+")")), tu.check())
		if err == nil || !strings.Contains(err.Error(), bad.name) {
			t.Errorf("%s: %v", bad.text, err)
		}
	}
	tu.Plan = "guess"
	if tu.check() == nil {
		t.Error("an unknown plan is taken")
	}
}

// TestNextLimits: announced limits count where they are smaller; one that isn't named
// stays, and broken ones are named.
func TestNextLimits(t *testing.T) {
	next := func(body string) string {
		return strings.Replace(good, "[cluster.cloud]", "[cluster.state.next]\n"+body+"\n[cluster.cloud]", 1)
	}
	s, err := Parse([]byte(next("write_rps = 56.0\nvalue_kb = 2.0\nlater = 1")))
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Cluster.State.Tight(); got.WriteRPS != 56 || got.ValueKB != 2 || got.TxnOps != 24 || got.RPS != 200 {
		t.Errorf("%+v", got)
	}
	plain, err := Parse([]byte(good))
	if err != nil || plain.Cluster.State.Tight() != plain.Cluster.State {
		t.Errorf("without an announcement: %+v, %v", plain.Cluster.State.Tight(), err)
	}
	_, err = Parse([]byte(next("write_rps = -1.0\nvalue_kb = 0.5\ntxn_ops = 2")))
	for _, name := range []string{"next.write_rps", "next.value_kb", "next.txn_ops"} {
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s is not named: %v", name, err)
		}
	}
}
