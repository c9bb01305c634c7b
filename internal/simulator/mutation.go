package simulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
	"opaldale/internal/upgrade"
)

// mutateHeartbeatReply applies mutations to the reply to a heartbeat.
func (sim *Simulation) mutateHeartbeatReply(n *node, body []byte, r *controller.Response) *controller.Response {
	var m api.Heartbeat
	switch {
	case sim.mutates(RenewWithoutLeadership) && !n.controller.Election().LeaseValid():
		if json.Unmarshal(body, &m) == nil {
			return &controller.Response{Status: http.StatusOK,
				Body: api.JSON(api.HeartbeatResponse{FencingToken: m.FencingToken, Commands: []api.Command{}})}
		}
	case sim.mutates(DropStopCommands) && r.Status == http.StatusOK:
		var o api.HeartbeatResponse
		if json.Unmarshal(r.Body, &o) == nil {
			o.Commands = withoutStops(o.Commands)
			return &controller.Response{Status: http.StatusOK, Body: api.JSON(o)}
		}
	}
	return r
}

// withoutStops drops the commands that stop tasks.
func withoutStops(list []api.Command) []api.Command {
	out := []api.Command{}
	for _, o := range list {
		if o.Verb != api.Kill {
			out = append(out, o)
		}
	}
	return out
}

// cachedAnswer is a reply to a query that a node repeats for a while, under CacheStatusAnswers.
type cachedAnswer struct {
	at   ident.MonotonicTime
	body []byte
}

const cacheTTL = 3 * time.Second

// cachedReply returns the cached reply to a query, nil if there is none or nothing is cached in this run.
func (n *node) cachedReply(r apiRequest) *controller.Response {
	if r.method != transport.GetJob || !n.sim.mutates(CacheStatusAnswers) {
		return nil
	}
	c := n.cache[r.job]
	if c.body == nil || n.sim.now.Sub(c.at) >= cacheTTL {
		return nil
	}
	return &controller.Response{Status: http.StatusOK, Body: c.body}
}

// cacheReply keeps the reply to a query, if replies are cached in this run.
func (n *node) cacheReply(r apiRequest, a controller.Response) {
	if r.method == transport.GetJob && n.sim.mutates(CacheStatusAnswers) && a.Status == http.StatusOK {
		n.cache[r.job] = cachedAnswer{n.sim.now, a.Body}
	}
}

// forgetPlacements drops the placements from a page of the log, for the mutation ForgetPlacements.
func forgetPlacements(a kvstore.Response) kvstore.Response {
	pairs := append([]kvstore.KeyValue(nil), a.KeyValues...)
	for i, p := range pairs {
		var v struct {
			LSN  uint64 `json:"n"`
			Text string `json:"t"`
		}
		if !strings.HasPrefix(p.Key, commit.LogPrefix) || json.Unmarshal(p.Value, &v) != nil {
			continue
		}
		var rows []string
		_ = commit.ParseText(v.Text, func(group, line string) error {
			if f := strings.Split(line, ","); len(f) < 4 {
				rows = append(rows, group+" "+line)
			} else {
				rows = append(rows, group+" "+f[0]+","+f[1])
			}
			return nil // for every line
		})
		v.Text = strings.Join(rows, "\n")
		pairs[i].Value = api.JSON(v)
	}
	a.KeyValues = pairs
	return a
}

// dropZoneConstraint drops the constraints to a zone from a submission, for the mutation DropZoneConstraint.
func dropZoneConstraint(body []byte) []byte {
	var s api.Spec
	if json.Unmarshal(body, &s) != nil {
		return body
	}
	s.Zone, s.OneZone = nil, false
	return api.JSON(s)
}

// Mutation names a safeguard that is switched off, to show that the checks detect its absence.
type Mutation uint8

// The mutations.
const (
	// None switches nothing off.
	None Mutation = iota
	// LaunchBeforeCommit sends launches before their placement is durable.
	LaunchBeforeCommit
	// IgnoreFencingTokens has workers execute commands with any token.
	IgnoreFencingTokens
	// IgnoreRevisions carries out transactions whatever the revisions they demand.
	IgnoreRevisions
	// StarvePolls leaves the queries for some jobs unanswered.
	StarvePolls
	// AcceptStaleHeartbeats gives delayed copies of heartbeats new sequence numbers, as if they were sent just then.
	AcceptStaleHeartbeats
	// NoMaxWait leaves the wait of a job for its first task unbounded.
	NoMaxWait
	// KeepLeasesForever has nodes that are partitioned with workers renew their leases without a bound.
	KeepLeasesForever
	// StopPartOfGang has only the first task of a gang learn that it shall checkpoint and stop.
	StopPartOfGang
	// HideWaitingGangTasks leaves tasks that wait for their gang out of heartbeats.
	HideWaitingGangTasks
	// ReuseGangAttempt numbers every attempt of a gang alike.
	ReuseGangAttempt
	// RaiseFormatEarly raises the format level while legacy nodes are there.
	RaiseFormatEarly
	// WriteNewFieldsEarly writes new fields below their format level.
	WriteNewFieldsEarly
	// RenewWithoutLeadership has nodes that may not lead renew every lease.
	RenewWithoutLeadership
	// DropStopCommands has no command to stop a task reach a machine.
	DropStopCommands
	// CacheStatusAnswers has nodes repeat replies to queries for a while.
	CacheStatusAnswers
	// ForgetPlacements hides from a new leader which machines tasks are on.
	ForgetPlacements
	// DropZoneConstraint hides from the controllers that a job is bound to one zone.
	DropZoneConstraint
	// IgnoreSendDeadlines sends out what a node decided however long ago.
	IgnoreSendDeadlines
	// FreshenStaleRows makes delayed copies of link states look new.
	FreshenStaleRows
	// UnboundedHandovers leaves the rate of handovers unbounded.
	UnboundedHandovers
	// NoFlapDamping takes a link that broke just before for as good as any other.
	NoFlapDamping
)

// mutates reports whether a safeguard is switched off in this run.
func (sim *Simulation) mutates(m Mutation) bool { return sim.cfg.Mutation == m }

// launchBeforeCommit sends the launches of a transaction before it is committed, for the mutation LaunchBeforeCommit.
func (sim *Simulation) launchBeforeCommit(from string, r kvstore.Request) {
	for _, c := range r.Mutations {
		var v struct {
			Text string `json:"t"`
		}
		if !strings.HasPrefix(c.Put, commit.LogPrefix) || json.Unmarshal(c.Value, &v) != nil {
			continue
		}
		err := commit.ParseText(v.Text, func(id, line string) error {
			var i int
			var try ident.Attempt
			var incarnation ident.Incarnation
			f := strings.Split(line, ",")
			if len(f) != 4 {
				return nil
			}
			if _, err := fmt.Sscan(f[0]+" "+f[1]+" "+f[3], &i, &try, &incarnation); err != nil {
				return err
			}
			w := sim.workers[ident.MachineID(f[2])]
			if w == nil {
				return nil
			}
			sim.deliver(from, f[2], func() {
				w.whenResponsive(func() {
					taskID := ident.TaskID{Job: ident.JobID(id), Index: i}
					if w.incarnation == incarnation && w.tasks[taskID][try] == nil {
						w.launch(taskID, try)
					}
				})
			})
			return nil
		})
		if err != nil {
			panic(fmt.Sprintf("simulator: line of the log: %v", err))
		}
	}
}

// mutateRequest applies the mutations of a rolling upgrade to a request of a new node to the store. It returns false if it
// has answered the request itself.
func (sim *Simulation) mutateRequest(r kvstore.Request, f func(kvstore.Response)) (kvstore.Request, bool) {
	if sim.mutates(RaiseFormatEarly) && r.Prefix == upgrade.NodeKeyPrefix {
		out := kvstore.Response{Outcome: kvstore.OK}
		for _, n := range sim.nodes {
			out.KeyValues = append(out.KeyValues, kvstore.KeyValue{Key: upgrade.NodeKeyPrefix + n.name,
				Value: json.RawMessage(`{"level":1}`)})
		}
		sim.schedule(0, func() { f(out) })
		return r, false
	}
	if sim.mutates(WriteNewFieldsEarly) && r.Op == kvstore.Txn {
		then := append([]kvstore.Mutation(nil), r.Mutations...)
		for i, c := range then {
			if strings.HasPrefix(c.Put, "live/") && bytes.HasPrefix(c.Value, []byte("{")) {
				then[i].Value = append([]byte(`{"early":1,`), c.Value[1:]...)
			}
		}
		r.Mutations = then
	}
	return r, true
}
