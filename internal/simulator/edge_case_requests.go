package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/decode"
	"opaldale/internal/ident"
	"opaldale/internal/transport"
)

// requiredFields lists fields that a well-formed submission must have.
var requiredFields = []string{"pieces", "vcpus", "shape", "bundle", "runtime_s", "one_zone"}

// sendEdgeCaseRequests sends random requests with defined error or idempotency behavior until the given time.
func (sim *Simulation) sendEdgeCaseRequests(until ident.MonotonicTime) {
	if sim.now > until {
		return
	}
	n := sim.randomNode()
	sim.lastJobNumber++
	s := api.Spec{
		ID:       ident.JobID(fmt.Sprintf("j-8%05d", sim.lastJobNumber)),
		Class:    jobClass,
		Team:     "red",
		Shape:    api.Batch,
		Priority: api.Standard,
		Tasks:    1,
		VCPUs:    1,
		MemoryGB: 2,
		Image:    "img-0",
		ImageGB:  1,
		RuntimeS: 5,
	}
	switch sim.rng.IntN(6) {
	case 0:
		if odd(uint64(sim.lastJobNumber)) {
			s.Shape, s.Tasks, s.Spread, s.OneZone = api.Gang, 4, true, true
			sim.sendInvalidJob(n, api.JSON(s), "a gang that no zones allow", isRejected)
			break
		}
		s.VCPUs = 9
		sim.sendInvalidJob(n, api.JSON(s), "a job that fits no machine", isRejected)
	case 1:
		s.Team = "mauve"
		sim.sendInvalidJob(n, api.JSON(s), "a job of an unknown team", isRejected)
	case 2:
		sim.sendWithoutField(n, s)
	case 3:
		sim.cancelDoneJob(n)
	case 4:
		sim.resubmitChanged(n)
	case 5:
		s.Shape, s.Tasks, s.Spread, s.OneZone = api.Gang, 2+sim.rng.IntN(6), true, true
		sim.sendInvalidJob(n, api.JSON(s), "a gang that no zones allow", isRejected)
	}
	sim.schedule(time.Duration(100+sim.rng.IntN(400))*time.Millisecond, func() { sim.sendEdgeCaseRequests(until) })
}

// isRejected reports whether an HTTP status is a valid reply to a well-formed job that cannot be accepted.
func isRejected(status int) bool {
	return status == http.StatusUnprocessableEntity || status == http.StatusServiceUnavailable
}

// sendInvalidJob submits a body and reports a violation if the reply has an unexpected status.
func (sim *Simulation) sendInvalidJob(n *node, body []byte, description string, expected func(status int) bool) {
	sim.countEvent(edgeCaseRequestEvent)
	sim.request(apiRequest{usersParty, n, transport.SubmitJob, "", body, requestTimeout}, func(r *controller.Response) {
		if r != nil && !expected(r.Status) {
			sim.reportViolation("%s got unexpected status %d: %s", description, r.Status, r.Body)
		}
	})
}

// sendWithoutField submits a job that lacks a random required field, which must get status 400.
func (sim *Simulation) sendWithoutField(n *node, s api.Spec) {
	var m map[string]any
	if decode.JSON(api.JSON(s), &m) != nil {
		return
	}
	field := requiredFields[sim.rng.IntN(len(requiredFields))]
	delete(m, field)
	body, _ := json.Marshal(m)
	sim.sendInvalidJob(n, body, "a job without "+field, func(status int) bool { return status == http.StatusBadRequest })
}

// cancelDoneJob cancels a random job that is done. The reply must still call the job done.
func (sim *Simulation) cancelDoneJob(n *node) {
	for _, id := range sim.jobOrder {
		if j := sim.jobs[id]; j.lastStatus != api.StatusDone || sim.rng.IntN(3) > 0 {
			continue
		}
		sim.countEvent(doneJobCancelledEvent)
		sim.request(apiRequest{usersParty, n, transport.CancelJob, string(id), nil, requestTimeout},
			func(r *controller.Response) {
				if r == nil || r.Status == http.StatusServiceUnavailable {
					return
				}
				var v api.JobView
				if r.Status != http.StatusOK || decode.JSON(r.Body, &v) != nil || v.Status != api.StatusDone {
					sim.reportViolation("the cancellation of %s, which is done, got status %d: %s", id, r.Status, r.Body)
				}
			})
		return
	}
}

// resubmitChanged repeats the submission of a random job with a changed body. The reply must be the job as accepted before.
func (sim *Simulation) resubmitChanged(n *node) {
	for _, id := range sim.jobOrder {
		j := sim.jobs[id]
		if !j.accepted || sim.rng.IntN(3) > 0 {
			continue
		}
		changed := j.spec
		changed.RuntimeS, changed.Image = changed.RuntimeS+1, "another"
		requestedAt := sim.now
		sim.countEvent(submissionChangedEvent)
		sim.request(apiRequest{usersParty, n, transport.SubmitJob, "", api.JSON(changed), requestTimeout},
			func(r *controller.Response) {
				switch {
				case r == nil || r.Status == http.StatusServiceUnavailable:
				case isAccepted(r):
					sim.checkStatusReply(j, r, requestedAt)
				default:
					sim.reportViolation("forgotten: a repeated submission of %s got status %d", id, r.Status)
				}
			})
		return
	}
}

// isAccepted reports whether a reply means that a submission was accepted.
func isAccepted(r *controller.Response) bool {
	return r.Status == http.StatusOK || r.Status == http.StatusCreated
}
