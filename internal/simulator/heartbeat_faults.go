package simulator

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/transport"
)

// duplicateLate delivers duplicates of some heartbeats up to two lease durations late, even if the machine was terminated
// in the meantime. The reply is ignored.
func (w *worker) duplicateLate(m *api.Heartbeat) {
	sim := w.sim
	if !sim.cfg.Faults || sim.now > ident.MonotonicTime(sim.cfg.ActiveDuration) || sim.rng.IntN(30) > 0 {
		return
	}
	late := time.Duration(sim.rng.Float64() * 2 * sim.settings.Workers.LeaseS * float64(time.Second))
	sim.schedule(late, func() { sim.deliverStaleHeartbeat(m, sim.nodes[sim.rng.IntN(len(sim.nodes))]) })
}

// deliverStaleHeartbeat delivers a duplicate of an earlier heartbeat to a node.
func (sim *Simulation) deliverStaleHeartbeat(m *api.Heartbeat, n *node) {
	if w := sim.workers[m.MachineID]; w != nil {
		switch {
		case w.incarnation > m.Incarnation:
			sim.countEvent(heartbeatOfEarlierIncarnationEvent)
		case w.sequence > m.SequenceNumber:
			sim.countEvent(staleHeartbeatEvent)
		}
	}
	c := *m
	if sim.mutates(AcceptStaleHeartbeats) {
		c.SequenceNumber += 1000
	}
	sim.request(apiRequest{duplicatesParty, n, transport.WorkerHeartbeat, "", api.JSON(&c), heartbeatTimeout},
		func(*controller.Response) {})
}

// duplicateHeartbeat delivers duplicates of a heartbeat to all nodes, either late or when the next leader is elected, if
// such a fault occurs.
func (sim *Simulation) duplicateHeartbeat(m *api.Heartbeat) {
	deliverCopies := func(delay time.Duration) {
		for i, n := range sim.nodes {
			sim.schedule(delay+time.Duration(i)*time.Millisecond, func() { sim.deliverStaleHeartbeat(m, n) })
		}
	}
	switch {
	case sim.faultOccurs(sim.delayedHeartbeats):
		deliverCopies(time.Duration(2000+sim.rng.Float64()*2000*sim.settings.Workers.LeaseS) * time.Millisecond)
	case sim.faultOccurs(sim.heldHeartbeats):
		sim.heldDeliveries = append(sim.heldDeliveries, func() {
			deliverCopies(time.Duration(sim.rng.IntN(4000)) * time.Millisecond)
		})
	}
}

// holdHeartbeatsForNextLeader buffers duplicates of a share of the heartbeats sent within d, and delivers them when the next
// leader is elected.
func (sim *Simulation) holdHeartbeatsForNextLeader(share float64, d time.Duration) {
	sim.heldHeartbeats = faultWindow{share, sim.now.Add(d)}
	if sim.awaitingNextLeader {
		return
	}
	sim.awaitingNextLeader = true
	sim.onNewTerm(func() {
		deliveries := sim.heldDeliveries
		sim.heldDeliveries = nil
		for _, f := range deliveries {
			sim.countEvent(heldHeartbeatDeliveredEvent)
			f()
		}
	})
}
