package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"opaldale/internal/golden"
	"opaldale/internal/ident"
)

// TestGoldenSettings pins the names of the platform's settings in a file with all of them.
func TestGoldenSettings(t *testing.T) {
	want := golden.Filled[Settings](0)
	want.Bind, want.TransportAddr = "10.0.0.1:1", "10.0.0.1:2"
	want.Endpoints = Endpoints{Cloud: "10.0.0.1:3", Store: "10.0.0.1:4"}
	want.Peers[0].Address = "10.0.0.1:5"
	want.Cluster.Workers.LeaseS, want.Cluster.Workers.CancelS = 1001, 1002
	want.Tuning = DefaultTuning()
	text, err := toml.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "settings", string(text))
	if got, err := Parse(text); err != nil || !reflect.DeepEqual(*got, want) {
		t.Errorf("encoded and parsed: got %+v, %v, want %+v", got, err, want)
	}
}

// tuningNames are the names of the operators' settings, in the order of the fields of Tuning.
var tuningNames = []string{
	"leader-lease", "round", "silent", "idle-keep", "boot-factor", "headroom", "spare", "max-wait", "gang-wait", "plan",
	"links", "links-suspect", "links-half-life", "links-hold", "links-persist",
	"rebalance", "moves-cluster", "moves-zone", "moves-team", "moves-margin", "moves-settle", "moves-patience", "moves-min-run",
}

// TestGoldenTuning pins the names of the operators' settings, the field that each of them sets, and their
// errors.
func TestGoldenTuning(t *testing.T) {
	var d golden.Document
	d.Add("defaults", fmt.Sprintf("%v", DefaultTuning()))
	for _, name := range tuningNames {
		var b strings.Builder
		for _, value := range []string{"7s", "7", "on", "7h", "-7"} {
			tuning := DefaultTuning()
			err := tuning.Apply([]byte("(tuning (" + name + " " + value + "))"))
			fmt.Fprintf(&b, "%s: %v; %v; %v\n", value, tuning, err, oneLine(tuning.check()))
		}
		d.Add(name, b.String())
	}
	d.Compare(t, "tuning")
}

// TestGoldenFaults pins the errors for invalid settings.
func TestGoldenFaults(t *testing.T) {
	var d golden.Document
	empty := &Settings{}
	d.Add("nothing set", fmt.Sprint(empty.check()))
	announced := &AnnouncedStoreLimits{WriteRPS: -1, ValueKB: 0.5, TxnOps: 3}
	bad := &Settings{
		Node:  "a",
		Bind:  "host:1",
		Peers: []Peer{{Node: "a", Address: "x"}, {Node: ident.NodeID("b"), Address: "10.0.0.1:1"}},
		Cluster: Cluster{
			Zones:     []string{"z"},
			Teams:     []Team{{Name: "t", CPUs: -1}, {Name: "t"}},
			Workers:   WorkerTimes{HeartbeatS: -1, LeaseS: 5, CancelS: 5, GangWaitS: -1},
			Store:     StoreLimits{RPS: 1, WriteRPS: 1, ValueKB: 0.5, TxnOps: 3, Announced: announced},
			Cloud:     CloudLimits{RPS: 1, ListLagS: -1},
			Resources: NodeResources{Cores: -1, MemoryMB: -1, Sockets: 15},
		},
	}
	d.Add("badly set", fmt.Sprint(bad.check()))
	_, err := Parse([]byte("bind = 7"))
	d.Add("wrong type", fmt.Sprint(err != nil))
	for _, text := range []string{
		"", "(tuning", "(tuning))", "(other)", "(tuning (colour red))", "(tuning (round))",
		"(tuning (round soon) (links maybe))", "(tuning (moves-cluster many) (spare much))", strings.Repeat("(", 100),
	} {
		tuning := DefaultTuning()
		d.Add(text, fmt.Sprint(tuning.Apply([]byte(text))))
	}
	d.Compare(t, "faults")
}

// oneLine returns an error with the texts of joined errors on one line.
func oneLine(err error) error {
	if err == nil {
		return nil
	}
	return errors.New(strings.ReplaceAll(err.Error(), "\n", " | "))
}
