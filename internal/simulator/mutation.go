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
	"opaldale/internal/decode"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
	"opaldale/internal/upgrade"
)

// mutateHeartbeatReply applies the active mutation to the reply to a heartbeat.
func (sim *Simulation) mutateHeartbeatReply(n *node, body []byte, r *controller.Response) *controller.Response {
	var m api.Heartbeat
	switch {
	case sim.mutates(RenewWithoutLeadership) && !n.controller.Election().LeaseValid():
		if decode.JSON(body, &m) == nil {
			return &controller.Response{Status: http.StatusOK,
				Body: api.JSON(api.HeartbeatResponse{FencingToken: m.FencingToken, Commands: []api.Command{}})}
		}
	case sim.mutates(DropStopCommands) && r.Status == http.StatusOK:
		var o api.HeartbeatResponse
		if decode.JSON(r.Body, &o) == nil {
			o.Commands = withoutStops(o.Commands)
			return &controller.Response{Status: http.StatusOK, Body: api.JSON(o)}
		}
	}
	return r
}

// withoutStops returns the commands except those that stop tasks.
func withoutStops(list []api.Command) []api.Command {
	out := []api.Command{}
	for _, o := range list {
		if o.Verb != api.Kill {
			out = append(out, o)
		}
	}
	return out
}

// cachedStatusReply is a reply to a status query that a node caches, for the mutation CacheStatusReplies.
type cachedStatusReply struct {
	at   ident.MonotonicTime
	body []byte
}

// cacheTTL is how long a node reuses a cached reply.
const cacheTTL = 3 * time.Second

// cachedReply returns the cached reply to a status query, or nil if there is none or this run caches no replies.
func (n *node) cachedReply(r apiRequest) *controller.Response {
	if r.method != transport.GetJob || !n.sim.mutates(CacheStatusReplies) {
		return nil
	}
	c := n.cache[r.job]
	if c.body == nil || n.sim.now.Sub(c.at) >= cacheTTL {
		return nil
	}
	return &controller.Response{Status: http.StatusOK, Body: c.body}
}

// cacheReply caches the reply to a status query, if this run caches replies.
func (n *node) cacheReply(r apiRequest, a controller.Response) {
	if r.method == transport.GetJob && n.sim.mutates(CacheStatusReplies) && a.Status == http.StatusOK {
		n.cache[r.job] = cachedStatusReply{n.sim.now, a.Body}
	}
}

// forgetPlacements removes the placements from a page of the commit log, for the mutation ForgetPlacements.
func forgetPlacements(a kvstore.Response) kvstore.Response {
	pairs := append([]kvstore.KeyValue(nil), a.KeyValues...)
	for i, p := range pairs {
		var v struct {
			LSN  uint64 `json:"n"`
			Text string `json:"t"`
		}
		if !strings.HasPrefix(p.Key, commit.LogPrefix) || decode.JSON(p.Value, &v) != nil {
			continue
		}
		var lines []string
		_ = commit.ParseText(v.Text, func(group, line string) error {
			if f := strings.Split(line, ","); len(f) < 4 {
				lines = append(lines, group+" "+line)
			} else {
				lines = append(lines, group+" "+f[0]+","+f[1])
			}
			return nil // keep parsing: every line is kept or shortened
		})
		v.Text = strings.Join(lines, "\n")
		pairs[i].Value = api.JSON(v)
	}
	a.KeyValues = pairs
	return a
}

// dropZoneConstraint removes the zone constraints from a submission, for the mutation DropZoneConstraint.
func dropZoneConstraint(body []byte) []byte {
	var s api.Spec
	if decode.JSON(body, &s) != nil {
		return body
	}
	s.Zone, s.OneZone = nil, false
	return api.JSON(s)
}

// Mutation disables one safeguard of the protocol, to test that the checks detect its absence.
type Mutation uint8

// Mutations.
const (
	// None disables no safeguard.
	None Mutation = iota
	// LaunchBeforeCommit sends launch commands before the placement is committed to the store.
	LaunchBeforeCommit
	// IgnoreFencingTokens makes workers execute commands with outdated fencing tokens.
	IgnoreFencingTokens
	// IgnoreRevisions makes the store execute transactions without checking the revisions that they require.
	IgnoreRevisions
	// StarvePolls stops the status queries for some jobs, as if they got no replies.
	StarvePolls
	// AcceptStaleHeartbeats gives delayed duplicates of heartbeats new sequence numbers, so that they appear to be current.
	AcceptStaleHeartbeats
	// NoMaxWait disables the starvation timeout, so that a job may wait for its first task without a bound.
	NoMaxWait
	// KeepLeasesForever lets nodes that are partitioned together with workers renew the workers' leases without a bound.
	KeepLeasesForever
	// StopPartOfGang makes only the first task of a gang execute the command to checkpoint and stop.
	StopPartOfGang
	// HideWaitingGangTasks omits tasks that wait for the rest of their gang from heartbeats.
	HideWaitingGangTasks
	// ReuseGangAttempt gives every attempt of a gang the same number.
	ReuseGangAttempt
	// RaiseFormatEarly raises the format level while legacy nodes are still running.
	RaiseFormatEarly
	// WriteNewFieldsEarly writes new fields before the format level that allows them.
	WriteNewFieldsEarly
	// RenewWithoutLeadership makes nodes without a valid leader lease renew the lease of every worker.
	RenewWithoutLeadership
	// DropStopCommands drops all commands that stop tasks.
	DropStopCommands
	// CacheStatusReplies makes nodes serve status queries from a cache.
	CacheStatusReplies
	// ForgetPlacements removes from the commit log that a new leader reads which machines the tasks are on.
	ForgetPlacements
	// DropZoneConstraint removes the zone constraints from submissions before the controllers receive them.
	DropZoneConstraint
	// IgnoreSendDeadlines sends requests, commands and replies even after their deadline.
	IgnoreSendDeadlines
	// AcceptStaleLinkStates makes delayed duplicates of link states appear to be current.
	AcceptStaleLinkStates
	// UnboundedHandovers disables the rate limit on leadership handovers.
	UnboundedHandovers
	// NoFlapDamping disables the penalty for a link that failed recently.
	NoFlapDamping
)

// mutates reports whether this run disables the given safeguard.
func (sim *Simulation) mutates(m Mutation) bool { return sim.cfg.Mutation == m }

// launchBeforeCommit launches the tasks that a transaction places before the transaction is committed, for the mutation
// LaunchBeforeCommit.
func (sim *Simulation) launchBeforeCommit(from string, r kvstore.Request) {
	for _, c := range r.Mutations {
		var v struct {
			Text string `json:"t"`
		}
		if !strings.HasPrefix(c.Put, commit.LogPrefix) || decode.JSON(c.Value, &v) != nil {
			continue
		}
		err := commit.ParseText(v.Text, func(id, line string) error {
			var i int
			var attempt ident.Attempt
			var incarnation ident.Incarnation
			f := strings.Split(line, ",")
			if len(f) != 4 {
				return nil
			}
			if _, err := fmt.Sscan(f[0]+" "+f[1]+" "+f[3], &i, &attempt, &incarnation); err != nil {
				return err
			}
			w := sim.workers[ident.MachineID(f[2])]
			if w == nil {
				return nil
			}
			sim.deliver(from, f[2], func() {
				w.whenResponsive(func() {
					taskID := ident.TaskID{Job: ident.JobID(id), Index: i}
					if w.incarnation == incarnation && w.tasks[taskID][attempt] == nil {
						w.launch(taskID, attempt)
					}
				})
			})
			return nil
		})
		if err != nil {
			panic(fmt.Sprintf("simulator: invalid line in a commit log record: %v", err))
		}
	}
}

// mutateRequest applies the mutations about rolling upgrades to a request from an upgraded node to the store. It returns
// false if it replied to the request itself.
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
		mutations := append([]kvstore.Mutation(nil), r.Mutations...)
		for i, c := range mutations {
			if strings.HasPrefix(c.Put, "live/") && bytes.HasPrefix(c.Value, []byte("{")) {
				mutations[i].Value = append([]byte(`{"early":1,`), c.Value[1:]...)
			}
		}
		r.Mutations = mutations
	}
	return r, true
}
