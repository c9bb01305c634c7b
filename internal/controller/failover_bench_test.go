package controller

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"opaldale/internal/catalog"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/machinestore"
	"opaldale/internal/settings"
)

// storedFleet returns the stored records of a fleet in the newest format: machine groups, and three running tasks per
// machine.
func storedFleet(machines int) []kvstore.KeyValue {
	var pairs []kvstore.KeyValue
	put := func(path string, v any) {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		pairs = append(pairs, kvstore.KeyValue{Key: path, Value: b, Revision: ident.Revision(len(pairs) + 1)})
	}
	machineID := func(i int) string { return fmt.Sprintf("host-%06d", i) }
	for at := 0; at < machines; at += machinestore.MaxGroupMachines {
		g := machinestore.GroupRecord{Model: "m8", Zone: "a"}
		var list []machinestore.MachineRecord
		for i := at; i < min(at+machinestore.MaxGroupMachines, machines); i++ {
			addr := fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250)
			list = append(list, machinestore.MachineRecord{ID: ident.MachineID(machineID(i)), Addr: addr})
		}
		g.Encode(list)
		put(fmt.Sprintf("%s1-%d", machinestore.Prefix, at), g)
	}
	type record struct {
		LSN  uint64 `json:"n"`
		Text string `json:"t"`
	}
	const tasks = 60
	for j := range 3 * machines / tasks {
		id := fmt.Sprintf("j-%06d", j)
		spec := fmt.Sprintf(`{"id":%q,"desk":"red","shape":"batch","rank":"standard","pieces":%d,`+
			`"vcpus":2,"bundle":"img-%d","image_gb":1}`, id, tasks, j%16)
		put("live/"+id, json.RawMessage(fmt.Sprintf(`{"spec":%s,"seq":%d,"phase":"open","lsn":0}`, spec, j+1)))
		var lines strings.Builder
		lines.WriteString(id)
		for i := range tasks {
			fmt.Fprintf(&lines, " %d,1,%s,1", i, machineID((j*tasks+i)%machines))
		}
		put(fmt.Sprintf("%s%05d", commit.LogPrefix, j), record{LSN: uint64(j + 1), Text: lines.String()})
	}
	return pairs
}

// BenchmarkFailover measures how long a new leader takes to load the stored state, until it may place tasks.
func BenchmarkFailover(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, machines := range []int{500, 1000, 2000, 4500} {
		b.Run(fmt.Sprintf("%d machines", machines), func(b *testing.B) {
			pairs := storedFleet(machines)
			cfg := testSettings()
			cfg.Cluster.Teams = []settings.Team{{Name: "red", CPUs: 1e6, CPUsMax: 1e6}}
			for b.Loop() {
				env := newFakeEnv(ident.MonotonicTime(time.Hour))
				env.listed = pairs
				env.values = map[string]string{catalog.Key: `[{"sku":"m8","vcpus":8,"memory_gb":32,"sites":["a"]}]`}
				c := New(env, cfg, newTestRand())
				c.OnStartedLeading(2, ident.NewestFormatLevel, kvstore.Compare{Key: "leader", Revision: 9})
				if c.leader == nil || !c.leader.loaded() || len(c.leader.workers.Workers) != machines {
					b.Fatalf("leader has not loaded the stored state with %d machines", machines)
				}
				allocated := 0
				for _, j := range c.leader.jobs.Jobs {
					allocated += j.AllocatedTasks
				}
				if allocated == 0 {
					b.Fatal("got 0 allocated tasks after loading, want more")
				}
			}
		})
	}
}
