package simulator

import (
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
)

const (
	// copiedRequestShare is the share of the answered requests of which a copy arrives, with Config.CopiedRequests.
	copiedRequestShare = 0.2
	// maxRequestCopyDelay is the latest time at which a copy of a request arrives.
	maxRequestCopyDelay = time.Minute
)

// copyRequest calls deliver, which delivers a copy of a request that was carried out, up to maxRequestCopyDelay later, if such a
// fault occurs.
func (sim *Simulation) copyRequest(event eventName, deliver func()) {
	if !sim.cfg.CopiedRequests || sim.now > ident.MonotonicTime(sim.cfg.ActiveDuration) ||
		sim.callCopier.rng.Float64() >= copiedRequestShare {
		return
	}
	delay := time.Duration(sim.callCopier.rng.Float64() * float64(maxRequestCopyDelay))
	sim.schedule(delay, func() {
		sim.countEvent(event)
		deliver()
	})
}

// copyStoreRequest delivers copies of a request to the store that was carried out and that may change something. The answers
// are lost.
func (sim *Simulation) copyStoreRequest(from string, r kvstore.Request, response kvstore.Response) {
	if response.Outcome != kvstore.OK {
		return
	}
	var event eventName
	switch r.Op {
	case kvstore.Txn:
		event = transactionCopiedEvent
	case kvstore.GrantLease, kvstore.RenewLease, kvstore.RevokeLease:
		event = leaseRequestCopiedEvent
	default:
		return
	}
	sim.copyRequest(event, func() { sim.store.serve(from, r, func(kvstore.Response) {}) })
}

// copyCloudRequest delivers copies of an answered request to provision or to terminate machines. The answers are lost.
func (sim *Simulation) copyCloudRequest(r cloud.Request) {
	if r.Op == cloud.Provision || r.Op == cloud.Terminate {
		sim.copyRequest(cloudRequestCopiedEvent, func() { sim.cloud.serve(r, func(cloud.Response) {}) })
	}
}

// copyFrame delivers copies of a frame to the process that has received it.
func (sim *Simulation) copyFrame(from string, to *node, frame *transport.Frame) {
	incarnation := to.incarnation
	sim.copyRequest(frameCopiedEvent, func() {
		to.whenResponsive(incarnation, func() { to.controller.HandleFrame(ident.NodeID(from), frame) })
	})
}

// copyUserRequest delivers copies of a user's answered request to the same node. The answers are lost.
func (sim *Simulation) copyUserRequest(r apiRequest) {
	if r.from == usersParty {
		copied := r
		copied.from = duplicatesParty
		sim.copyRequest(userRequestCopiedEvent, func() { sim.request(copied, func(*controller.Response) {}) })
	}
}
