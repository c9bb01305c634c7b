package simulator

import (
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// faultWindow is a fault that occurs with a probability until a time.
type faultWindow struct {
	probability float64
	until       ident.MonotonicTime
}

// faultHits draws whether a fault occurs. It draws nothing outside of the window.
func (sim *Simulation) faultHits(f faultWindow) bool {
	return sim.now < f.until && sim.rng.Float64() < f.probability
}

// activeFaults has the faults that several parts of the simulation consult.
type activeFaults struct {
	delayedWrites      faultWindow // transactions get no reply, and are carried out 2 to 12 s later
	droppedReplies     faultWindow // transactions get no reply, and are carried out at once
	delayedHeartbeats  faultWindow // duplicates of heartbeats arrive up to two lease durations later
	heldHeartbeats     faultWindow // duplicates of heartbeats arrive when the next leader begins
	slowStore          faultWindow // messages to and from the store take up to half a second longer
	slowLinks          faultWindow // messages between nodes take up to half a second longer
	delayedCommands    faultWindow // commands to machines, and their replies, take seconds longer
	fastBoots          faultWindow // machines boot within two seconds
	slowBoots          faultWindow // machines take six times as long to boot
	failedBoots        faultWindow // machines never boot
	cancelAtCompletion faultWindow // users cancel jobs when their last task completes
	probeAfterAnswer   faultWindow // users query all nodes within milliseconds of an answer
	heldDeliveries     []func()
	awaitingNextLeader bool // heldDeliveries are delivered when the next leader begins

	// eventCounts counts what took place.
	eventCounts map[eventName]int
}

// blockOutbound keeps messages of a machine from all nodes, while theirs reach it.
func (sim *Simulation) blockOutbound(w *worker, d time.Duration) {
	sim.logf("%s cannot send for %v", w.id, d)
	sim.outboundBlockedUntil[string(w.id)] = sim.now.Add(d)
}

// extraLatency draws the latency that faults add to a message.
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

// interceptTransaction carries a transaction out without a reply, at once or late, during such faults. It returns false if
// none applies.
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
