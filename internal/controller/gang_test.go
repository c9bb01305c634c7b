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
	"opaldale/internal/settings"
	"opaldale/internal/transport"
)

// newTestLeader makes a leader without siblings at a format level, and its world.
func newTestLeader(level ident.FormatLevel) (*Controller, *fakeEnv) {
	w := &fakeEnv{now: ident.MonotonicTime(1 << 40), probedAddrs: map[string]bool{}}
	c := New(w, &settings.Settings{Node: "agent-0", Tuning: settings.DefaultTuning(), Cluster: settings.Cluster{
		Teams:   []settings.Team{{Name: "red", CPUs: 8, CPUsMax: 16}},
		Workers: settings.WorkerTimes{HeartbeatS: 8, LeaseS: 36, CancelS: 61, GangWaitS: 50, GangPeerS: 5},
		Store: settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 16,
			Announced: &settings.AnnouncedStoreLimits{WriteRPS: 35, ValueKB: 2, TxnOps: 5}},
		Cloud: settings.CloudLimits{RPS: 5}}}, rand.New(rand.NewPCG(1, 2)))
	w.values = map[string]string{election.TermKey: string(election.EncodeTerm(1, level))}
	c.Start()
	w.advance(4 * machineProbeInterval)
	return c, w
}

func gangSpecJSON(change ...string) []byte {
	s := `{"id":"j-1","lane":"l","desk":"red","shape":"gang","rank":"high","pieces":4,"vcpus":2,"cards":0,"memory_gb":0,"bundle":"b",
	"image_gb":1,"models":null,"one_zone":true,"apart":false,"standby":false,"runtime_s":9,"snapshot_every_s":0,"snapshot_s":0}`
	return []byte(strings.NewReplacer(change...).Replace(s))
}

// submitStatus is the answer to a submission, 0 while there is none.
func submitStatus(c *Controller, body []byte) (out int) {
	spec, err := api.ParseSpec(body)
	if err != nil {
		panic(err)
	}
	c.leader.submit(spec, func(r Response) { out = r.Status })
	c.AfterEvent()
	return out
}

// TestGangAdmission: below the level a gang is to come again, as an old leader could
// not read it; above it, it is refused if all its tasks together are over the limit of
// the team, or if it can't be stored within the limits that may come, which is said at
// either level.
func TestGangAdmission(t *testing.T) {
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
		{"a gang below the level", 0, gangSpecJSON(), http.StatusServiceUnavailable},
		{"an array below it", 0, gangSpecJSON(`"gang"`, `"batch"`), http.StatusCreated},
		{"a gang", ident.FormatPacked, gangSpecJSON(), http.StatusCreated},
		{"a gang over the limit", ident.FormatPacked, gangSpecJSON(`"pieces":4`, `"pieces":9`), http.StatusUnprocessableEntity},
		{"an array of as many", ident.FormatPacked, gangSpecJSON(`"pieces":4`, `"pieces":9`, `"gang"`, `"batch"`), http.StatusCreated},
		{"too long a description below the level", 0, gangSpecJSON(`"gang"`, `"batch"`, `"models":null`, `"models":`+string(list)), http.StatusUnprocessableEntity},
		{"too long a description", ident.FormatPacked, gangSpecJSON(`"models":null`, `"models":`+string(list)), http.StatusUnprocessableEntity},
	} {
		c, _ := newTestLeader(x.level)
		if got := submitStatus(c, x.body); got != x.want {
			t.Errorf("%s: %d, want %d", x.what, got, x.want)
		}
	}
}

// TestGangForwardingNeedsPackedFormat: a node that doesn't lead passes a gang on only when it has
// read that the level is raised: an old leader would call the gang malformed.
func TestGangForwardingNeedsPackedFormat(t *testing.T) {
	for _, x := range []struct{ term, want string }{{`5`, "503"}, {`{"term":5,"level":1}`, "passed on"}} {
		w := &fakeEnv{now: ident.MonotonicTime(1 << 40), probedAddrs: map[string]bool{}}
		w.values = map[string]string{"term": x.term}
		set := &settings.Settings{Node: "agent-0", Tuning: settings.DefaultTuning(), Peers: []settings.Peer{{Node: "agent-1"}},
			Cluster: settings.Cluster{Nodes: 2, Workers: settings.WorkerTimes{HeartbeatS: 8, LeaseS: 36, CancelS: 61}, Store: settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 16}}}
		c := New(w, set, rand.New(rand.NewPCG(1, 2)))
		c.HandleFrame("agent-1", &transport.Frame{Type: transport.MsgHeartbeat, Node: "agent-1", Term: 5, ID: 1})
		got := ""
		w.frames = nil
		c.HandleRequest(transport.SubmitJob, "", gangSpecJSON(), func(r Response) { got = fmt.Sprint(r.Status) })
		for _, f := range w.frames {
			if f.Type == transport.MsgRequest {
				got = "passed on"
			}
		}
		if got != x.want {
			t.Errorf("term %s: %s, want %s", x.term, got, x.want)
		}
	}
}
