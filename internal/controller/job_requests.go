package controller

// This file serves submissions, polls and cancellations of jobs on the leader.

import (
	"errors"
	"fmt"
	"net/http"

	"opaldale/internal/api"
	"opaldale/internal/authority"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/placement"
	"opaldale/internal/workers"
)

const (
	// maxBacklog is the number of pending writes above which submissions are refused.
	maxBacklog = 400
	// maxJobsMemoryShare is the share of a node's memory that accepted jobs may take.
	maxJobsMemoryShare = 0.25
	bytesPerMB         = 1 << 20
)

// submit accepts a job. The request is idempotent: the response for a job that exists is its current status.
func (l *leaderTerm) submit(spec *api.Spec, reply func(Response)) {
	if j := l.jobs.Jobs[spec.ID]; j != nil {
		l.replyWhenDurable(j, reply, ackResponse)
		return
	}
	if job, ok := l.jobs.LookupArchived(spec.ID); ok {
		reply(ackResponse(job.View(spec.ID)))
		return
	}
	if err := l.validate(spec); err != nil {
		// The job may have been accepted under earlier settings, and archived since.
		l.replyArchived(spec.ID, reply, ackResponse, errorResponse(http.StatusUnprocessableEntity, err.Error()))
		return
	}
	if l.formatLevel < ident.FormatPacked && l.needsPackedFormat(spec) {
		l.controller.refuse(reply, earlierVersionRuns)
		return
	}
	if !l.hasMemoryFor(spec) {
		l.controller.refuse(reply, tooMuchWork)
		return
	}
	if l.committer.StoreUnavailable() || l.committer.Backlog() > maxBacklog {
		l.controller.refuse(reply, storeUnavailable)
		return
	}
	l.addJob(spec, l.replies.withTimeout(reply))
}

// hasMemoryFor reports whether the node's memory leaves room for a new job. Each controller may have to hold all accepted jobs.
func (l *leaderTerm) hasMemoryFor(spec *api.Spec) bool {
	limit := maxJobsMemoryShare * l.controller.settings.Cluster.Resources.MemoryMB * bytesPerMB
	return limit == 0 || float64(l.jobs.MemoryBytes()+jobs.NewJobBytes(spec)) <= limit
}

// addJob creates a job, and acknowledges it once its record is durable.
func (l *leaderTerm) addJob(spec *api.Spec, reply func(Response)) {
	var j *jobs.Job
	onDurable := func() {
		l.fleet.RecordArrival(spec, l.env.Now())
		l.replyWhenDurable(j, reply, createdResponse)
	}
	onConflict := func() { l.replyArchived(spec.ID, reply, ackResponse, unavailable(tryAgain)) }
	j = l.jobs.Add(spec, onDurable, onConflict)
}

// validate returns an error if a job can never run or can't be stored.
func (l *leaderTerm) validate(spec *api.Spec) error {
	if err := l.teams.Validate(spec); err != nil {
		return err
	}
	zones := l.zonesFor(spec)
	if len(zones) == 0 {
		return errNoMachineTypeFits
	}
	if !placement.ZonesSuffice(spec, len(zones)) {
		return errTooFewZones
	}
	if size, maxSize := l.jobs.HeaderSize(spec); size > maxSize {
		return fmt.Errorf("the description takes %d bytes, and %d can be kept", size, maxSize)
	}
	return nil
}

// errNoMachineTypeFits is returned for a job whose tasks fit none of the machine types that the job allows.
var errNoMachineTypeFits = errors.New("models: no machine type fits")

// errTooFewZones is returned for a gang whose tasks can never all run at once, because it may not have more than half of them in
// a zone and may use one zone only.
var errTooFewZones = errors.New("apart: the gang needs two zones and may use only one")

// zonesFor returns the zones that a job may use in which a task of it fits an empty machine of a type that the job allows.
func (l *leaderTerm) zonesFor(spec *api.Spec) map[string]bool {
	zones := map[string]bool{}
	types := l.catalog.Types()
	for i := range types {
		machineType := &types[i]
		if !workers.AllowsModel(spec, machineType.SKU) || !workers.FitsEmpty(machineType, spec) {
			continue
		}
		for _, zone := range machineType.Zones {
			if spec.Zone == nil || *spec.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return zones
}

// needsPackedFormat reports whether a job can be stored only in the packed format.
func (l *leaderTerm) needsPackedFormat(spec *api.Spec) bool {
	size, _ := l.jobs.HeaderSize(spec)
	return spec.Shape == api.Gang || size > jobs.HeaderSpecBytes
}

// replyArchived answers with the view of a job from the archive in the store, or with missing if the job is not there.
func (l *leaderTerm) replyArchived(id ident.JobID, reply func(Response), render func(api.JobView) Response, missing Response) {
	l.controller.lookUpArchived(id, func(job jobs.ArchivedJob, found bool, err error) {
		switch {
		case err != nil:
			reply(unavailable(storeUnavailable))
		case found:
			l.jobs.RememberArchived(id, job)
			reply(render(job.View(id)))
		default:
			reply(missing)
		}
	})
}

// replyWhenDurable answers with a job's view once the view is durable, so that no later leader contradicts the response.
func (l *leaderTerm) replyWhenDurable(j *jobs.Job, reply func(Response), render func(api.JobView) Response) {
	if !j.ViewSettled() {
		reply = l.replies.withTimeout(reply)
	}
	j.WhenViewSettled(func(view api.JobView) {
		r := render(view)
		if j.DurablePhase == jobs.Open {
			r = l.limitToLeaderLease(r)
		}
		reply(r)
	})
}

// limitToLeaderLease limits the validity of a response from memory to the leader's lease. The server checks the validity
// immediately before it sends the response, since the process may pause in between.
func (l *leaderTerm) limitToLeaderLease(r Response) Response {
	if l.closed() || !l.controller.allows(authority.ServeReads) {
		return unavailable(noLeader)
	}
	return r.limitValidity(l.controller.election.LeaseExpiry())
}

// getJob answers a poll from memory, or from the archive if the job is not in memory.
func (l *leaderTerm) getJob(id ident.JobID, reply func(Response)) {
	if j := l.jobs.Jobs[id]; j != nil {
		l.replyWhenDurable(j, reply, func(view api.JobView) Response {
			view.WaitsFor = l.planner.WaitReason(j)
			return viewResponse(view)
		})
		return
	}
	if job, ok := l.jobs.LookupArchived(id); ok {
		reply(viewResponse(job.View(id)))
		return
	}
	if !l.controller.pollLimiter.allow(l.env.Now(), archiveReads) {
		l.controller.refuse(reply, tooManyPolls)
		return
	}
	l.replyArchived(id, reply, viewResponse, noSuchJob())
}

// cancel cancels a job. It stops the tasks before the cancellation is durable, since the user no longer needs them.
func (l *leaderTerm) cancel(id ident.JobID, reply func(Response)) {
	if j := l.jobs.Jobs[id]; j != nil {
		l.cancelLive(j, reply)
		return
	}
	if job, ok := l.jobs.LookupArchived(id); ok {
		reply(ackResponse(job.View(id)))
		return
	}
	l.replyArchived(id, reply, ackResponse, noSuchJob())
}

func (l *leaderTerm) cancelLive(j *jobs.Job, reply func(Response)) {
	if j.DurablePhase != jobs.Open {
		l.replyWhenDurable(j, reply, ackResponse)
		return
	}
	reply = l.replies.withTimeout(reply)
	l.jobs.Cancel(j, func() { l.replyWhenDurable(j, reply, ackResponse) })
	if j.Phase == jobs.Cancelled {
		l.workers.StopAllocated(j, 0)
	}
}
