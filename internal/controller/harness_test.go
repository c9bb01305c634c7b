package controller

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/catalog"
	"opaldale/internal/clocktest"
	"opaldale/internal/cloud"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	"opaldale/internal/settings"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// fakeEnv is an Env with prepared records in its store, and with machines that don't respond.
type fakeEnv struct {
	clocktest.Clock
	listed      []kvstore.KeyValue
	probedAddrs map[string]bool
	values      map[string]string  // stored values, by key
	frames      []*transport.Frame // sent to peers
	revision    ident.Revision
}

func (env *fakeEnv) WallMS() int64                               { return 0 }
func (env *fakeEnv) Cloud(cloud.Request, func(cloud.Response))   {}
func (env *fakeEnv) SendPeer(_ ident.NodeID, f *transport.Frame) { env.frames = append(env.frames, f) }

func (env *fakeEnv) Store(r kvstore.Request, done func(kvstore.Response)) {
	switch r.Op {
	case kvstore.Txn:
		env.revision++
		done(kvstore.Response{Outcome: kvstore.OK, StoreRevision: env.revision})
	case kvstore.Get:
		if v, ok := env.values[r.Key]; ok {
			done(kvstore.Response{Outcome: kvstore.OK, Value: json.RawMessage(v)})
			return
		}
		if strings.HasPrefix(r.Key, jobs.ArchivePrefix) || r.Key == election.LeaderKey || r.Key == election.TermKey {
			done(kvstore.Response{Outcome: kvstore.NotFound})
			return
		}
		if r.Key == catalog.Key {
			done(kvstore.Response{Outcome: kvstore.OK, Value: api.JSON(testMachineTypes())})
		}
	case kvstore.GrantLease, kvstore.RenewLease:
		done(kvstore.Response{Outcome: kvstore.OK, LeaseID: 1})
	case kvstore.List:
		out := kvstore.Response{Outcome: kvstore.OK}
		for _, p := range env.listed {
			if strings.HasPrefix(p.Key, r.Prefix) {
				out.KeyValues = append(out.KeyValues, p)
			}
		}
		done(out)
	}
}

func (env *fakeEnv) Worker(c workers.CommandCall, done func(workers.CommandResult)) {
	env.probedAddrs[c.Addr] = true
	env.After(1200*time.Millisecond, func() { done(workers.CommandResult{}) })
}

// testStart is the start time of some tests. It is late enough that a time some minutes earlier is not negative.
const testStart = ident.MonotonicTime(1 << 40)

// newFakeEnv returns a fakeEnv without stored records, with its clock at the given time.
func newFakeEnv(now ident.MonotonicTime) *fakeEnv {
	return &fakeEnv{Clock: clocktest.Clock{Time: now}, probedAddrs: map[string]bool{}}
}

// newTestRand returns a random number generator with a fixed seed.
func newTestRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// testMachineTypes returns one machine type, available in zone a.
func testMachineTypes() []cloud.MachineType {
	return []cloud.MachineType{{SKU: "m8", VCPUs: 8, Zones: []string{"a"}}}
}

// testSettings returns the settings of a node without peers or teams.
func testSettings() *settings.Settings {
	return &settings.Settings{
		Node:   "agent-0",
		Tuning: settings.DefaultTuning(),
		Cluster: settings.Cluster{
			Workers: settings.WorkerTimes{HeartbeatS: 8, LeaseS: 36, CancelS: 61},
			Store:   settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 16},
			Cloud:   settings.CloudLimits{RPS: 5},
		},
	}
}

// followerSettings returns the settings of one of two nodes, without limits for the cloud API.
func followerSettings() *settings.Settings {
	cfg := testSettings()
	cfg.Peers = []settings.Peer{{Node: "agent-1"}}
	cfg.Cluster.Nodes = 2
	cfg.Cluster.Cloud = settings.CloudLimits{}
	return cfg
}
