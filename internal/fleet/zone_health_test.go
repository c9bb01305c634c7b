package fleet

import (
	"strings"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

// runSilentZone plays a zone of 30 machines with replicas that all fall silent, for five
// leases, and counts what was returned of them, and what was rented.
func runSilentZone(unreachable bool) (terminated, provisioned int, r *harness) {
	r = newReplicaHarness(30, func(int) bool { return true })
	r.manager.cfg.ZoneUnreachable = func(string) bool { return unreachable }
	names := 1000
	r.reply = func(q cloud.Request) cloud.Response {
		a := cloud.Response{Outcome: cloud.OK}
		if q.Op == cloud.Provision {
			for range q.Count {
				names++
				a.Provisioned = append(a.Provisioned, ident.MachineID(time.Duration(names).String()))
				provisioned++
			}
		}
		return a
	}
	r.advance(5*30*time.Second, r.manager)
	for _, c := range r.calls {
		if c.Op == cloud.Terminate {
			for _, h := range c.MachineIDs {
				if strings.HasPrefix(string(h), "host-") { // not a scout that never came up
					terminated++
				}
			}
		}
	}
	return terminated, provisioned, r
}

// TestUnreachableZoneIsKept: machines of a zone that no node hears may be alive behind a broken
// link. They are given up a few at a time, and only scouts are rented; with the same silence
// and no such doubt all are returned and replaced, as before.
func TestUnreachableZoneIsKept(t *testing.T) {
	returned, rented, _ := runSilentZone(false)
	if returned < 30 || rented < 4 {
		t.Errorf("without the doubt %d were returned and %d rented: the test shows nothing", returned, rented)
	}
	returned, rented, r := runSilentZone(true)
	// One machine a lease; two scouts, and two more whenever those are given up after three
	// and a half times ten seconds.
	if returned > 6 || rented > canaries*5 {
		t.Errorf("%d machines were returned and %d rented in a zone that may be alive", returned, rented)
	}
	// One of them is heard: the others are judged one by one again.
	w := r.table.Sorted()[0]
	for _, k := range r.table.Sorted() {
		if k.State == workers.Up || k.State == workers.Unreachable {
			w = k
			break
		}
	}
	r.sequence++
	r.table.HandleHeartbeat(&api.Heartbeat{MachineID: w.ID, Addr: w.Addr, Model: "m8", Zone: "east", Incarnation: 2, SequenceNumber: r.sequence, FencingToken: ident.MakeFencingToken(3, 1)})
	r.advance(500*time.Millisecond, r.manager)
	if r.manager.health.zones.unreachable["east"] != nil {
		t.Error("the zone still counts as silent")
	}
}

// TestPartitionedNodeFencesNothing: the silence of machines that a sibling reaches is this node's
// own fault.
func TestPartitionedNodeFencesNothing(t *testing.T) {
	for _, blind := range []bool{false, true} {
		r := newReplicaHarness(10, func(i int) bool { return i%2 == 0 })
		r.manager.cfg.LocallyUnreachable = func(string) bool { return blind }
		r.advance(25*time.Second, r.manager)
		if (r.manager.Fenced == 0) != blind {
			t.Errorf("blind %v: %d machines were fenced", blind, r.manager.Fenced)
		}
	}
}
