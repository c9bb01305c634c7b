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

// refusePending answers those who wait for a state service that doesn't answer:
// they are not kept waiting for it.
func (l *lead) refusePending() {
	for _, id := range slices.Sorted(maps.Keys(l.pending)) {
		reply := l.pending[id]
		delete(l.pending, id)
		l.c.Refused++
		reply(unavailable("state service unavailable"))
	}
}

// wait makes a reply that is refused when the state service doesn't answer in
// time; the returned function answers unless that has happened.
func (l *lead) wait(reply func(Reply)) func(Reply) {
	l.lastReq++
	id := l.lastReq
	l.pending[id] = reply
	l.c.env.After(commitTime, func() {
		if l.pending[id] != nil {
			delete(l.pending, id)
			l.c.Refused++
			reply(unavailable("state service is slow"))
		}
	})
	return func(r Reply) {
		if l.pending[id] != nil {
			delete(l.pending, id)
			reply(r)
		}
	}
}

// submit takes a job in.
func (l *lead) submit(s *api.Spec, reply func(Reply)) {
	known := func(v api.JobView) { reply(ack(v)) }
	if j := l.jobs.Jobs[s.ID]; j != nil {
		l.told(j, reply, ack)
		return
	}
	if e, ok := l.jobs.LookupArchived(s.ID); ok {
		known(e.View(s.ID))
		return
	}
	if why := l.refusal(s); why != "" {
		// Unless it was accepted, by other rules, and is over.
		l.ended(s.ID, reply, known, func() { reply(problem(http.StatusUnprocessableEntity, why)) })
		return
	}
	// A gang, or a header that the first format has no room for, waits for the level.
	size, most := l.jobs.HeaderSize(s)
	if size > most {
		why := fmt.Sprintf("the description takes %d bytes, and %d can be kept", size, most)
		l.ended(s.ID, reply, known, func() { reply(problem(http.StatusUnprocessableEntity, why)) })
		return
	}
	if l.level < ident.FormatPacked && (s.Shape == api.Gang || size > jobs.HeaderSpecBytes) {
		l.c.Refused++
		reply(unavailable("some nodes still run an earlier version"))
		return
	}
	if l.commits.StoreUnavailable() || l.commits.Backlog() > maxBacklog {
		l.c.Refused++
		reply(unavailable("state service unavailable"))
		return
	}
	reply = l.wait(reply)
	var j *jobs.Job
	j = l.jobs.Add(s, func() {
		l.fleet.RecordArrival(s, l.c.env.Now())
		if j.Phase != jobs.Open {
			// Its user cancelled it meanwhile.
			l.told(j, reply, ack)
			return
		}
		reply(l.fresh(answer(http.StatusCreated, api.JobStatus{ID: s.ID, Status: "queued"})))
	}, func() {
		l.ended(s.ID, reply, known, func() { reply(unavailable("try again")) })
	})
}

// refusal says why a job can never run.
func (l *lead) refusal(s *api.Spec) string {
	if why := l.teams.RejectReason(s); why != "" {
		return why
	}
	for i := range l.models {
		k := &l.models[i]
		if !workers.AllowsModel(s, k.SKU) || !workers.FitsEmpty(k, s) {
			continue
		}
		for _, z := range k.Zones {
			if s.Zone == nil || *s.Zone == z {
				return ""
			}
		}
	}
	return "models: no machine type fits"
}

// ended looks for a job that went over in an earlier term.
func (l *lead) ended(id ident.JobID, reply func(Reply), found func(api.JobView), missing func()) {
	l.c.over(id, func(e jobs.ArchivedJob, ok bool, err error) {
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

// told answers with a job's view, once that is what every node would say.
func (l *lead) told(j *jobs.Job, reply func(Reply), as func(api.JobView) Reply) {
	say := func() {
		r := as(j.View())
		if j.DurablePhase == jobs.Open {
			r = l.fresh(r)
		}
		reply(r)
	}
	if !j.ViewSettled() {
		reply = l.wait(reply)
	}
	j.WhenViewSettled(say)
}

// fresh bounds an answer from memory by the time for which leadership is sure: it is
// judged once more right before the answer goes out, as the process may stand still
// meanwhile.
func (l *lead) fresh(r Reply) Reply {
	if l.dead || !l.c.may(authority.ServeReads) {
		return unavailable("no leader at present")
	}
	return r.within(l.c.elect.LeaseExpiry())
}

// poll answers from memory.
func (l *lead) poll(id ident.JobID, reply func(Reply)) {
	if j := l.jobs.Jobs[id]; j != nil {
		l.told(j, reply, func(v api.JobView) Reply { return answer(http.StatusOK, v) })
		return
	}
	if e, ok := l.jobs.LookupArchived(id); ok {
		reply(answer(http.StatusOK, e.View(id)))
		return
	}
	if !l.c.reads.take(l.c.env.Now(), 1) {
		l.c.Refused++
		reply(unavailable("too many polls at present"))
		return
	}
	l.ended(id, reply, func(v api.JobView) { reply(answer(http.StatusOK, v)) },
		func() { reply(problem(http.StatusNotFound, "no such job")) })
}

// cancel ends a job. Its tasks are stopped at once; nobody has any use for them.
func (l *lead) cancel(id ident.JobID, reply func(Reply)) {
	if j := l.jobs.Jobs[id]; j != nil {
		if j.DurablePhase != jobs.Open {
			reply(ack(j.View()))
			return
		}
		reply = l.wait(reply)
		l.jobs.Cancel(j, func() { reply(ack(j.View())) })
		if j.Phase == jobs.Cancelled {
			l.stopAll(j)
		}
		return
	}
	say := func(v api.JobView) { reply(ack(v)) }
	if e, ok := l.jobs.LookupArchived(id); ok {
		say(e.View(id))
		return
	}
	l.ended(id, reply, say, func() { reply(problem(http.StatusNotFound, "no such job")) })
}
