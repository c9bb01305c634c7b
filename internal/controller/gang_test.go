package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/mesh"
	"opaldale/internal/settings"
)

// alone makes a leader without siblings at a format level, and its world.
func alone(level ident.FormatLevel) (*Controller, *world) {
	w := &world{now: ident.MonotonicTime(1 << 40), asked: map[string]bool{}}
	c := New(w, &settings.Settings{Node: "agent-0", Tuning: settings.DefaultTuning(), Cluster: settings.Cluster{
		Teams:   []settings.Team{{Name: "red", CPUs: 8, CPUsMax: 16}},
		Workers: settings.WorkerTimes{HeartbeatS: 8, LeaseS: 36, CancelS: 61, GangWaitS: 50, GangPeerS: 5},
		Store: settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 16,
			Announced: &settings.AnnouncedStoreLimits{WriteRPS: 35, ValueKB: 2, TxnOps: 5}},
		Cloud: settings.CloudLimits{RPS: 5}}}, rand.New(rand.NewPCG(1, 2)))
	w.values = map[string]string{election.TermKey: string(election.EncodeTerm(1, level))}
	c.Start()
	w.pass(4 * askEvery)
	return c, w
}

func gangSpec(change ...string) []byte {
	s := `{"id":"j-1","lane":"l","desk":"red","shape":"gang","rank":"high","pieces":4,"vcpus":2,"cards":0,"memory_gb":0,"bundle":"b",
	"image_gb":1,"models":null,"one_zone":true,"apart":false,"standby":false,"runtime_s":9,"snapshot_every_s":0,"snapshot_s":0}`
	return []byte(strings.NewReplacer(change...).Replace(s))
}

// status is the answer to a submission, 0 while there is none.
func status(c *Controller, body []byte) (out int) {
	spec, err := api.ParseSpec(body)
	if err != nil {
		panic(err)
	}
	c.lead.submit(spec, func(r Reply) { out = r.Status })
	c.Settle()
	return out
}

// TestGangsAreAccepted: below the level a gang is to come again, as an old leader could
// not read it; above it, it is refused if all its tasks together are over the limit of
// the team, or if it can't be stored within the limits that may come, which is said at
// either level.
func TestGangsAreAccepted(t *testing.T) {
	var many []string
	for i := range 200 {
		many = append(many, fmt.Sprintf("model-%04d", i))
	}
	list, _ := json.Marshal(append(many, "m8"))
	for _, x := range []struct {
		what  string
		level ident.FormatLevel
		body  []byte
		want  int
	}{
		{"a gang below the level", 0, gangSpec(), http.StatusServiceUnavailable},
		{"an array below it", 0, gangSpec(`"gang"`, `"batch"`), http.StatusCreated},
		{"a gang", ident.FormatPacked, gangSpec(), http.StatusCreated},
		{"a gang over the limit", ident.FormatPacked, gangSpec(`"pieces":4`, `"pieces":9`), http.StatusUnprocessableEntity},
		{"an array of as many", ident.FormatPacked, gangSpec(`"pieces":4`, `"pieces":9`, `"gang"`, `"batch"`), http.StatusCreated},
		{"too long a description below the level", 0, gangSpec(`"gang"`, `"batch"`, `"models":null`, `"models":`+string(list)), http.StatusUnprocessableEntity},
		{"too long a description", ident.FormatPacked, gangSpec(`"models":null`, `"models":`+string(list)), http.StatusUnprocessableEntity},
	} {
		c, _ := alone(x.level)
		if got := status(c, x.body); got != x.want {
			t.Errorf("%s: %d, want %d", x.what, got, x.want)
		}
	}
}

// TestGangsWaitForTheLevel: a node that doesn't lead passes a gang on only when it has
// read that the level is raised: an old leader would call the gang malformed.
func TestGangsWaitForTheLevel(t *testing.T) {
	for _, x := range []struct{ term, want string }{{`5`, "503"}, {`{"term":5,"level":1}`, "passed on"}} {
		w := &world{now: ident.MonotonicTime(1 << 40), asked: map[string]bool{}}
		w.values = map[string]string{"term": x.term}
		set := &settings.Settings{Node: "agent-0", Tuning: settings.DefaultTuning(), Peers: []settings.Peer{{Node: "agent-1"}},
			Cluster: settings.Cluster{Nodes: 2, Workers: settings.WorkerTimes{HeartbeatS: 8, LeaseS: 36, CancelS: 61}, Store: settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 16}}}
		c := New(w, set, rand.New(rand.NewPCG(1, 2)))
		c.Frame("agent-1", &mesh.Frame{Kind: mesh.Heartbeat, Node: "agent-1", Term: 5, ID: 1})
		got := ""
		w.frames = nil
		c.Request(mesh.Submit, "", gangSpec(), func(r Reply) { got = fmt.Sprint(r.Status) })
		for _, f := range w.frames {
			if f.Kind == mesh.Ask {
				got = "passed on"
			}
		}
		if got != x.want {
			t.Errorf("term %s: %s, want %s", x.term, got, x.want)
		}
	}
}
