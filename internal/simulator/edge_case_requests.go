package simulator

import (
	"encoding/json"
	"fmt"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/transport"
)

// sendEdgeCaseRequests has users send what is odd, but defined, until a time.
func (sim *Simulation) sendEdgeCaseRequests(until ident.MonotonicTime) {
	if sim.now > until {
		return
	}
	n := sim.randomNode()
	sim.lastJobNumber++
	s := api.Spec{ID: ident.JobID(fmt.Sprintf("j-8%05d", sim.lastJobNumber)), Class: "lane", Team: "red", Shape: api.Batch,
		Priority: api.Standard,
		Tasks:    1, VCPUs: 1, MemoryGB: 2, Image: "img-0", ImageGB: 1, RuntimeS: 5}
	send := func(body []byte, what string, ok func(status int) bool) {
		sim.countEvent(edgeCaseRequestEvent)
		sim.request(usersParty, n, transport.SubmitJob, "", body, 5*time.Second, func(r *controller.Response) {
			if r != nil && !ok(r.Status) {
				sim.reportViolation("%s got %d %s", what, r.Status, r.Body)
			}
		})
	}
	rejected := func(status int) bool { return status == 422 || status == 503 }
	switch sim.rng.IntN(5) {
	case 0:
		s.VCPUs = 9
		send(api.JSON(s), "a job that fits no machine", rejected)
	case 1:
		s.Team = "mauve"
		send(api.JSON(s), "a job of an unknown team", rejected)
	case 2:
		var m map[string]any
		if json.Unmarshal(api.JSON(s), &m) == nil {
			f := []string{"pieces", "vcpus", "shape", "bundle", "runtime_s", "one_zone"}[sim.rng.IntN(6)]
			delete(m, f)
			body, _ := json.Marshal(m)
			send(body, "a job without "+f, func(status int) bool { return status == 400 })
		}
	case 3:
		for _, id := range sim.jobOrder {
			if j := sim.jobs[id]; j.lastStatus == "done" && sim.rng.IntN(3) == 0 {
				sim.countEvent(doneJobCancelledEvent)
				sim.request(usersParty, n, transport.CancelJob, string(id), nil, 5*time.Second, func(r *controller.Response) {
					var v api.JobView
					if r != nil && r.Status != 503 && (r.Status != 200 || json.Unmarshal(r.Body, &v) != nil || v.Status != "done") {
						sim.reportViolation("cancelling %s, which is done, got %d %s", id, r.Status, r.Body)
					}
				})
				break
			}
		}
	case 4:
		for _, id := range sim.jobOrder {
			if j := sim.jobs[id]; j.accepted && sim.rng.IntN(3) == 0 {
				o := j.spec
				o.RuntimeS, o.Image = o.RuntimeS+1, "another"
				asked := sim.now
				sim.countEvent(submissionChangedEvent)
				sim.request(usersParty, n, transport.SubmitJob, "", api.JSON(o), 5*time.Second, func(r *controller.Response) {
					switch {
					case r == nil || r.Status == 503:
					case r.Status == 200 || r.Status == 201:
						sim.checkAnswer(j, r, asked)
					default:
						sim.reportViolation("forgotten: a submission of %s again got %d", id, r.Status)
					}
				})
				break
			}
		}
	}
	sim.schedule(time.Duration(100+sim.rng.IntN(400))*time.Millisecond, func() { sim.sendEdgeCaseRequests(until) })
}
