package simulator

import (
	"fmt"
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/transport"
)

// apiRequest is a request of a user or a worker to a node.
type apiRequest struct {
	from    string
	node    *node
	method  transport.Method
	job     string // "" for requests that are not about a job
	body    []byte
	timeout time.Duration
}

const (
	// requestTimeout is how long users wait for the reply to a submission or a cancellation, and queryTimeout for that to
	// a query.
	requestTimeout = 5 * time.Second
	queryTimeout   = 2 * time.Second
)

// request sends a request to a node and passes the reply to done, nil if there is none in time.
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
	call(sim, r.from, n.name, r.timeout, handle, func(a *controller.Response, _ bool) { done(a) })
}

// handleRequest has the node's process handle a request.
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

// randomNode draws a node, up to three times if it does not accept connections.
func (sim *Simulation) randomNode() *node {
	for range 3 {
		if n := sim.nodes[sim.rng.IntN(len(sim.nodes))]; n.alive {
			return n
		}
	}
	return sim.nodes[0]
}

// submit submits a job at any node, again and again until it is accepted or the time is over.
func (sim *Simulation) submit(j *userJob, until ident.MonotonicTime) {
	sim.submitTo(j, until, sim.randomNode())
}

// resubmitAt repeats the submission of a job at a node, once.
func (sim *Simulation) resubmitAt(j *userJob, n *node) { sim.submitTo(j, 0, n) }

// submitTo is submit with the first attempt at a node.
func (sim *Simulation) submitTo(j *userJob, until ident.MonotonicTime, n *node) {
	asked := sim.now
	sim.request(apiRequest{usersParty, n, transport.SubmitJob, "", api.JSON(j.spec), requestTimeout},
		func(r *controller.Response) {
			if r != nil && isAccepted(r) {
				if !j.accepted {
					j.accepted, j.acceptedAt = true, sim.now
					sim.poll(j)
					sim.probeAllNodes(j)
				}
				sim.checkAnswer(j, r, asked)
				if sim.rng.IntN(6) == 0 { // an idempotent submission, much later
					sim.schedule(time.Duration(sim.rng.IntN(60_000))*time.Millisecond, func() { sim.submit(j, 0) })
				}
				return
			}
			if r != nil && (r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity) {
				sim.reportViolation("%s: a valid submission got %d %s", j.spec.ID, r.Status, r.Body)
			}
			if sim.now < until {
				sim.schedule(time.Second, func() { sim.submit(j, until) })
			}
		})
}

// poll has a user query the status of a job throughout the run, and sometimes that of a job that does not exist.
func (sim *Simulation) poll(j *userJob) {
	quiescentFrom := ident.MonotonicTime(sim.cfg.ActiveDuration + faultDrainTime)
	if gap := sim.now.Sub(max(j.lastAnsweredAt, quiescentFrom)); sim.now > quiescentFrom && gap > maxStatusGap {
		sim.reportViolation("forgotten: no query about %s was answered for %v", j.spec.ID, gap)
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
					sim.reportViolation("invented: %s got 200", id)
				}
			})
	}
}

// pollNode queries a node about a job once.
func (sim *Simulation) pollNode(j *userJob, n *node) { sim.queryStatus(j, n, func() {}) }

// queryStatus queries a node about a job, checks the reply, and calls then, whether there is one or not.
func (sim *Simulation) queryStatus(j *userJob, n *node, then func()) {
	asked := sim.now
	sim.request(apiRequest{usersParty, n, transport.GetJob, string(j.spec.ID), nil, queryTimeout}, func(r *controller.Response) {
		if r != nil {
			if r.Status == http.StatusNotFound {
				sim.reportViolation("forgotten: %s got 404", j.spec.ID)
			}
			if r.Status == http.StatusOK {
				j.lastAnsweredAt = sim.now
				sim.checkAnswer(j, r, asked)
			}
		}
		then()
	})
}

// cancel cancels a job at any node.
func (sim *Simulation) cancel(j *userJob) { sim.cancelAt(j, nil) }

// cancelAt cancels a job at a node, at any if it is nil, again and again until that is confirmed.
func (sim *Simulation) cancelAt(j *userJob, at *node) {
	asked := sim.now
	n := at
	if n == nil {
		n = sim.randomNode()
	}
	sim.request(apiRequest{usersParty, n, transport.CancelJob, string(j.spec.ID), nil, requestTimeout},
		func(r *controller.Response) {
			if r != nil && r.Status == http.StatusOK {
				sim.checkAnswer(j, r, asked)
				return
			}
			if r != nil && r.Status == http.StatusNotFound {
				sim.reportViolation("forgotten: cancelling %s got 404", j.spec.ID)
			}
			sim.schedule(time.Second, func() { sim.cancelAt(j, at) })
		})
}

// cancelWhenAccepted has a user cancel a job once it is accepted, at a node, or at any if it is nil.
func (sim *Simulation) cancelWhenAccepted(j *userJob, at *node) {
	if j.cancelSentAt > 0 || isTerminal(j.lastStatus) {
		return
	}
	if !j.accepted { // the user does not know yet that there is something to cancel
		sim.schedule(3*time.Millisecond, func() { sim.cancelWhenAccepted(j, at) })
		return
	}
	j.cancelSentAt = sim.now
	sim.cancelAt(j, at)
}

// probeAllNodes has a user query all nodes about a job several times within milliseconds, and repeat its submission, during
// such a fault window.
func (sim *Simulation) probeAllNodes(j *userJob) {
	if sim.now >= sim.probeAfterAnswer.until {
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
