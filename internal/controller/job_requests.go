package controller

import (
	"fmt"
	"maps"
	"net/http"
	"slices"

	"opaldale/internal/api"
	"opaldale/internal/authority"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// maxBacklog bounds the writes that may wait while submissions are accepted.
const maxBacklog = 400

// failPendingReplies answers those who wait for a state service that doesn't answer:
// they are not kept waiting for it.
func (l *leaderTerm) failPendingReplies() {
	for _, id := range slices.Sorted(maps.Keys(l.pendingReplies)) {
		reply := l.pendingReplies[id]
		delete(l.pendingReplies, id)
		l.controller.Refused++
		reply(unavailable("state service unavailable"))
	}
}

// withStoreTimeout makes a reply that is refused when the state service doesn't answer in
// time; the returned function answers unless that has happened.
func (l *leaderTerm) withStoreTimeout(reply func(Response)) func(Response) {
	l.lastReplyID++
	id := l.lastReplyID
	l.pendingReplies[id] = reply
	l.env.After(storeTimeout, func() {
		if l.pendingReplies[id] != nil {
			delete(l.pendingReplies, id)
			l.controller.Refused++
			reply(unavailable("state service is slow"))
		}
	})
	return func(r Response) {
		if l.pendingReplies[id] != nil {
			delete(l.pendingReplies, id)
			reply(r)
		}
	}
}

// submit takes a job in.
func (l *leaderTerm) submit(spec *api.Spec, reply func(Response)) {
	replyKnown := func(v api.JobView) { reply(ackResponse(v)) }
	if j := l.jobs.Jobs[spec.ID]; j != nil {
		l.replyWhenDurable(j, reply, ackResponse)
		return
	}
	if e, ok := l.jobs.LookupArchived(spec.ID); ok {
		replyKnown(e.View(spec.ID))
		return
	}
	if reason := l.rejectionReason(spec); reason != "" {
		// Unless it was accepted, by other rules, and is over.
		l.lookUpFinished(spec.ID, reply, replyKnown, func() { reply(errorResponse(http.StatusUnprocessableEntity, reason)) })
		return
	}
	// A gang, or a header that the first format has no room for, waits for the level.
	size, maxSize := l.jobs.HeaderSize(spec)
	if size > maxSize {
		reason := fmt.Sprintf("the description takes %d bytes, and %d can be kept", size, maxSize)
		l.lookUpFinished(spec.ID, reply, replyKnown, func() { reply(errorResponse(http.StatusUnprocessableEntity, reason)) })
		return
	}
	if l.formatLevel < ident.FormatPacked && (spec.Shape == api.Gang || size > jobs.HeaderSpecBytes) {
		l.controller.Refused++
		reply(unavailable("some nodes still run an earlier version"))
		return
	}
	if l.committer.StoreUnavailable() || l.committer.Backlog() > maxBacklog {
		l.controller.Refused++
		reply(unavailable("state service unavailable"))
		return
	}
	reply = l.withStoreTimeout(reply)
	var j *jobs.Job
	j = l.jobs.Add(spec, func() {
		l.fleet.RecordArrival(spec, l.env.Now())
		if j.Phase != jobs.Open {
			// Its user cancelled it meanwhile.
			l.replyWhenDurable(j, reply, ackResponse)
			return
		}
		reply(l.limitToLeaderLease(jsonResponse(http.StatusCreated, api.JobStatus{ID: spec.ID, Status: api.StatusQueued})))
	}, func() {
		l.lookUpFinished(spec.ID, reply, replyKnown, func() { reply(unavailable("try again")) })
	})
}

// rejectionReason says why a job can never run.
func (l *leaderTerm) rejectionReason(spec *api.Spec) string {
	if err := l.teams.Validate(spec); err != nil {
		return err.Error()
	}
	types := l.catalog.Types()
	for i := range types {
		machineType := &types[i]
		if !workers.AllowsModel(spec, machineType.SKU) || !workers.FitsEmpty(machineType, spec) {
			continue
		}
		for _, zone := range machineType.Zones {
			if spec.Zone == nil || *spec.Zone == zone {
				return ""
			}
		}
	}
	return "models: no machine type fits"
}

// lookUpFinished looks for a job that went over in an earlier term.
func (l *leaderTerm) lookUpFinished(id ident.JobID, reply func(Response), found func(api.JobView), missing func()) {
	l.controller.lookUpFinished(id, func(e jobs.ArchivedJob, ok bool, err error) {
		switch {
		case err != nil:
			reply(unavailable("state service unavailable"))
		case ok:
			l.jobs.RememberArchived(id, e)
			found(e.View(id))
		default:
			missing()
		}
	})
}

// replyWhenDurable answers with a job's view, once that is what every node would say.
func (l *leaderTerm) replyWhenDurable(j *jobs.Job, reply func(Response), render func(api.JobView) Response) {
	respond := func() {
		r := render(j.View())
		if j.DurablePhase == jobs.Open {
			r = l.limitToLeaderLease(r)
		}
		reply(r)
	}
	if !j.ViewSettled() {
		reply = l.withStoreTimeout(reply)
	}
	j.WhenViewSettled(respond)
}

// limitToLeaderLease bounds an answer from memory by the time for which leadership is sure: it is
// judged once more right before the answer goes out, as the process may stand still
// meanwhile.
func (l *leaderTerm) limitToLeaderLease(r Response) Response {
	if l.closed() || !l.controller.allows(authority.ServeReads) {
		return unavailable("no leader at present")
	}
	return r.limitValidity(l.controller.election.LeaseExpiry())
}

// getJob answers from memory.
func (l *leaderTerm) getJob(id ident.JobID, reply func(Response)) {
	if j := l.jobs.Jobs[id]; j != nil {
		l.replyWhenDurable(j, reply, func(v api.JobView) Response { return jsonResponse(http.StatusOK, v) })
		return
	}
	if e, ok := l.jobs.LookupArchived(id); ok {
		reply(jsonResponse(http.StatusOK, e.View(id)))
		return
	}
	if !l.controller.pollLimiter.allow(l.env.Now(), 1) {
		l.controller.Refused++
		reply(unavailable("too many polls at present"))
		return
	}
	l.lookUpFinished(id, reply, func(v api.JobView) { reply(jsonResponse(http.StatusOK, v)) },
		func() { reply(errorResponse(http.StatusNotFound, "no such job")) })
}

// cancel ends a job. Its tasks are stopped at once; nobody has any use for them.
func (l *leaderTerm) cancel(id ident.JobID, reply func(Response)) {
	if j := l.jobs.Jobs[id]; j != nil {
		if j.DurablePhase != jobs.Open {
			reply(ackResponse(j.View()))
			return
		}
		reply = l.withStoreTimeout(reply)
		l.jobs.Cancel(j, func() { reply(ackResponse(j.View())) })
		if j.Phase == jobs.Cancelled {
			l.stopJob(j)
		}
		return
	}
	replyAck := func(v api.JobView) { reply(ackResponse(v)) }
	if e, ok := l.jobs.LookupArchived(id); ok {
		replyAck(e.View(id))
		return
	}
	l.lookUpFinished(id, reply, replyAck, func() { reply(errorResponse(http.StatusNotFound, "no such job")) })
}
