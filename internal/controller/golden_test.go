package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/authority"
	"opaldale/internal/catalog"
	"opaldale/internal/cloud"
	"opaldale/internal/golden"
	"opaldale/internal/handover"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	"opaldale/internal/links"
	"opaldale/internal/linktracker"
	"opaldale/internal/load"
	"opaldale/internal/machinestore"
	"opaldale/internal/migration"
	"opaldale/internal/rebalance"
	"opaldale/internal/rebalancer"
	"opaldale/internal/settings"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// goldenStore is an environment with a recording store and a cloud with two machine types.
type goldenStore struct{ *recordingStore }

func (goldenStore) WallMS() int64 { return 1_700_000_000_123 }

func (goldenStore) Cloud(r cloud.Request, done func(cloud.Response)) {
	if r.Op == cloud.Catalog {
		other := golden.Filled[cloud.MachineType](0)
		other.SKU, other.Zones = "m8", []string{"a", "b"}
		done(cloud.Response{Outcome: cloud.OK, MachineTypes: []cloud.MachineType{golden.Filled[cloud.MachineType](0), other}})
	}
}

// startLeader starts a term at a format level from the stored state.
func (s goldenStore) startLeader(term ident.Term, level ident.FormatLevel) *Controller {
	cfg := testSettings()
	cfg.Cluster.Teams = []settings.Team{{Name: "red", CPUs: 8, CPUsMax: 16}}
	c := New(s, cfg, newTestRand())
	c.OnStartedLeading(term, level, kvstore.Compare{Key: "leader", Revision: 9})
	s.flush(c)
	return c
}

// flush advances the clock until all changes are written to the store.
func (s goldenStore) flush(c *Controller) {
	for range 50 {
		s.Advance(100 * time.Millisecond)
		c.AfterEvent()
	}
}

// stored formats the keys and values in the store.
func (s goldenStore) stored() string {
	var b strings.Builder
	for _, path := range slices.Sorted(maps.Keys(s.Entries)) {
		fmt.Fprintf(&b, "%s: %s\n", path, s.Entries[path].Value)
	}
	return b.String()
}

// formatMachines formats a leader's machines and machine types.
func formatMachines(l *leaderTerm) string {
	var b strings.Builder
	for _, w := range l.workers.Sorted() {
		fmt.Fprintf(&b, "%s at %q, %s in %s, spot %v, %s, %v old\n", w.ID, w.Addr, w.Model, w.Zone, w.Spot, w.State,
			l.env.Now().Sub(w.CreatedAt).Round(time.Minute))
	}
	for _, m := range l.catalog.Types() {
		fmt.Fprintf(&b, "%s\n", api.JSON(m))
	}
	return b.String()
}

// TestGoldenMachines compares with the golden file the stored keys and values of machines and machine types in both formats,
// and the state that the next term loads from them.
func TestGoldenMachines(t *testing.T) {
	var d golden.Document
	for _, level := range []ident.FormatLevel{0, ident.FormatPacked} {
		s := goldenStore{newRecordingStore(t, ident.MonotonicTime(9*time.Hour), 16<<10)}
		c := s.startLeader(7, level)
		for i, h := range []ident.MachineID{"host 1,a", "host-2", "host-3", "host-4"} {
			w := c.leader.workers.Add(workers.MachineInfo{
				ID:        h,
				Model:     "m8",
				Zone:      []string{"a", "a", "b", "a"}[i],
				Spot:      i == 3,
				CreatedAt: s.Time.Add(-time.Duration(i) * time.Hour),
			})
			if i != 1 {
				c.leader.workers.HandleHeartbeat(&api.Heartbeat{
					MachineID:      h,
					Addr:           fmt.Sprintf("10.1.0.%d:9000", i),
					Model:          w.Model,
					Zone:           w.Zone,
					Spot:           w.Spot,
					Incarnation:    1,
					SequenceNumber: 1,
				})
			}
		}
		s.flush(c)
		d.Add(fmt.Sprintf("level %d", level), s.stored())
		d.Add(fmt.Sprintf("level %d: read", level), formatMachines(s.startLeader(8, level).leader))
		if level < ident.FormatPacked {
			c = s.startLeader(9, ident.FormatPacked)
			d.Add("level 0: read above it", formatMachines(c.leader))
			d.Add("level 0: written above it", s.stored())
			c.leader.enablePackedFormat()
			s.flush(c)
			d.Add("level 0: written as the level is raised", s.stored())
		}
	}
	golden.RoundTrip(t, &d, "group", golden.Filled[machinestore.GroupRecord](0))
	d.Add("prefixes", strings.Join([]string{
		machinestore.Prefix, catalog.Key, catalog.Prefix, jobs.LivePrefix, jobs.ArchivePrefix, migration.Prefix,
	}, "\n"))
	d.Compare(t, "machines")
}

// recordingClient sends requests to a node and records the responses.
type recordingClient struct {
	node    *Controller
	env     *fakeEnv
	answers strings.Builder
}

func (client *recordingClient) send(label string, method transport.Method, job string, body []byte) {
	answered := false
	client.node.HandleRequest(method, job, body, func(r Response) {
		answered = true
		fmt.Fprintf(&client.answers, "%s: %d, retry after %d: %s\n", label, r.Status, r.RetryAfterS, r.Body)
	})
	client.node.AfterEvent()
	if !answered {
		client.env.Advance(5 * time.Second)
	}
}

// TestGoldenAnswers compares the status, Retry-After and body of responses to users and workers with the golden file.
func TestGoldenAnswers(t *testing.T) {
	var d golden.Document
	for _, level := range []ident.FormatLevel{0, ident.FormatPacked} {
		c, env := newTestLeader(level)
		client := &recordingClient{node: c, env: env}
		sendLeaderRequests(client)
		d.Add(fmt.Sprintf("leader at level %d", level), client.answers.String())
	}
	for _, known := range []bool{false, true} {
		client := goldenFollower(known)
		sendFollowerRequests(client)
		d.Add(fmt.Sprintf("follower, leader known: %v", known), client.answers.String())
	}
	d.Compare(t, "answers")
}

// heartbeatJSON returns the first heartbeat of a machine.
func heartbeatJSON() []byte {
	return api.JSON(api.Heartbeat{
		MachineID:      "host-1",
		Addr:           "10.1.0.1:9000",
		Model:          "m8",
		Zone:           "a",
		Incarnation:    1,
		SequenceNumber: 1,
	})
}

// sendLeaderRequests sends requests that a leader answers without contacting another node.
func sendLeaderRequests(client *recordingClient) {
	batch := func(change ...string) []byte { return gangSpecJSON(append(change, `"gang"`, `"batch"`)...) }
	var many []string
	for i := range 500 {
		many = append(many, fmt.Sprintf("model-%04d", i))
	}
	models := string(api.JSON(append(many, "m8")))
	heartbeat := heartbeatJSON()
	client.env.values[jobs.ArchiveKey("j-70")] = `{"phase":"done","pieces":5,"done":5}`
	client.env.values[jobs.ArchiveKey("j-71")] = `{"phase":"cancelled","pieces":5,"done":3}`
	client.env.values[jobs.ArchiveKey("j-72")] = `{"phase":"lost"}`
	client.send("malformed submission", transport.SubmitJob, "", []byte("x"))
	client.send("field missing", transport.SubmitJob, "", batch(`"vcpus"`, `"x"`))
	client.send("gang", transport.SubmitJob, "", gangSpecJSON(`"j-1"`, `"j-2"`))
	client.send("array", transport.SubmitJob, "", batch())
	client.send("same array", transport.SubmitJob, "", batch())
	client.send("unknown team", transport.SubmitJob, "", batch(`"j-1"`, `"j-3"`, `"red"`, `"blue"`))
	client.send("over the limit", transport.SubmitJob, "", gangSpecJSON(`"j-1"`, `"j-4"`, `"pieces":4`, `"pieces":9`))
	client.send("fits no machine", transport.SubmitJob, "", batch(`"j-1"`, `"j-5"`, `"vcpus":2`, `"vcpus":9`))
	client.send("long description", transport.SubmitJob, "", batch(`"j-1"`, `"j-6"`, `"models":null`, `"models":`+models))
	client.send("refused, and over already", transport.SubmitJob, "", batch(`"j-1"`, `"j-70"`, `"red"`, `"blue"`))
	for _, id := range []string{"j-1", "j-70", "j-71", "j-72", "j-99"} {
		client.send("poll "+id, transport.GetJob, id, nil)
	}
	for _, id := range []string{"j-1", "j-1", "j-70", "j-71", "j-72", "j-99"} {
		client.send("cancel "+id, transport.CancelJob, id, nil)
	}
	client.send("poll j-1", transport.GetJob, "j-1", nil)
	client.send("malformed heartbeat", transport.WorkerHeartbeat, "", []byte(`{}`))
	client.send("heartbeat", transport.WorkerHeartbeat, "", heartbeat)
	client.env.Time = client.env.Time.Add(time.Hour)
	client.send("submission to a leader whose lease has expired", transport.SubmitJob, "", batch(`"j-1"`, `"j-8"`))
	client.send("cancellation to a leader whose lease has expired", transport.CancelJob, "j-1", nil)
	client.send("heartbeat to a leader whose lease has expired", transport.WorkerHeartbeat, "", heartbeat)
}

// goldenFollower returns a client of a node with one peer. If known, the peer has reported that it is the leader.
func goldenFollower(known bool) *recordingClient {
	env := newFakeEnv(testStart)
	env.values = map[string]string{"term": "5"}
	client := &recordingClient{node: New(env, followerSettings(), newTestRand()), env: env}
	if known {
		client.node.HandleFrame("agent-1", &transport.Frame{Type: transport.MsgHeartbeat, Node: "agent-1", Term: 5, ID: 1})
	}
	return client
}

// sendFollowerRequests sends requests to a node that forwards them to a leader; the leader does not respond.
func sendFollowerRequests(client *recordingClient) {
	live := `{"spec":{"id":"j-80","pieces":4},"seq":3,"phase":"open",` +
		`"tasks":[{"t":1,"h":"host-1","n":2},{"t":3,"d":true},{},{"t":1,"h":"host-1","n":2}]}`
	client.env.values[jobs.LiveKey("j-80")] = live
	client.env.values[jobs.LiveKey("j-81")] = `{}`
	client.env.values[jobs.LiveKey("j-82")] = strings.NewReplacer("j-80", "j-82", "open", "cancelled").Replace(live)
	client.send("malformed submission", transport.SubmitJob, "", []byte("x"))
	client.send("gang", transport.SubmitJob, "", gangSpecJSON())
	client.send("array", transport.SubmitJob, "", gangSpecJSON(`"gang"`, `"batch"`))
	client.send("cancellation", transport.CancelJob, "j-1", nil)
	heartbeat := heartbeatJSON()
	client.send("malformed heartbeat", transport.WorkerHeartbeat, "", []byte(`{}`))
	client.send("heartbeat", transport.WorkerHeartbeat, "", heartbeat)
	for _, id := range []string{"j-80", "j-81", "j-82"} {
		client.send("poll "+id, transport.GetJob, id, nil)
	}
}

// TestGoldenReports compares the reports for operators, with all fields set, with the golden file.
func TestGoldenReports(t *testing.T) {
	var d golden.Document
	for v := range golden.BoolVariants {
		d.JSON(t, fmt.Sprintf("links %d", v), golden.Filled[linktracker.Report](v))
		golden.RoundTrip(t, &d, fmt.Sprintf("moves %d", v), golden.Filled[MoveReport](v))
	}
	d.JSON(t, "no links", linktracker.Report{})
	d.JSON(t, "no moves", MoveReport{})
	record := `{"moves":[{"task":1,"attempt":2,"from":"host-3","to":"host-4","for":"j-5/6",` +
		`"source":"makes room","at_ms":7000,"gain_s":8.5,"cost_s":9.5}]}`
	d.JSON(t, "stored moves", recordedMoves(kvstore.KeyValue{Key: "moves/j-7", Value: json.RawMessage(record)}, 17_500))
	d.Compare(t, "reports")
}

// formatNames lists the values from 0 to last with their names.
func formatNames[T ~uint8](last T, name func(T) string) string {
	var b strings.Builder
	for v := T(0); v <= last; v++ {
		fmt.Fprintf(&b, "%d %s\n", v, name(v))
	}
	return b.String()
}

// TestGoldenNames compares the names in reports, in metric labels and in stored values with the golden file.
func TestGoldenNames(t *testing.T) {
	var d golden.Document
	peer := links.Endpoint{Kind: links.PeerNode, Name: "agent-1"}
	d.Add("peers of links", formatNames(links.Machines, links.Kind.String)+peer.String())
	d.Add("directions", formatNames(links.Outbound, links.Direction.String))
	d.Add("states of links", formatNames(links.Down, links.State.String))
	d.Add("evidence", formatNames(links.Silence, links.Evidence.String))
	d.Add("dropped advertisements", formatNames(links.Superseded, links.MergeResult.String))
	d.Add("authority", formatNames(authority.Active, authority.State.String))
	d.Add("handover", formatNames(handover.Ended, handover.State.String)+formatNames(handover.Requested, handover.Reason.String))
	moveStates := formatNames(migration.Abandoned, migration.State.String)
	d.Add("moves", moveStates+formatNames(migration.LostAtDestination, migration.Reason.String))
	d.Add("sources of gain", formatNames(rebalance.LeavesSlowMachine, rebalance.Purpose.String))
	d.Add("rounds without a plan", formatNames(rebalancer.HoldNothingWaiting, rebalancer.HoldReason.String))
	d.Add("teams", formatNames(load.Recovering, load.DemandState.String))
	d.Add("machines", formatNames(workers.Terminated, workers.State.String))
	d.Add("phases of jobs", formatNames(jobs.Done, jobs.Phase.String))
	d.Compare(t, "names")
}

// TestGoldenStats checks that each counter of a leader appears in the right field of Stats.
func TestGoldenStats(t *testing.T) {
	c, _ := newTestLeader(ident.FormatPacked)
	c.Forwarded, c.Refused, c.Elections, c.LeasesRenewedWithoutLeader, c.Relayed = 101, 102, 103, 104, 105
	l := c.leader
	p := &l.planner.Stats
	p.Planned, p.Local, p.Uncached, p.Stolen, p.Services, p.Gangs, p.Preempted = 201, 202, 203, 204, 205, 206, 207
	p.Rounds, p.ExtraRounds = 208, 209
	p.FetchedGB, p.PlanTime = 210.5, 211*time.Second
	l.fleet.Provisioned, l.fleet.Terminated, l.fleet.Fenced = 301, 302, 303
	l.committer.Txns, l.committer.Puts, l.committer.Retries, l.committer.Rejected = 401, 402, 403, 404
	l.gangs.Started, l.gangs.Lost, l.gangs.Replaced, l.gangs.Stopped = 501, 502, 503, 504
	l.workers.LostTasks, l.workers.FencedCommands, l.workers.StaleHeartbeats = 601, 602, 603
	s := c.Stats()
	for _, x := range []struct {
		name      string
		got, want uint64
	}{
		{"forwarded", s.Forwarded, 101},
		{"refused", s.Refused, 102},
		{"terms begun", s.TermsBegun, 103},
		{"leases kept", s.LeasesRenewedWithoutLeader, 104},
		{"relayed", s.Relayed, 105},
		{"placed as planned", s.PlacedPlanned, 201},
		{"placed locally", s.PlacedLocal, 202},
		{"placed without the image", s.PlacedUncached, 203},
		{"placed by stealing", s.PlacedStolen, 204},
		{"placed services", s.PlacedServices, 205},
		{"placed gangs", s.PlacedGangs, 206},
		{"preempted", s.Preempted, 207},
		{"plan rounds", s.PlanRounds, 208},
		{"extra plan rounds", s.PlanExtraRounds, 209},
		{"fetched GB", uint64(s.FetchedGB), 210},
		{"plan seconds", uint64(s.PlanSeconds), 211},
		{"machines provisioned", s.MachinesProvisioned, 301},
		{"machines terminated", s.MachinesTerminated, 302},
		{"machines fenced", s.MachinesFenced, 303},
		{"transactions", s.Txns, 401},
		{"puts", s.Puts, 402},
		{"transaction retries", s.TxnRetries, 403},
		{"transactions rejected", s.TxnsRejected, 404},
		{"gangs started", s.GangsStarted, 501},
		{"gangs lost", s.GangsLost, 502},
		{"gangs replaced", s.GangsReplaced, 503},
		{"gangs stopped", s.GangsStopped, 504},
		{"tasks lost", s.TasksLost, 601},
		{"command fences", s.CommandFences, 602},
		{"stale heartbeats", s.StaleHeartbeats, 603},
	} {
		if x.got != x.want {
			t.Errorf("%s: got %d, want %d", x.name, x.got, x.want)
		}
	}
}
