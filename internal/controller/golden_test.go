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

// lead starts a term at a format level on the stored state.
func (s goldenStore) lead(term ident.Term, level ident.FormatLevel) *Controller {
	cfg := testSettings()
	cfg.Cluster.Teams = []settings.Team{{Name: "red", CPUs: 8, CPUsMax: 16}}
	c := New(s, cfg, newTestRand())
	c.OnStartedLeading(term, level, kvstore.Compare{Key: "leader", Revision: 9})
	s.settle(c)
	return c
}

// settle lets time pass until everything is written.
func (s goldenStore) settle(c *Controller) {
	for range 50 {
		s.Advance(100 * time.Millisecond)
		c.AfterEvent()
	}
}

// stored lists the keys and values.
func (s goldenStore) stored() string {
	var b strings.Builder
	for _, path := range slices.Sorted(maps.Keys(s.Entries)) {
		fmt.Fprintf(&b, "%s: %s\n", path, s.Entries[path].Value)
	}
	return b.String()
}

// machinesOf lists what a leader knows of its machines and their types.
func machinesOf(l *leaderTerm) string {
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

// TestGoldenMachines pins the keys and values of machines and their types in either format, and what the next term reads of
// them.
func TestGoldenMachines(t *testing.T) {
	var d golden.Document
	for _, level := range []ident.FormatLevel{0, ident.FormatPacked} {
		s := goldenStore{newRecordingStore(t, ident.MonotonicTime(9*time.Hour), 16<<10)}
		c := s.lead(7, level)
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
		s.settle(c)
		d.Add(fmt.Sprintf("level %d", level), s.stored())
		d.Add(fmt.Sprintf("level %d: read", level), machinesOf(s.lead(8, level).leader))
		if level < ident.FormatPacked {
			c = s.lead(9, ident.FormatPacked)
			d.Add("level 0: read above it", machinesOf(c.leader))
			d.Add("level 0: written above it", s.stored())
			c.leader.enablePackedFormat()
			s.settle(c)
			d.Add("level 0: written as the level is raised", s.stored())
		}
	}
	golden.RoundTrip(t, &d, "group", golden.Filled[machinestore.GroupRecord](0))
	d.Add("prefixes", strings.Join([]string{
		machinestore.Prefix, catalog.Key, catalog.Prefix, jobs.LivePrefix, jobs.ArchivePrefix, migration.Prefix,
	}, "\n"))
	d.Compare(t, "machines")
}

// recordingClient sends requests to a node and records the answers.
type recordingClient struct {
	c   *Controller
	env *fakeEnv
	b   strings.Builder
}

func (a *recordingClient) ask(what string, method transport.Method, job string, body []byte) {
	answered := false
	a.c.HandleRequest(method, job, body, func(r Response) {
		answered = true
		fmt.Fprintf(&a.b, "%s: %d, retry after %d: %s\n", what, r.Status, r.RetryAfterS, r.Body)
	})
	a.c.AfterEvent()
	if !answered {
		a.env.Advance(5 * time.Second)
	}
}

// TestGoldenAnswers pins the status, Retry-After and body of answers to users and workers.
func TestGoldenAnswers(t *testing.T) {
	var d golden.Document
	for _, level := range []ident.FormatLevel{0, ident.FormatPacked} {
		c, env := newTestLeader(level)
		a := &recordingClient{c: c, env: env}
		askLeader(a)
		d.Add(fmt.Sprintf("leader at level %d", level), a.b.String())
	}
	for _, known := range []bool{false, true} {
		a := goldenFollower(known)
		askFollower(a)
		d.Add(fmt.Sprintf("follower, leader known: %v", known), a.b.String())
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

// askLeader sends the requests that a leader answers without another node.
func askLeader(a *recordingClient) {
	batch := func(change ...string) []byte { return gangSpecJSON(append(change, `"gang"`, `"batch"`)...) }
	var many []string
	for i := range 500 {
		many = append(many, fmt.Sprintf("model-%04d", i))
	}
	models := string(api.JSON(append(many, "m8")))
	report := heartbeatJSON()
	a.env.values[jobs.ArchiveKey("j-70")] = `{"phase":"done","pieces":5,"done":5}`
	a.env.values[jobs.ArchiveKey("j-71")] = `{"phase":"cancelled","pieces":5,"done":3}`
	a.env.values[jobs.ArchiveKey("j-72")] = `{"phase":"lost"}`
	a.ask("malformed submission", transport.SubmitJob, "", []byte("x"))
	a.ask("field missing", transport.SubmitJob, "", batch(`"vcpus"`, `"x"`))
	a.ask("gang", transport.SubmitJob, "", gangSpecJSON(`"j-1"`, `"j-2"`))
	a.ask("array", transport.SubmitJob, "", batch())
	a.ask("same array", transport.SubmitJob, "", batch())
	a.ask("unknown team", transport.SubmitJob, "", batch(`"j-1"`, `"j-3"`, `"red"`, `"blue"`))
	a.ask("over the limit", transport.SubmitJob, "", gangSpecJSON(`"j-1"`, `"j-4"`, `"pieces":4`, `"pieces":9`))
	a.ask("fits no machine", transport.SubmitJob, "", batch(`"j-1"`, `"j-5"`, `"vcpus":2`, `"vcpus":9`))
	a.ask("long description", transport.SubmitJob, "", batch(`"j-1"`, `"j-6"`, `"models":null`, `"models":`+models))
	a.ask("refused, and over already", transport.SubmitJob, "", batch(`"j-1"`, `"j-70"`, `"red"`, `"blue"`))
	for _, id := range []string{"j-1", "j-70", "j-71", "j-72", "j-99"} {
		a.ask("poll "+id, transport.GetJob, id, nil)
	}
	for _, id := range []string{"j-1", "j-1", "j-70", "j-71", "j-72", "j-99"} {
		a.ask("cancel "+id, transport.CancelJob, id, nil)
	}
	a.ask("poll j-1", transport.GetJob, "j-1", nil)
	a.ask("malformed report", transport.WorkerHeartbeat, "", []byte(`{}`))
	a.ask("report", transport.WorkerHeartbeat, "", report)
	a.env.Time = a.env.Time.Add(time.Hour)
	a.ask("submission to a leader that is not sure", transport.SubmitJob, "", batch(`"j-1"`, `"j-8"`))
	a.ask("cancellation to a leader that is not sure", transport.CancelJob, "j-1", nil)
	a.ask("report to a leader that is not sure", transport.WorkerHeartbeat, "", report)
}

// goldenFollower returns a node with a peer that leads, if the leader is known.
func goldenFollower(known bool) *recordingClient {
	env := newFakeEnv(testStart)
	env.values = map[string]string{"term": "5"}
	a := &recordingClient{c: New(env, followerSettings(), newTestRand()), env: env}
	if known {
		a.c.HandleFrame("agent-1", &transport.Frame{Type: transport.MsgHeartbeat, Node: "agent-1", Term: 5, ID: 1})
	}
	return a
}

// askFollower sends requests to a node that forwards them to a leader, which does not answer.
func askFollower(a *recordingClient) {
	live := `{"spec":{"id":"j-80","pieces":4},"seq":3,"phase":"open",` +
		`"tasks":[{"t":1,"h":"host-1","n":2},{"t":3,"d":true},{},{"t":1,"h":"host-1","n":2}]}`
	a.env.values[jobs.LiveKey("j-80")] = live
	a.env.values[jobs.LiveKey("j-81")] = `{}`
	a.env.values[jobs.LiveKey("j-82")] = strings.NewReplacer("j-80", "j-82", "open", "cancelled").Replace(live)
	a.ask("malformed submission", transport.SubmitJob, "", []byte("x"))
	a.ask("gang", transport.SubmitJob, "", gangSpecJSON())
	a.ask("array", transport.SubmitJob, "", gangSpecJSON(`"gang"`, `"batch"`))
	a.ask("cancellation", transport.CancelJob, "j-1", nil)
	report := heartbeatJSON()
	a.ask("malformed report", transport.WorkerHeartbeat, "", []byte(`{}`))
	a.ask("report", transport.WorkerHeartbeat, "", report)
	for _, id := range []string{"j-80", "j-81", "j-82"} {
		a.ask("poll "+id, transport.GetJob, id, nil)
	}
}

// TestGoldenReports pins the reports for operators, with all of their fields set.
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
	d.JSON(t, "moves on record", recordedMoves(kvstore.KeyValue{Key: "moves/j-7", Value: json.RawMessage(record)}, 17_500))
	d.Compare(t, "reports")
}

// namesOf lists the names of consecutive values, the first one being 0.
func namesOf[T ~uint8](last T, name func(T) string) string {
	var b strings.Builder
	for v := T(0); v <= last; v++ {
		fmt.Fprintf(&b, "%d %s\n", v, name(v))
	}
	return b.String()
}

// TestGoldenNames pins the names in reports, in labels of metrics and in stored values.
func TestGoldenNames(t *testing.T) {
	var d golden.Document
	peer := links.Endpoint{Kind: links.PeerNode, Name: "agent-1"}
	d.Add("peers of links", namesOf(links.Machines, links.Kind.String)+peer.String())
	d.Add("directions", namesOf(links.Outbound, links.Direction.String))
	d.Add("states of links", namesOf(links.Down, links.State.String))
	d.Add("evidence", namesOf(links.Silence, links.Evidence.String))
	d.Add("rows not taken", namesOf(links.Superseded, links.MergeResult.String))
	d.Add("authority", namesOf(authority.Active, authority.State.String))
	d.Add("handover", namesOf(handover.Ended, handover.State.String)+namesOf(handover.Requested, handover.Reason.String))
	moveStates := namesOf(migration.Abandoned, migration.State.String)
	d.Add("moves", moveStates+namesOf(migration.LostAtDestination, migration.Reason.String))
	d.Add("sources of gain", namesOf(rebalance.LeavesSlowMachine, rebalance.Purpose.String))
	d.Add("rounds without a plan", namesOf(rebalancer.HoldNothingWaiting, rebalancer.HoldReason.String))
	d.Add("teams", namesOf(load.Recovering, load.DemandState.String))
	d.Add("machines", namesOf(workers.Terminated, workers.State.String))
	d.Add("phases of jobs", namesOf(jobs.Done, jobs.Phase.String))
	d.Compare(t, "names")
}

// TestGoldenStats pins which counters of a leader its Stats show.
func TestGoldenStats(t *testing.T) {
	c, _ := newTestLeader(ident.FormatPacked)
	c.Forwarded, c.Refused, c.Elections, c.LeasesKept, c.Relayed = 101, 102, 103, 104, 105
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
		{"leases kept", s.LeasesKept, 104},
		{"relayed", s.Relayed, 105},
		{"placed as planned", s.PlacedPlanned, 201},
		{"placed locally", s.PlacedLocal, 202},
		{"placed without the image", s.PlacedNew, 203},
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
			t.Errorf("%s: %d, want %d", x.name, x.got, x.want)
		}
	}
}
