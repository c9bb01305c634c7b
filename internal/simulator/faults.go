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

func (w *Simulation) faultHits(s faultWindow) bool {
	return w.now < s.until && w.rng.Float64() < s.probability
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

func (w *Simulation) countEvent(what string) { w.eventCounts[what]++ }

// blockOutbound has a machine reach no node, though nodes reach it.
func (w *Simulation) blockOutbound(k *worker, d time.Duration) {
	w.logf("%s reaches no node for %v", k.id, d)
	w.outboundBlockedUntil[string(k.id)] = w.now.Add(d)
}

// extraLatency is what the spells add to a message's time.
func (w *Simulation) extraLatency(from, to string) time.Duration {
	node := func(s string) bool { return strings.HasPrefix(s, "agent-") }
	switch {
	case node(from) && node(to) && w.faultHits(w.slowLinks):
		w.countEvent("slow link")
		return time.Duration(100+w.rng.IntN(400)) * time.Millisecond
	case (from == "state" || to == "state") && w.faultHits(w.slowStore):
		w.countEvent("slow state")
		return time.Duration(50+w.rng.IntN(450)) * time.Millisecond
	}
	return 0
}

// commandDelay is for how long a command to a machine, or its answer, is held up.
func (w *Simulation) commandDelay() time.Duration {
	if !w.faultHits(w.delayedCommands) {
		return 0
	}
	w.countEvent("held order")
	return time.Duration(500+w.rng.IntN(5500)) * time.Millisecond
}

// interceptTransaction has a transaction carried out late, or at once without an answer. It says
// whether that is so.
func (s *store) interceptTransaction(r kvstore.Request, reply func(any)) bool {
	w := s.sim
	switch {
	case w.faultHits(w.droppedReplies):
		w.countEvent("lost answer")
		s.transact(r)
		return true
	case w.faultHits(w.delayedWrites):
		before := s.revision
		w.schedule(time.Duration(2000+w.rng.IntN(10_000))*time.Millisecond, func() {
			if w.now < s.downUntil {
				return
			}
			if s.revision > before {
				w.countEvent("late write after newer ones")
			}
			s.transact(r)
		})
		return true
	}
	return false
}

// onNewTerm calls f whenever another term has begun.
func (w *Simulation) onNewTerm(f func()) {
	newest := w.newestTerm()
	var look func()
	look = func() {
		if n := w.leader(); n != nil && n.controller.Election().Term() > newest {
			newest = n.controller.Election().Term()
			f()
		}
		w.schedule(20*time.Millisecond, look)
	}
	look()
}

// deliverStaleHeartbeat has a copy of a report come to a node.
func (w *Simulation) deliverStaleHeartbeat(m *api.Heartbeat, n *node) {
	if k := w.workers[m.MachineID]; k != nil {
		switch {
		case k.incarnation > m.Incarnation:
			w.countEvent("copy of an earlier session")
		case k.sequence > m.SequenceNumber:
			w.countEvent("copy after newer reports")
		}
	}
	c := *m
	if w.cfg.Mutation == AcceptStaleHeartbeats {
		c.SequenceNumber += 1000
	}
	w.request("copies", n, transport.WorkerHeartbeat, "", api.JSON(&c), 4*time.Second, func(*controller.Response) {})
}

// duplicateHeartbeat has copies of a report come to all nodes again.
func (w *Simulation) duplicateHeartbeat(m *api.Heartbeat) {
	deliverCopies := func(delay time.Duration) {
		for i, n := range w.nodes {
			w.schedule(delay+time.Duration(i)*time.Millisecond, func() { w.deliverStaleHeartbeat(m, n) })
		}
	}
	switch {
	case w.faultHits(w.delayedHeartbeats):
		deliverCopies(time.Duration(2000+w.rng.Float64()*2000*w.settings.Workers.LeaseS) * time.Millisecond)
	case w.faultHits(w.heldHeartbeats):
		w.heldDeliveries = append(w.heldDeliveries, func() { deliverCopies(time.Duration(w.rng.IntN(4000)) * time.Millisecond) })
	}
}

// holdHeartbeatsForNextLeader has copies wait for the next leader.
func (w *Simulation) holdHeartbeatsForNextLeader(share float64, d time.Duration) {
	w.heldHeartbeats = faultWindow{share, w.now.Add(d)}
	if w.awaitingNextLeader {
		return
	}
	w.awaitingNextLeader = true
	w.onNewTerm(func() {
		kept := w.heldDeliveries
		w.heldDeliveries = nil
		for _, f := range kept {
			w.countEvent("copy for the next leader")
			f()
		}
	})
}

// cancelWhenAccepted has a job's user cancel it, at a node if one is given.
func (w *Simulation) cancelWhenAccepted(j *userJob, at *node) {
	if j.cancelSentAt > 0 || isTerminal(j.lastStatus) {
		return
	}
	if !j.accepted { // its user doesn't know yet that there is something to cancel
		w.schedule(3*time.Millisecond, func() { w.cancelWhenAccepted(j, at) })
		return
	}
	j.cancelSentAt = w.now
	w.cancelAt(j, at)
}

// runningJobs lists the jobs with tasks on machines that nobody has cancelled.
func (w *Simulation) runningJobs() (out []*userJob) {
	for _, id := range w.jobOrder {
		j := w.jobs[id]
		if !j.accepted || j.cancelSentAt > 0 || isTerminal(j.lastStatus) {
			continue
		}
		if len(w.workersOf(j)) > 0 {
			out = append(out, j)
		}
	}
	return out
}

// workersOf lists the machines with tasks of a job.
func (w *Simulation) workersOf(j *userJob) (out []*worker) {
	for _, k := range w.sortedWorkers() {
		if k.taskCount(j.spec.ID) > 0 {
			out = append(out, k)
		}
	}
	return out
}

// cancelRunning calls up to n running jobs off within a fifth of a second; with hang, up to
// eight of their machines hang that long.
func (w *Simulation) cancelRunning(n int, hang time.Duration) {
	hung := 0
	for i, j := range w.runningJobs() {
		if i == n {
			break
		}
		for _, k := range w.workersOf(j) {
			if hang > 0 && hung < 8 {
				hung++
				k.hangFor(hang)
			}
		}
		w.countEvent("cancelled while it ran")
		w.schedule(time.Duration(w.rng.IntN(200))*time.Millisecond, func() { w.cancelWhenAccepted(j, nil) })
	}
}

// onTaskCompleted is called when a task has completed, before its machine says so.
func (w *Simulation) onTaskCompleted(j *userJob) {
	for _, d := range j.done {
		if !d {
			return
		}
	}
	if j.spec.Shape == api.Service || !w.faultHits(w.cancelAtCompletion) {
		return
	}
	w.countEvent("called off at the end")
	w.schedule(time.Duration(w.rng.IntN(300))*time.Millisecond, func() {
		w.cancelWhenAccepted(j, nil)
		w.probeAllNodes(j)
	})
}

// probeAllNodes has a user ask about a job at every node, again and again within milliseconds,
// and repeat its submission.
func (w *Simulation) probeAllNodes(j *userJob) {
	if w.now >= w.probeAfterAnswer.until {
		return
	}
	for _, n := range w.nodes {
		for i := range 3 {
			w.schedule(time.Duration(1+i*7+w.rng.IntN(5))*time.Millisecond, func() {
				w.countEvent("close look")
				if i == 1 {
					w.resubmitAt(j, n)
				} else {
					w.pollNode(j, n)
				}
			})
		}
	}
}

// sendEdgeCaseRequests has users send what is odd, but defined, until a time.
func (w *Simulation) sendEdgeCaseRequests(until ident.MonotonicTime) {
	if w.now > until {
		return
	}
	n := w.randomNode()
	w.lastJobNumber++
	s := api.Spec{ID: ident.JobID(fmt.Sprintf("j-8%05d", w.lastJobNumber)), Class: "lane", Team: "red", Shape: api.Batch, Priority: api.Standard,
		Tasks: 1, VCPUs: 1, MemoryGB: 2, Image: "img-0", ImageGB: 1, RuntimeS: 5}
	send := func(body []byte, what string, ok func(status int) bool) {
		w.countEvent("odd request")
		w.request("users", n, transport.SubmitJob, "", body, 5*time.Second, func(r *controller.Response) {
			if r != nil && !ok(r.Status) {
				w.reportViolation("%s got %d %s", what, r.Status, r.Body)
			}
		})
	}
	rejected := func(status int) bool { return status == 422 || status == 503 }
	switch w.rng.IntN(5) {
	case 0:
		s.VCPUs = 9
		send(api.JSON(s), "a job that fits no machine", rejected)
	case 1:
		s.Team = "mauve"
		send(api.JSON(s), "a job of an unknown team", rejected)
	case 2:
		var m map[string]any
		if json.Unmarshal(api.JSON(s), &m) == nil {
			f := []string{"pieces", "vcpus", "shape", "bundle", "runtime_s", "one_zone"}[w.rng.IntN(6)]
			delete(m, f)
			body, _ := json.Marshal(m)
			send(body, "a job without "+f, func(status int) bool { return status == 400 })
		}
	case 3:
		for _, id := range w.jobOrder {
			if j := w.jobs[id]; j.lastStatus == "done" && w.rng.IntN(3) == 0 {
				w.countEvent("done job cancelled")
				w.request("users", n, transport.CancelJob, string(id), nil, 5*time.Second, func(r *controller.Response) {
					var v api.JobView
					if r != nil && r.Status != 503 && (r.Status != 200 || json.Unmarshal(r.Body, &v) != nil || v.Status != "done") {
						w.reportViolation("cancelling %s, which is done, got %d %s", id, r.Status, r.Body)
					}
				})
				break
			}
		}
	case 4:
		for _, id := range w.jobOrder {
			if j := w.jobs[id]; j.accepted && w.rng.IntN(3) == 0 {
				o := j.spec
				o.RuntimeS, o.Image = o.RuntimeS+1, "another"
				asked := w.now
				w.countEvent("other body")
				w.request("users", n, transport.SubmitJob, "", api.JSON(o), 5*time.Second, func(r *controller.Response) {
					switch {
					case r == nil || r.Status == 503:
					case r.Status == 200 || r.Status == 201:
						w.checkAnswer(j, r, asked)
					default:
						w.reportViolation("forgotten: a submission of %s again got %d", id, r.Status)
					}
				})
				break
			}
		}
	}
	w.schedule(time.Duration(100+w.rng.IntN(400))*time.Millisecond, func() { w.sendEdgeCaseRequests(until) })
}

// newestTerm returns the newest term, which is also how many there were.
func (w *Simulation) newestTerm() ident.Term {
	most := ident.Term(0)
	for _, n := range w.nodes {
		most = max(most, n.controller.Election().Term())
	}
	return most
}
