package election

import (
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// renewalsPerTTL is the number of renewals sent within the TTL of a lease.
const renewalsPerTTL = 4

// extendValidity records that the lease was granted or renewed in response to a request sent at sentAt. The
// store starts the TTL when it applies the request. This node starts it at sentAt and subtracts the
// maximum clock drift, so that validUntil is never later than the expiry of the lease.
func (e *Elector) extendValidity(sentAt ident.MonotonicTime) {
	e.validUntil = max(e.validUntil, sentAt.Add(ident.LeastElapsed(e.leaseTTL)))
}

func (e *Elector) scheduleRenewal() {
	e.afterInState(e.leaseTTL/renewalsPerTTL, func() {
		e.renew()
		e.scheduleRenewal()
	})
}

// renew renews the lease. If renewals have had no response for half of the TTL, it first reads the leader
// key and renews only after a response. Otherwise, if requests were applied but their responses were lost,
// renewals would keep the lease alive while this node has to treat it as expired: the cluster would have
// no acting leader, and no other node could be elected.
func (e *Elector) renew() {
	if e.unansweredSince != ident.Never && e.port.Now().Sub(e.unansweredSince) >= e.leaseTTL/2 {
		e.confirmLeadership()
		return
	}
	e.sendRenewal()
}

func (e *Elector) sendRenewal() {
	sentAt := e.port.Now()
	e.unansweredSince = min(e.unansweredSince, sentAt)
	request := kvstore.Request{Op: kvstore.RenewLease, LeaseID: e.leaseID, Timeout: e.leaseTTL}
	e.callStore(request, func(response kvstore.Response) {
		if response.Outcome != kvstore.NoResponse {
			e.unansweredSince = ident.Never
		}
		switch response.Outcome {
		case kvstore.OK:
			e.extendValidity(sentAt)
		case kvstore.NotFound:
			e.stepDown(LeaseLost)
		}
	})
}

// confirmLeadership reads the leader key. It renews the lease if this node still holds the key, and steps
// down otherwise.
func (e *Elector) confirmLeadership() {
	request := kvstore.Request{Op: kvstore.Get, Key: LeaderKey, Timeout: callTimeout}
	e.callStore(request, func(response kvstore.Response) {
		switch response.Outcome {
		case kvstore.OK:
			if response.Revision != e.leaderKey.Revision {
				e.stepDown(LeaderKeyLost)
				return
			}
			e.sendRenewal()
		case kvstore.NotFound:
			e.stepDown(LeaderKeyLost)
		case kvstore.NoResponse:
		default:
			e.unansweredSince = ident.Never
		}
	})
}

// revokeLease revokes a lease. It ignores the response: if the request is lost, the lease expires.
func (e *Elector) revokeLease(leaseID uint64) {
	request := kvstore.Request{Op: kvstore.RevokeLease, LeaseID: leaseID, Timeout: callTimeout}
	e.port.Store(request, func(kvstore.Response) {})
}
