package fleet

import (
	"strings"
	"testing"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

// runSilentZone runs 30 machines with replicas, all in one zone and all silent, for five lease durations.
// It returns the numbers of machines that were terminated and provisioned.
func runSilentZone(unreachable bool) (terminated, provisioned int, r *harness) {
	r = newReplicaHarness(30, func(int) bool { return true })
	r.manager.cfg.ZoneUnreachable = func(string) bool { return unreachable }
	nextID := 1000
	r.reply = func(request cloud.Request) cloud.Response {
		response := cloud.Response{Outcome: cloud.OK}
		if request.Op == cloud.Provision {
			for range request.Count {
				nextID++
				response.Provisioned = append(response.Provisioned, ident.MachineID(time.Duration(nextID).String()))
				provisioned++
			}
		}
		return response
	}
	r.advance(5*30*time.Second, r.manager)
	for _, c := range r.calls {
		if c.Op == cloud.Terminate {
			for _, h := range c.MachineIDs {
				if strings.HasPrefix(string(h), "host-") { // not a canary, which never boots here
					terminated++
				}
			}
		}
	}
	return terminated, provisioned, r
}

// TestUnreachableZoneIsKept: machines of a zone that no controller reaches may be running behind a network
// partition. They are terminated a few at a time, and only canaries are provisioned. If the same machines
// are silent but the zone is not known to be unreachable, all of them are terminated and replaced.
func TestUnreachableZoneIsKept(t *testing.T) {
	terminated, provisioned, _ := runSilentZone(false)
	if terminated < 30 || provisioned < 4 {
		t.Errorf("zone not unreachable: %d machines terminated, want at least 30; %d provisioned, want at least 4",
			terminated, provisioned)
	}
	terminated, provisioned, r := runSilentZone(true)
	// One machine may be terminated per lease duration. Two canaries are provisioned at first, and two more
	// whenever these are terminated because they have not come up within 35 s, 3.5 boot times.
	if terminated > 6 || provisioned > maxCanaries*5 {
		t.Errorf("zone unreachable: %d machines terminated, want at most 6; %d provisioned, want at most %d",
			terminated, provisioned, maxCanaries*5)
	}
	// As soon as one of the machines sends a heartbeat, the zone is no longer unreachable, and the machines are
	// checked individually again.
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
		t.Error("the zone still counts as unreachable after a heartbeat from one of its machines")
	}
}

// TestPartitionedNodeFencesNothing: if a peer reaches machines that are silent at this node, the fault is at
// this node, and it fences none of them.
func TestPartitionedNodeFencesNothing(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		r := newReplicaHarness(10, func(i int) bool { return i%2 == 0 })
		r.manager.cfg.LocallyUnreachable = func(string) bool { return partitioned }
		r.advance(25*time.Second, r.manager)
		if (r.manager.Fenced == 0) != partitioned {
			t.Errorf("node partitioned %v: %d machines were fenced, want none: %v", partitioned, r.manager.Fenced, partitioned)
		}
	}
}

// TestUnreachableZoneBudget: in each period a fraction of the machines of an unreachable zone, but at least one,
// may be terminated.
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
					t.Errorf("%d machines may be terminated in a period, want %d", terminated, c.want)
				}
				zone.renewBudget(now.Add(period-1), period)
				if zone.mayTerminate() {
					t.Error("the termination budget was renewed before the end of the period")
				}
				now = now.Add(period)
				zone.renewBudget(now, period)
			}
		})
	}
}
