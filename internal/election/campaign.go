package election

import (
	"log/slog"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// candidacy is the state of one attempt to become leader.
type candidacy struct {
	// staleRevision is the revision of the leader key when it was found to be free, 0 if it did not
	// exist.
	staleRevision ident.Revision
	// startedAt precedes the grant of the lease, and therefore the start of its TTL.
	startedAt ident.MonotonicTime
	// pending is the number of responses still awaited.
	pending int

	leaseID      uint64
	lastTerm     ident.Term
	level        ident.FormatLevel
	termRevision ident.Revision // of the term key, 0 if it does not exist
}

// awaitedResponses is the number of responses that a candidacy needs: the lease and the last term.
const awaitedResponses = 2

// campaign tries to become leader, unless the node abstains or lets another node claim first.
// staleRevision is the revision of a leader key that may be overwritten, 0 if the key does not exist.
//
// A lease granted to a candidacy that fails before its claim is left to expire.
func (e *Elector) campaign(staleRevision ident.Revision) {
	if e.port.Now() < e.abstainUntil {
		e.retryLater(abstaining)
		return
	}
	if e.deferToOthers() {
		return
	}
	e.setState(RequestingLease, leaderKeyFree)
	c := &candidacy{staleRevision: staleRevision, startedAt: e.port.Now(), pending: awaitedResponses}
	e.requestLease(c)
	e.readTerm(c)
}

func (e *Elector) requestLease(c *candidacy) {
	request := kvstore.Request{Op: kvstore.GrantLease, TTL: e.leaseTTL, Timeout: callTimeout}
	e.callStore(request, func(response kvstore.Response) {
		if response.Outcome != kvstore.OK {
			e.retryLater(leaseNotGranted)
			return
		}
		c.leaseID = response.LeaseID
		e.claimWhenReady(c)
	})
}

func (e *Elector) readTerm(c *candidacy) {
	request := kvstore.Request{Op: kvstore.Get, Key: TermKey, Timeout: callTimeout}
	e.callStore(request, func(response kvstore.Response) {
		if !c.setTerm(response) {
			e.retryLater(termNotRead)
			return
		}
		e.claimWhenReady(c)
	})
}

// setTerm sets the last term from a read of the term key, and reports whether it is known.
func (c *candidacy) setTerm(response kvstore.Response) bool {
	switch response.Outcome {
	case kvstore.OK:
		var err error
		if c.lastTerm, c.level, err = DecodeTerm(response.Value); err != nil {
			slog.Error("cannot decode term key", "err", err)
			return false
		}
		c.termRevision = response.Revision
		return true
	case kvstore.NotFound:
		return true
	}
	return false
}

// claimWhenReady counts one response, and claims the leader key after the last one.
func (e *Elector) claimWhenReady(c *candidacy) {
	c.pending--
	if c.pending == 0 {
		e.claim(c)
	}
}

// claim writes the leader key and the next term in one transaction.
func (e *Elector) claim(c *candidacy) {
	e.setState(Claiming, candidacyReady)
	term := c.lastTerm + 1
	record := leaderRecord{Node: e.self, Term: term, Nonce: e.nonce}
	request := kvstore.Request{
		Op: kvstore.Txn,
		Compares: []kvstore.Compare{
			{Key: LeaderKey, Revision: c.staleRevision},
			{Key: TermKey, Revision: c.termRevision},
		},
		Mutations: []kvstore.Mutation{
			{Put: LeaderKey, Value: mustMarshal(record), LeaseID: c.leaseID},
			{Put: TermKey, Value: EncodeTerm(term, c.level)},
		},
		Timeout: callTimeout,
	}
	e.callStore(request, func(response kvstore.Response) {
		if response.Outcome != kvstore.OK {
			e.claimFailed(c, response.Outcome)
			return
		}
		e.startLeading(c, term, response.StoreRevision)
	})
}

// claimFailed abandons a candidacy. If the claim was applied and only its response was lost, the next
// check finds this node's own record, and the node campaigns for a later term.
func (e *Elector) claimFailed(c *candidacy, outcome kvstore.Outcome) {
	if outcome == kvstore.Conflict {
		e.revokeLease(c.leaseID)
	}
	e.retryLater(transitionReason("claim: " + outcome.String()))
}

// startLeading begins a term. revision is that of the leader key which the claim has written.
func (e *Elector) startLeading(c *candidacy, term ident.Term, revision ident.Revision) {
	e.setState(Leading, claimSucceeded)
	e.term = term
	e.leaseID = c.leaseID
	e.leaderKey = kvstore.Compare{Key: LeaderKey, Revision: revision}
	e.preferred = successorPreference{}
	e.campaignDelayed = false
	e.knownLeader = knownLeader{}
	e.unansweredSince = ident.Never
	e.extendValidity(c.startedAt)
	slog.Info("elected leader", "term", uint64(term), "format_level", uint8(c.level))
	e.scheduleRenewal()
	e.callbacks.OnStartedLeading(term, c.level, e.leaderKey)
}
