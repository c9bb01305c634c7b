package simulator

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// faultWindow is a time window in which a fault occurs with a given probability.
type faultWindow struct {
	probability float64
	until       ident.MonotonicTime
}

// faultOccurs reports at random whether a fault occurs. It uses the random generator only inside the window.
func (sim *Simulation) faultOccurs(f faultWindow) bool {
	return sim.now < f.until && sim.rng.Float64() < f.probability
}

// activeFaults holds the fault windows in effect and the counts of the events that took place.
type activeFaults struct {
	delayedWrites      faultWindow // transactions get no reply and are executed 2 to 12 s later
	droppedReplies     faultWindow // transactions get no reply but are executed at once
	delayedHeartbeats  faultWindow // duplicates of heartbeats arrive up to two lease durations later
	heldHeartbeats     faultWindow // duplicates of heartbeats arrive when the next leader is elected
	slowStore          faultWindow // messages to and from the store take up to half a second longer
	slowTransactions   faultWindow // transactions are executed at once and get their reply more than a second later
	slowLinks          faultWindow // messages between nodes take up to half a second longer
	delayedCommands    faultWindow // commands to workers and their replies take seconds longer
	fastBoots          faultWindow // machines boot within two seconds
	slowBoots          faultWindow // machines take six times as long to boot
	failedBoots        faultWindow // machines never boot
	cancelAtCompletion faultWindow // users cancel jobs right after the last task completes
	probeAfterReply    faultWindow // users query all nodes within milliseconds of a reply
	// callDelay, if set, returns how much later than normal a command call reaches a worker.
	callDelay          func(w *worker, request api.CommandRequest) time.Duration
	heldDeliveries     []func() // delivers the duplicates of heldHeartbeats
	awaitingNextLeader bool     // the delivery of heldDeliveries at the next term is set up

	// eventCounts counts the events that took place, by kind.
	eventCounts map[eventName]int
}

// blockOutbound drops all messages from a machine to the nodes for d; messages to the machine still arrive.
func (sim *Simulation) blockOutbound(w *worker, d time.Duration) {
	sim.logf("%s cannot send to nodes for %v", w.id, d)
	sim.outboundBlockedUntil[string(w.id)] = sim.now.Add(d)
}

// extraLatency returns the random latency that active faults add to a message.
func (sim *Simulation) extraLatency(from, to string) time.Duration {
	switch {
	case isNode(from) && isNode(to) && sim.faultOccurs(sim.slowLinks):
		sim.countEvent(linkSlowEvent)
		return time.Duration(100+sim.rng.IntN(400)) * time.Millisecond
	case (from == storeParty || to == storeParty) && sim.faultOccurs(sim.slowStore):
		sim.countEvent(storeSlowEvent)
		return time.Duration(50+sim.rng.IntN(450)) * time.Millisecond
	}
	return 0
}

// delayCommand calls proceed, which delivers a command or its reply, after the delay that an active fault adds.
func (sim *Simulation) delayCommand(proceed func()) {
	if !sim.faultOccurs(sim.delayedCommands) {
		proceed()
		return
	}
	sim.countEvent(commandDelayedEvent)
	sim.schedule(time.Duration(500+sim.rng.IntN(5500))*time.Millisecond, proceed)
}

// delayCall calls deliver, which delivers a command call to a worker, after the delay that the scenario has set for the call.
func (sim *Simulation) delayCall(w *worker, request api.CommandRequest, deliver func()) {
	if sim.callDelay == nil {
		deliver()
		return
	}
	sim.schedule(sim.callDelay(w, request), deliver)
}

// slowTransactionDelay is how late the reply to a transaction is during slowTransactions. It is longer than a follower waits
// for the leader's answer to a status query, and shorter than a leader waits for the store.
const slowTransactionDelay = 1200 * time.Millisecond

// delayTransactionReply passes the response of an executed transaction to reply, after the delay that an active fault adds.
func (sim *Simulation) delayTransactionReply(response kvstore.Response, reply func(kvstore.Response)) {
	if !sim.faultOccurs(sim.slowTransactions) {
		reply(response)
		return
	}
	sim.countEvent(transactionSlowEvent)
	sim.schedule(slowTransactionDelay, func() { reply(response) })
}

// interceptTransaction executes a transaction without a reply, either at once or late, if such a fault occurs. It returns
// false if none does.
func (s *store) interceptTransaction(r kvstore.Request) bool {
	sim := s.sim
	switch {
	case sim.faultOccurs(sim.droppedReplies):
		sim.countEvent(replyDroppedEvent)
		s.transact(r)
		return true
	case sim.faultOccurs(sim.delayedWrites):
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
