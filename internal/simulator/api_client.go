package simulator

import (
	"fmt"
	"net/http"
	"time"

	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/transport"
)

// apiRequest is a request from a user or a worker to a node.
type apiRequest struct {
	from    string
	node    *node
	method  transport.Method
	job     string // "" if the route names no job
	body    []byte
	timeout time.Duration
}

const (
	// requestTimeout is how long users wait for the reply to a submission or a cancellation.
	requestTimeout = 5 * time.Second
	// queryTimeout is how long users wait for the reply to a status query.
	queryTimeout = 2 * time.Second
)

// request sends a request to a node and passes the reply to done, or nil if no reply arrives within the timeout.
func (sim *Simulation) request(r apiRequest, done func(*controller.Response)) {
	n := r.node
	if !n.alive {
		sim.schedule(time.Millisecond, func() { done(nil) })
		return
	}
	incarnation := n.incarnation
	if r.method == transport.SubmitJob && sim.mutates(DropZoneConstraint) {
		r.body = dropZoneConstraint(r.body)
	}
	handle := func(reply func(*controller.Response)) {
		n.whenResponsive(incarnation, func() { n.handleRequest(r, reply) })
	}
	call(sim, r.from, n.name, r.timeout, handle, func(a *controller.Response, ok bool) {
		if ok {
			sim.copyUserRequest(r)
		}
		done(a)
	})
}

// handleRequest passes a request to the controller of the node and sends its response to reply.
func (n *node) handleRequest(r apiRequest, reply func(*controller.Response)) {
	if cached := n.cachedReply(r); cached != nil {
		reply(cached)
		return
	}
	n.controller.HandleRequest(r.method, r.job, r.body, func(a controller.Response) {
		n.env.afterPause(func() {
			if !n.sim.mutates(IgnoreSendDeadlines) {
				a = a.IfValid(n.env.clock())
			}
			n.sim.cfg.Digest.answer(n.sim.now, n.name, r.from, r.method, r.job, a)
			n.cacheReply(r, a)
			if r.method == transport.WorkerHeartbeat {
				reply(n.sim.mutateHeartbeatReply(n, r.body, &a))
				return
			}
			reply(&a)
		})()
	})
}

// randomNode returns a random node. It prefers running nodes: it draws up to three times until it finds one.
func (sim *Simulation) randomNode() *node {
	for range 3 {
		if n := sim.nodes[sim.rng.IntN(len(sim.nodes))]; n.alive {
			return n
		}
	}
	return sim.nodes[0]
}

// submit submits a job to a random node and retries every second until the job is accepted or the time given by until has
// passed.
func (sim *Simulation) submit(j *userJob, until ident.MonotonicTime) {
	sim.submitTo(j, until, sim.randomNode())
}

// resubmitAt repeats the submission of a job at the given node once, without retries.
func (sim *Simulation) resubmitAt(j *userJob, n *node) { sim.submitTo(j, 0, n) }

// submitTo submits a job like submit, but sends the first attempt to the given node.
func (sim *Simulation) submitTo(j *userJob, until ident.MonotonicTime, n *node) {
	requestedAt := sim.now
	sim.request(apiRequest{usersParty, n, transport.SubmitJob, "", j.submission(), requestTimeout},
		func(r *controller.Response) {
			if r != nil && isAccepted(r) {
				if !j.accepted {
					j.accepted, j.acceptedAt = true, sim.now
					sim.poll(j)
					sim.probeAllNodes(j)
				}
				sim.checkStatusReply(j, r, requestedAt)
				if sim.rng.IntN(6) == 0 { // repeat the idempotent submission much later
					sim.schedule(time.Duration(sim.rng.IntN(60_000))*time.Millisecond, func() { sim.submit(j, 0) })
				}
				return
			}
			if r != nil && (r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity) {
				sim.reportViolation("%s: a valid submission was rejected with status %d: %s", j.spec.ID, r.Status, r.Body)
			}
			if sim.now < until {
				sim.schedule(time.Second, func() { sim.submit(j, until) })
			}
		})
}

// poll queries the status of a job periodically until the end of the run, and sometimes that of a job that does not exist.
func (sim *Simulation) poll(j *userJob) {
	quiescentFrom := ident.MonotonicTime(sim.cfg.ActiveDuration + faultDrainTime)
	if gap := sim.now.Sub(max(j.lastStatusReplyAt, quiescentFrom)); sim.now > quiescentFrom && gap > maxStatusGap {
		sim.reportViolation("forgotten: no status query for %s got status 200 for %v", j.spec.ID, gap)
	}
	if sim.mutates(StarvePolls) && sim.now > ident.MonotonicTime(sim.cfg.ActiveDuration) && j.spec.Tasks%2 == 0 {
		sim.schedule(5*time.Second, func() { sim.poll(j) })
		return
	}
	sim.queryStatus(j, sim.randomNode(), func() {
		sim.schedule(4*time.Second+time.Duration(sim.rng.IntN(1500))*time.Millisecond, func() { sim.poll(j) })
	})
	if sim.rng.IntN(20) == 0 {
		id := fmt.Sprintf("j-9%05d", sim.rng.IntN(1000))
		sim.request(apiRequest{usersParty, sim.randomNode(), transport.GetJob, id, nil, queryTimeout},
			func(r *controller.Response) {
				if r != nil && r.Status == http.StatusOK {
					sim.reportViolation("invented: the status query for %s, which was never submitted, got 200", id)
				}
			})
	}
}

// pollNode queries the status of a job at a node once.
func (sim *Simulation) pollNode(j *userJob, n *node) { sim.queryStatus(j, n, func() {}) }

// queryStatus queries the status of a job at a node, checks the reply if there is one, and then calls onDone.
func (sim *Simulation) queryStatus(j *userJob, n *node, onDone func()) {
	requestedAt := sim.now
	sim.request(apiRequest{usersParty, n, transport.GetJob, string(j.spec.ID), nil, queryTimeout}, func(r *controller.Response) {
		if r != nil {
			if r.Status == http.StatusNotFound {
				sim.reportViolation("forgotten: the status query for accepted job %s got 404", j.spec.ID)
			}
			if r.Status == http.StatusOK {
				j.lastStatusReplyAt = sim.now
				sim.checkStatusReply(j, r, requestedAt)
			}
		}
		onDone()
	})
}

// cancel cancels a job at a random node.
func (sim *Simulation) cancel(j *userJob) { sim.cancelAt(j, nil) }

// cancelAt cancels a job at a node, or at a random one if at is nil, and retries every second until it is confirmed.
func (sim *Simulation) cancelAt(j *userJob, at *node) {
	requestedAt := sim.now
	n := at
	if n == nil {
		n = sim.randomNode()
	}
	sim.request(apiRequest{usersParty, n, transport.CancelJob, string(j.spec.ID), nil, requestTimeout},
		func(r *controller.Response) {
			if r != nil && r.Status == http.StatusOK {
				sim.checkStatusReply(j, r, requestedAt)
				return
			}
			if r != nil && r.Status == http.StatusNotFound {
				sim.reportViolation("forgotten: the cancellation of accepted job %s got 404", j.spec.ID)
			}
			sim.schedule(time.Second, func() { sim.cancelAt(j, at) })
		})
}

// cancelWhenAccepted cancels a job as soon as it is accepted, at the given node, or at a random one if at is nil.
func (sim *Simulation) cancelWhenAccepted(j *userJob, at *node) {
	if j.cancelSentAt > 0 || isTerminal(j.lastStatus) {
		return
	}
	if !j.accepted { // a user only cancels a job whose submission was accepted
		sim.schedule(3*time.Millisecond, func() { sim.cancelWhenAccepted(j, at) })
		return
	}
	j.cancelSentAt = sim.now
	sim.cancelAt(j, at)
}

// probeAllNodes queries all nodes about a job several times within milliseconds and repeats its submission, to compare
// their replies. It does nothing outside the fault window probeAfterReply.
func (sim *Simulation) probeAllNodes(j *userJob) {
	if sim.now >= sim.probeAfterReply.until {
		return
	}
	for _, n := range sim.nodes {
		for i := range 3 {
			sim.schedule(time.Duration(1+i*7+sim.rng.IntN(5))*time.Millisecond, func() {
				sim.countEvent(nodesProbedEvent)
				if i == 1 {
					sim.resubmitAt(j, n)
				} else {
					sim.pollNode(j, n)
				}
			})
		}
	}
}
