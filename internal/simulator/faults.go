package simulator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
)

// faultWindow is a trouble that befalls a share of what it is about until a time.
type faultWindow struct {
	probability float64
	until       ident.MonotonicTime
}

func (sim *Simulation) faultHits(s faultWindow) bool {
	return sim.now < s.until && sim.rng.Float64() < s.probability
}

// activeFaults are those of the operators' page on two at once.
type activeFaults struct {
	delayedWrites        faultWindow // transactions get no answer, and are carried out 2 to 12 s later
	droppedReplies       faultWindow // or at once
	delayedHeartbeats    faultWindow // copies of reports come up to two leases later
	heldHeartbeats       faultWindow // or when the next leader begins
	slowStore            faultWindow // answers of the state service take up to a second
	slowLinks            faultWindow // what nodes say to each other takes up to half a second
	delayedCommands      faultWindow // commands to machines, and their answers, are held up for seconds
	fastBoots            faultWindow // machines are up within two seconds
	slowBoots            faultWindow // several times as late as they should be
	failedBoots          faultWindow // or never
	cancelAtCompletion   faultWindow // jobs are called off at the moment in which their last task ends
	probeAfterAnswer     faultWindow // users ask at all nodes within milliseconds of what they are told
	outboundBlockedUntil map[string]ident.MonotonicTime
	heldDeliveries       []func()
	awaitingNextLeader   bool // for the next leader, to deliver what is kept

	// What came of them, for tests to see that they took place.
	eventCounts map[string]int
}

func (sim *Simulation) countEvent(what string) { sim.eventCounts[what]++ }

// blockOutbound has a machine reach no node, though nodes reach it.
func (sim *Simulation) blockOutbound(w *worker, d time.Duration) {
	sim.logf("%s reaches no node for %v", w.id, d)
	sim.outboundBlockedUntil[string(w.id)] = sim.now.Add(d)
}

// extraLatency is what the spells add to a message's time.
func (sim *Simulation) extraLatency(from, to string) time.Duration {
	node := func(s string) bool { return strings.HasPrefix(s, "agent-") }
	switch {
	case node(from) && node(to) && sim.faultHits(sim.slowLinks):
		sim.countEvent("slow link")
		return time.Duration(100+sim.rng.IntN(400)) * time.Millisecond
	case (from == "state" || to == "state") && sim.faultHits(sim.slowStore):
		sim.countEvent("slow state")
		return time.Duration(50+sim.rng.IntN(450)) * time.Millisecond
	}
	return 0
}

// commandDelay is for how long a command to a machine, or its answer, is held up.
func (sim *Simulation) commandDelay() time.Duration {
	if !sim.faultHits(sim.delayedCommands) {
		return 0
	}
	sim.countEvent("held order")
	return time.Duration(500+sim.rng.IntN(5500)) * time.Millisecond
}

// interceptTransaction has a transaction carried out late, or at once without an answer. It says
// whether that is so.
func (s *store) interceptTransaction(r kvstore.Request, reply func(any)) bool {
	sim := s.sim
	switch {
	case sim.faultHits(sim.droppedReplies):
		sim.countEvent("lost answer")
		s.transact(r)
		return true
	case sim.faultHits(sim.delayedWrites):
		before := s.revision
		sim.schedule(time.Duration(2000+sim.rng.IntN(10_000))*time.Millisecond, func() {
			if sim.now < s.downUntil {
				return
			}
			if s.revision > before {
				sim.countEvent("late write after newer ones")
			}
			s.transact(r)
		})
		return true
	}
	return false
}

// onNewTerm calls f whenever another term has begun.
func (sim *Simulation) onNewTerm(f func()) {
	newest := sim.newestTerm()
	var look func()
	look = func() {
		if n := sim.leader(); n != nil && n.controller.Election().Term() > newest {
			newest = n.controller.Election().Term()
			f()
		}
		sim.schedule(20*time.Millisecond, look)
	}
	look()
}

// deliverStaleHeartbeat has a copy of a report come to a node.
func (sim *Simulation) deliverStaleHeartbeat(m *api.Heartbeat, n *node) {
	if w := sim.workers[m.MachineID]; w != nil {
		switch {
		case w.incarnation > m.Incarnation:
			sim.countEvent("copy of an earlier session")
		case w.sequence > m.SequenceNumber:
			sim.countEvent("copy after newer reports")
		}
	}
	c := *m
	if sim.cfg.Mutation == AcceptStaleHeartbeats {
		c.SequenceNumber += 1000
	}
	sim.request("copies", n, transport.WorkerHeartbeat, "", api.JSON(&c), 4*time.Second, func(*controller.Response) {})
}

// duplicateHeartbeat has copies of a report come to all nodes again.
func (sim *Simulation) duplicateHeartbeat(m *api.Heartbeat) {
	deliverCopies := func(delay time.Duration) {
		for i, n := range sim.nodes {
			sim.schedule(delay+time.Duration(i)*time.Millisecond, func() { sim.deliverStaleHeartbeat(m, n) })
		}
	}
	switch {
	case sim.faultHits(sim.delayedHeartbeats):
		deliverCopies(time.Duration(2000+sim.rng.Float64()*2000*sim.settings.Workers.LeaseS) * time.Millisecond)
	case sim.faultHits(sim.heldHeartbeats):
		sim.heldDeliveries = append(sim.heldDeliveries, func() { deliverCopies(time.Duration(sim.rng.IntN(4000)) * time.Millisecond) })
	}
}

// holdHeartbeatsForNextLeader has copies wait for the next leader.
func (sim *Simulation) holdHeartbeatsForNextLeader(share float64, d time.Duration) {
	sim.heldHeartbeats = faultWindow{share, sim.now.Add(d)}
	if sim.awaitingNextLeader {
		return
	}
	sim.awaitingNextLeader = true
	sim.onNewTerm(func() {
		kept := sim.heldDeliveries
		sim.heldDeliveries = nil
		for _, f := range kept {
			sim.countEvent("copy for the next leader")
			f()
		}
	})
}

// cancelWhenAccepted has a job's user cancel it, at a node if one is given.
func (sim *Simulation) cancelWhenAccepted(j *userJob, at *node) {
	if j.cancelSentAt > 0 || isTerminal(j.lastStatus) {
		return
	}
	if !j.accepted { // its user doesn't know yet that there is something to cancel
		sim.schedule(3*time.Millisecond, func() { sim.cancelWhenAccepted(j, at) })
		return
	}
	j.cancelSentAt = sim.now
	sim.cancelAt(j, at)
}

// runningJobs lists the jobs with tasks on machines that nobody has cancelled.
func (sim *Simulation) runningJobs() (out []*userJob) {
	for _, id := range sim.jobOrder {
		j := sim.jobs[id]
		if !j.accepted || j.cancelSentAt > 0 || isTerminal(j.lastStatus) {
			continue
		}
		if len(sim.workersOf(j)) > 0 {
			out = append(out, j)
		}
	}
	return out
}

// workersOf lists the machines with tasks of a job.
func (sim *Simulation) workersOf(j *userJob) (out []*worker) {
	for _, w := range sim.sortedWorkers() {
		if w.taskCount(j.spec.ID) > 0 {
			out = append(out, w)
		}
	}
	return out
}

// cancelRunning calls up to n running jobs off within a fifth of a second; with hang, up to
// eight of their machines hang that long.
func (sim *Simulation) cancelRunning(n int, hang time.Duration) {
	hung := 0
	for i, j := range sim.runningJobs() {
		if i == n {
			break
		}
		for _, w := range sim.workersOf(j) {
			if hang > 0 && hung < 8 {
				hung++
				w.hangFor(hang)
			}
		}
		sim.countEvent("cancelled while it ran")
		sim.schedule(time.Duration(sim.rng.IntN(200))*time.Millisecond, func() { sim.cancelWhenAccepted(j, nil) })
	}
}

// onTaskCompleted is called when a task has completed, before its machine says so.
func (sim *Simulation) onTaskCompleted(j *userJob) {
	for _, d := range j.done {
		if !d {
			return
		}
	}
	if j.spec.Shape == api.Service || !sim.faultHits(sim.cancelAtCompletion) {
		return
	}
	sim.countEvent("called off at the end")
	sim.schedule(time.Duration(sim.rng.IntN(300))*time.Millisecond, func() {
		sim.cancelWhenAccepted(j, nil)
		sim.probeAllNodes(j)
	})
}

// probeAllNodes has a user ask about a job at every node, again and again within milliseconds,
// and repeat its submission.
func (sim *Simulation) probeAllNodes(j *userJob) {
	if sim.now >= sim.probeAfterAnswer.until {
		return
	}
	for _, n := range sim.nodes {
		for i := range 3 {
			sim.schedule(time.Duration(1+i*7+sim.rng.IntN(5))*time.Millisecond, func() {
				sim.countEvent("close look")
				if i == 1 {
					sim.resubmitAt(j, n)
				} else {
					sim.pollNode(j, n)
				}
			})
		}
	}
}

// sendEdgeCaseRequests has users send what is odd, but defined, until a time.
func (sim *Simulation) sendEdgeCaseRequests(until ident.MonotonicTime) {
	if sim.now > until {
		return
	}
	n := sim.randomNode()
	sim.lastJobNumber++
	s := api.Spec{ID: ident.JobID(fmt.Sprintf("j-8%05d", sim.lastJobNumber)), Class: "lane", Team: "red", Shape: api.Batch, Priority: api.Standard,
		Tasks: 1, VCPUs: 1, MemoryGB: 2, Image: "img-0", ImageGB: 1, RuntimeS: 5}
	send := func(body []byte, what string, ok func(status int) bool) {
		sim.countEvent("odd request")
		sim.request("users", n, transport.SubmitJob, "", body, 5*time.Second, func(r *controller.Response) {
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
				sim.countEvent("done job cancelled")
				sim.request("users", n, transport.CancelJob, string(id), nil, 5*time.Second, func(r *controller.Response) {
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
				sim.countEvent("other body")
				sim.request("users", n, transport.SubmitJob, "", api.JSON(o), 5*time.Second, func(r *controller.Response) {
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

// newestTerm returns the newest term, which is also how many there were.
func (sim *Simulation) newestTerm() ident.Term {
	most := ident.Term(0)
	for _, n := range sim.nodes {
		most = max(most, n.controller.Election().Term())
	}
	return most
}
