package controller

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	_ "opaldale/internal/kvstoretest"
	"opaldale/internal/machinestore"
)

// TestUnansweredProbesFreeTheirSlot: a new leader probes every machine within the time that its probe rate allows, including
// a machine with recorded tasks, even if none of the machines probed first responds.
func TestUnansweredProbesFreeTheirSlot(t *testing.T) {
	env := newFakeEnv(ident.MonotonicTime(time.Hour))
	g := machinestore.GroupRecord{Model: "m8", Zone: "a"}
	const machines = 3 * maxMachineProbes
	for i := range machines {
		id := ident.MachineID(fmt.Sprintf("host-%06d", i))
		g.Machines = append(g.Machines, machinestore.MachineRecord{ID: id, Addr: fmt.Sprint("addr-", i)})
	}
	b, err := json.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	env.listed = []kvstore.KeyValue{{Key: machinestore.Prefix + "1-1", Value: b, Revision: 3}}
	job := `{"spec":{"id":"j-1","desk":"red","shape":"service","pieces":1,"vcpus":1},` +
		`"seq":1,"phase":"open","tasks":[{"t":1,"h":"host-000007","n":1}]}`
	env.listed = append(env.listed, kvstore.KeyValue{Key: "live/j-1", Value: json.RawMessage(job), Revision: 4})
	c := New(env, testSettings(), newTestRand())
	c.OnStartedLeading(2, 0, kvstore.Compare{Key: "leader", Revision: 9})
	env.Advance(4 * machineProbeInterval)
	if len(env.probedAddrs) != machines {
		t.Errorf("got %d machines probed, want %d", len(env.probedAddrs), machines)
	}
}
