package simulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/upgrade"
)

// mutateHeartbeatReply is what mutations make of an answer to a report.
func (sim *Simulation) mutateHeartbeatReply(n *node, body []byte, r *controller.Response) *controller.Response {
	var m api.Heartbeat
	switch {
	case sim.mutates(RenewWithoutLeadership) && !n.controller.Election().LeaseValid():
		if json.Unmarshal(body, &m) == nil {
			return &controller.Response{Status: 200,
				Body: api.JSON(api.HeartbeatResponse{FencingToken: m.FencingToken, Commands: []api.Command{}})}
		}
	case sim.mutates(DropStopCommands) && r.Status == 200:
		var o api.HeartbeatResponse
		if json.Unmarshal(r.Body, &o) == nil {
			o.Commands = withoutStops(o.Commands)
			return &controller.Response{Status: 200, Body: api.JSON(o)}
		}
	}
	return r
}

func withoutStops(list []api.Command) []api.Command {
	out := []api.Command{}
	for _, o := range list {
		if o.Verb != api.Kill {
			out = append(out, o)
		}
	}
	return out
}

// cachedAnswer is the mutation that has nodes answer questions from memory for a while.
type cachedAnswer struct {
	at   ident.MonotonicTime
	body []byte
}

const cacheTTL = 3 * time.Second

// forgetPlacements is the mutation in which a new leader doesn't know where tasks are.
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

// dropZoneConstraint is the mutation in which the controllers don't know that a job is bound to
// one zone.
func dropZoneConstraint(body []byte) []byte {
	var s api.Spec
	if json.Unmarshal(body, &s) != nil {
		return body
	}
	s.Zone, s.OneZone = nil, false
	return api.JSON(s)
}

// Mutation switches off one of the safeguards, to show that the checks notice.
type Mutation uint8

// The mutations.
const (
	None                   Mutation = iota
	LaunchBeforeCommit              // launches are sent before the placement is durable
	IgnoreFencingTokens             // workers carry out commands with any token
	IgnoreRevisions                 // transactions are carried out whatever their stamps
	StarvePolls                     // polls for some jobs get no answer
	AcceptStaleHeartbeats           // late copies of reports have new serials, as if they were sent now
	NoMaxWait                       // nothing bounds how long a job waits for its first task
	KeepLeasesForever               // nodes that are cut off with workers answer them for as long as it lasts
	StopPartOfGang                  // only the first task of a gang hears that it should save and stop
	HideWaitingGangTasks            // reports don't tell of tasks that wait for their gang
	ReuseGangAttempt                // every attempt of a gang has the same number
	RaiseFormatEarly                // the format level is raised while old nodes are there
	WriteNewFieldsEarly             // new fields are written below the level
	RenewWithoutLeadership          // nodes that don't surely lead renew every lease for ever
	DropStopCommands                // no order to stop a task reaches a machine
	CacheStatusAnswers              // nodes answer questions from memory for a while
	ForgetPlacements                // a new leader doesn't know which machines tasks are on
	DropZoneConstraint              // the controllers don't know that a job is bound to one zone
	IgnoreSendDeadlines             // what a node decided goes out however long after
	FreshenStaleRows                // late copies of what siblings say of their links look new
	UnboundedHandovers              // nothing bounds how often the lead is given up
	NoFlapDamping                   // a link that broke a moment ago is as good as any
)

// mutates reports whether a safeguard is switched off in this run.
func (sim *Simulation) mutates(m Mutation) bool { return sim.cfg.Mutation == m }

// launchBeforeCommit is the mutation that launches what a transaction is only about to
// make durable.
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

// mutateRequest is what the mutations of a rollout do to the requests of a new node.
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
