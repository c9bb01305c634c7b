package election

import (
	"log/slog"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// candidacy is the state of one attempt to become leader.
type candidacy struct {
	// staleRevision is the revision of the leader key that the claim overwrites, 0 if the key did not
	// exist when the candidacy began.
	staleRevision ident.Revision
	// startedAt is when the lease was requested. The TTL of the lease starts at that time or later.
	startedAt ident.MonotonicTime
	// pending is the number of responses that have not arrived yet.
	pending int

	leaseID      uint64
	lastTerm     ident.Term
	level        ident.FormatLevel
	termRevision ident.Revision // of the term key, 0 if it does not exist
}

// awaitedResponses is the number of store responses that a claim requires: the granted lease and the last
// term.
const awaitedResponses = 2

// campaign tries to become leader, unless the node abstains or must let another node claim first.
// staleRevision is the revision of a leader key that may be overwritten, 0 if the key does not exist.
//
// If a candidacy fails before its claim, its lease is not revoked and expires after its TTL.
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

// setTerm sets the last term from the response to a read of the term key. It returns false if the read
// failed or the value cannot be decoded.
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

// claimWhenReady counts one successful response, and claims the leader key once all have arrived.
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

// claimFailed ends a candidacy and schedules another read of the leader key. If the claim was applied but
// its response was lost, that read returns this node's own record, and the node campaigns for a later
// term.
func (e *Elector) claimFailed(c *candidacy, outcome kvstore.Outcome) {
	if outcome == kvstore.Conflict {
		e.revokeLease(c.leaseID)
	}
	e.retryLater(transitionReason("claim: " + outcome.String()))
}

// startLeading begins a term. revision is the revision of the leader key after the claim.
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
