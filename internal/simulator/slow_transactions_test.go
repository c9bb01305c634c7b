package simulator

import (
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/transport"
)

const (
	cancelledBeforeAcceptedEvent   eventName = "cancelled before accepted"
	finalStatusBeforeAcceptedEvent eventName = "final status told before the submission was answered"
)

// cancelDuringSlowTransactions has users cancel jobs whose submissions are not answered yet, while the replies to
// transactions are slow, and query all nodes. So many jobs are submitted that submissions wait for transactions in flight.
func cancelDuringSlowTransactions(sim *Simulation) {
	sim.submitBaseLoad(2)
	sim.scheduleAt(30, func() {
		sim.slowTransactions, sim.probeAfterReply = faultWindow{0.9, timeAt(100)}, faultWindow{1, timeAt(110)}
	})
	for s := 31.0; s < 90; s += 0.7 {
		sim.scheduleAt(s, func() {
			j := sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, time.Duration(1+sim.rng.IntN(8))*time.Second)
			if sim.rng.IntN(2) == 0 {
				sim.cancelBeforeAccepted(j)
			}
		})
	}
}

// cancelBeforeAccepted has the user of a job cancel it shortly after its submission, without waiting for the answer, and
// query all nodes until one of them tells a final status.
func (sim *Simulation) cancelBeforeAccepted(j *userJob) {
	sim.schedule(time.Duration(5+sim.rng.IntN(100))*time.Millisecond, func() {
		sim.countEvent(cancelledBeforeAcceptedEvent)
		j.cancelSentAt = sim.now
		sim.requestCancellation(j)
		sim.queryUntilFinal(j)
	})
}

// requestCancellation cancels a job at a random node, and repeats that every second until it is confirmed.
func (sim *Simulation) requestCancellation(j *userJob) {
	requestedAt := sim.now
	sim.request(apiRequest{usersParty, sim.randomNode(), transport.CancelJob, string(j.spec.ID), nil, requestTimeout},
		func(r *controller.Response) {
			if r != nil && r.Status == http.StatusOK {
				sim.checkStatusReply(j, r, requestedAt)
				return
			}
			sim.schedule(time.Second, func() { sim.requestCancellation(j) })
		})
}

// queryUntilFinal queries the status of a job at all nodes every 100 ms, for up to ten seconds. The job need not be known
// yet.
func (sim *Simulation) queryUntilFinal(j *userJob) {
	if isTerminal(j.lastStatus) || sim.now > j.cancelSentAt.Add(10*time.Second) {
		return
	}
	requestedAt := sim.now
	for _, n := range sim.nodes {
		query := apiRequest{usersParty, n, transport.GetJob, string(j.spec.ID), nil, queryTimeout}
		sim.request(query, func(r *controller.Response) {
			if r == nil || r.Status != http.StatusOK {
				return
			}
			wasFinal := isTerminal(j.lastStatus)
			sim.checkStatusReply(j, r, requestedAt)
			if !j.accepted && !wasFinal && isTerminal(j.lastStatus) {
				sim.countEvent(finalStatusBeforeAcceptedEvent)
			}
		})
	}
	sim.schedule(100*time.Millisecond, func() { sim.queryUntilFinal(j) })
}
