package simulator

import (
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// faultWindow is a trouble that befalls a share of what it is about until a time.
type faultWindow struct {
	probability float64
	until       ident.MonotonicTime
}

func (sim *Simulation) faultHits(s faultWindow) bool {
	return sim.now < s.until && sim.rng.Float64() < s.probability
}

// activeFaults are those of the operators' page on two at once.
type activeFaults struct {
	delayedWrites        faultWindow // transactions get no answer, and are carried out 2 to 12 s later
	droppedReplies       faultWindow // or at once
	delayedHeartbeats    faultWindow // copies of reports come up to two leases later
	heldHeartbeats       faultWindow // or when the next leader begins
	slowStore            faultWindow // answers of the state service take up to a second
	slowLinks            faultWindow // what nodes say to each other takes up to half a second
	delayedCommands      faultWindow // commands to machines, and their answers, are held up for seconds
	fastBoots            faultWindow // machines are up within two seconds
	slowBoots            faultWindow // several times as late as they should be
	failedBoots          faultWindow // or never
	cancelAtCompletion   faultWindow // jobs are called off at the moment in which their last task ends
	probeAfterAnswer     faultWindow // users ask at all nodes within milliseconds of what they are told
	outboundBlockedUntil map[string]ident.MonotonicTime
	heldDeliveries       []func()
	awaitingNextLeader   bool // for the next leader, to deliver what is kept

	// What came of them, for tests to see that they took place.
	eventCounts map[eventName]int
}

// blockOutbound has a machine reach no node, though nodes reach it.
func (sim *Simulation) blockOutbound(w *worker, d time.Duration) {
	sim.logf("%s reaches no node for %v", w.id, d)
	sim.outboundBlockedUntil[string(w.id)] = sim.now.Add(d)
}

// extraLatency is what the spells add to a message's time.
func (sim *Simulation) extraLatency(from, to string) time.Duration {
	switch {
	case isNode(from) && isNode(to) && sim.faultHits(sim.slowLinks):
		sim.countEvent(linkSlowEvent)
		return time.Duration(100+sim.rng.IntN(400)) * time.Millisecond
	case (from == storeParty || to == storeParty) && sim.faultHits(sim.slowStore):
		sim.countEvent(storeSlowEvent)
		return time.Duration(50+sim.rng.IntN(450)) * time.Millisecond
	}
	return 0
}

// delayCommand carries on with a command to a machine, or with its reply, after the delay that a fault adds.
func (sim *Simulation) delayCommand(carryOn func()) {
	if !sim.faultHits(sim.delayedCommands) {
		carryOn()
		return
	}
	sim.countEvent(commandDelayedEvent)
	sim.schedule(time.Duration(500+sim.rng.IntN(5500))*time.Millisecond, carryOn)
}

// interceptTransaction has a transaction carried out late, or at once without an answer. It says
// whether that is so.
func (s *store) interceptTransaction(r kvstore.Request) bool {
	sim := s.sim
	switch {
	case sim.faultHits(sim.droppedReplies):
		sim.countEvent(replyDroppedEvent)
		s.transact(r)
		return true
	case sim.faultHits(sim.delayedWrites):
		before := s.revision
		sim.schedule(time.Duration(2000+sim.rng.IntN(10_000))*time.Millisecond, func() {
			if sim.now < s.downUntil {
				return
			}
			if s.revision > before {
				sim.countEvent(lateWriteEvent)
			}
			s.transact(r)
		})
		return true
	}
	return false
}
