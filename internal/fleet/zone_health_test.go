package fleet

import (
	"strings"
	"testing"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

// runSilentZone makes 30 machines with replicas in a zone silent for five lease durations, and counts
// the machines that were terminated and those that were provisioned.
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
				if strings.HasPrefix(string(h), "host-") { // not a canary that never booted
					terminated++
				}
			}
		}
	}
	return terminated, provisioned, r
}

// TestUnreachableZoneIsKept: machines of a zone that no controller reaches may run behind a network
// partition. They are terminated a few at a time, and only canaries are provisioned; with the same
// silence and no such doubt all are terminated and replaced.
func TestUnreachableZoneIsKept(t *testing.T) {
	terminated, provisioned, _ := runSilentZone(false)
	if terminated < 30 || provisioned < 4 {
		t.Errorf("without the doubt %d were terminated and %d provisioned: the test shows nothing", terminated, provisioned)
	}
	terminated, provisioned, r := runSilentZone(true)
	// One machine a lease; two canaries, and two more whenever those are terminated after three
	// and a half times ten seconds.
	if terminated > 6 || provisioned > maxCanaries*5 {
		t.Errorf("%d machines were terminated and %d provisioned in a zone that may be running", terminated, provisioned)
	}
	// Once one of them reports, the others are checked one by one again.
	w := r.table.Sorted()[0]
	for _, k := range r.table.Sorted() {
		if k.State == workers.Up || k.State == workers.Unreachable {
			w = k
			break
		}
	}
	r.sequence++
	h := newHeartbeat(w.ID, r.sequence)
	h.Addr, h.Incarnation, h.FencingToken = w.Addr, 2, ident.MakeFencingToken(3, 1)
	r.table.HandleHeartbeat(h)
	r.advance(500*time.Millisecond, r.manager)
	if r.manager.health.zones.unreachable["east"] != nil {
		t.Error("the zone still counts as unreachable")
	}
}

// TestPartitionedNodeFencesNothing: the silence of machines that a peer reaches is this node's
// own fault.
func TestPartitionedNodeFencesNothing(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		r := newReplicaHarness(10, func(i int) bool { return i%2 == 0 })
		r.manager.cfg.LocallyUnreachable = func(string) bool { return partitioned }
		r.advance(25*time.Second, r.manager)
		if (r.manager.Fenced == 0) != partitioned {
			t.Errorf("partitioned %v: %d machines were fenced", partitioned, r.manager.Fenced)
		}
	}
}

// TestUnreachableZoneBudget: in each period a part of an unreachable zone may be terminated, at least
// one machine.
func TestUnreachableZoneBudget(t *testing.T) {
	const period = 30 * time.Second
	for _, c := range []struct {
		name     string
		machines int
		want     int
	}{
		{"small zone", 3, 1},
		{"large zone", 4 * terminateDivisor, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := ident.MonotonicTime(time.Hour)
			zone := &unreachableZone{since: now, machines: c.machines, periodStart: now}
			for range 3 { // periods
				terminated := 0
				for zone.mayTerminate() {
					zone.terminated++
					terminated++
				}
				if terminated != c.want {
					t.Errorf("%d machines may be terminated, want %d", terminated, c.want)
				}
				zone.renewBudget(now.Add(period-1), period)
				if zone.mayTerminate() {
					t.Error("the budget is renewed before the period is over")
				}
				now = now.Add(period)
				zone.renewBudget(now, period)
			}
		})
	}
}
