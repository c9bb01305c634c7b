package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/mesh"
	"opaldale/internal/statesvc"
)

// spell is a trouble that befalls a share of what it is about until a time.
type spell struct {
	share float64
	until ident.MonotonicTime
}

func (w *World) hits(s spell) bool { return w.now < s.until && w.rng.Float64() < s.share }

// troubles are those of the operators' page on two at once.
type troubles struct {
	lateWrites  spell // transactions get no answer, and are carried out 2 to 12 s later
	lostAnswers spell // or at once
	lateReports spell // copies of reports come up to two leases later
	keptReports spell // or when the next leader begins
	slowState   spell // answers of the state service take up to a second
	slowLinks   spell // what nodes say to each other takes up to half a second
	heldOrders  spell // commands to machines, and their answers, are held up for seconds
	quickBoots  spell // machines are up within two seconds
	lateBoots   spell // several times as late as they should be
	neverBoots  spell // or never
	lastMoment  spell // jobs are called off at the moment in which their last task ends
	closeLooks  spell // users ask at all nodes within milliseconds of what they are told
	mute        map[string]ident.MonotonicTime
	kept        []func()
	watching    bool // for the next leader, to deliver what is kept

	// What came of them, for tests to see that they took place.
	seen map[string]int
}

func (w *World) took(what string) { w.seen[what]++ }

// silence has a machine reach no node, though nodes reach it.
func (w *World) silence(k *worker, d time.Duration) {
	w.logf("%s reaches no node for %v", k.host, d)
	w.mute[string(k.host)] = w.now.Add(d)
}

// slowed is what the spells add to a message's time.
func (w *World) slowed(from, to string) time.Duration {
	node := func(s string) bool { return strings.HasPrefix(s, "agent-") }
	switch {
	case node(from) && node(to) && w.hits(w.slowLinks):
		w.took("slow link")
		return time.Duration(100+w.rng.IntN(400)) * time.Millisecond
	case (from == "state" || to == "state") && w.hits(w.slowState):
		w.took("slow state")
		return time.Duration(50+w.rng.IntN(450)) * time.Millisecond
	}
	return 0
}

// heldUp is for how long a command to a machine, or its answer, is held up.
func (w *World) heldUp() time.Duration {
	if !w.hits(w.heldOrders) {
		return 0
	}
	w.took("held order")
	return time.Duration(500+w.rng.IntN(5500)) * time.Millisecond
}

// lateTxn has a transaction carried out late, or at once without an answer. It says
// whether that is so.
func (s *store) lateTxn(r statesvc.Request, reply func(any)) bool {
	w := s.w
	switch {
	case w.hits(w.lostAnswers):
		w.took("lost answer")
		s.txn(r)
		return true
	case w.hits(w.lateWrites):
		before := s.ledger
		w.at(time.Duration(2000+w.rng.IntN(10_000))*time.Millisecond, func() {
			if w.now < s.downUntil {
				return
			}
			if s.ledger > before {
				w.took("late write after newer ones")
			}
			s.txn(r)
		})
		return true
	}
	return false
}

// watchLeaders calls f whenever another term has begun.
func (w *World) watchLeaders(f func()) {
	newest := w.terms()
	var look func()
	look = func() {
		if n := w.leader(); n != nil && n.ctl.Election().Term() > newest {
			newest = n.ctl.Election().Term()
			f()
		}
		w.at(20*time.Millisecond, look)
	}
	look()
}

// resend has a copy of a report come to a node.
func (w *World) resend(m *api.Heartbeat, n *node) {
	if k := w.workers[m.MachineID]; k != nil {
		switch {
		case k.tenure > m.Incarnation:
			w.took("copy of an earlier session")
		case k.serial > m.SequenceNumber:
			w.took("copy after newer reports")
		}
	}
	c := *m
	if w.cfg.Mutation == TrustCopies {
		c.SequenceNumber += 1000
	}
	w.request("copies", n, mesh.WorkerHeartbeat, "", api.JSON(&c), 4*time.Second, func(*controller.Response) {})
}

// copyReport has copies of a report come to all nodes again.
func (w *World) copyReport(m *api.Heartbeat) {
	again := func(late time.Duration) {
		for i, n := range w.nodes {
			w.at(late+time.Duration(i)*time.Millisecond, func() { w.resend(m, n) })
		}
	}
	switch {
	case w.hits(w.lateReports):
		again(time.Duration(2000+w.rng.Float64()*2000*w.set.Workers.LeaseS) * time.Millisecond)
	case w.hits(w.keptReports):
		w.kept = append(w.kept, func() { again(time.Duration(w.rng.IntN(4000)) * time.Millisecond) })
	}
}

// keepReports has copies wait for the next leader.
func (w *World) keepReports(share float64, d time.Duration) {
	w.keptReports = spell{share, w.now.Add(d)}
	if w.watching {
		return
	}
	w.watching = true
	w.watchLeaders(func() {
		kept := w.kept
		w.kept = nil
		for _, f := range kept {
			w.took("copy for the next leader")
			f()
		}
	})
}

// callOff has a job's user cancel it, at a node if one is given.
func (w *World) callOff(j *userJob, at *node) {
	if j.cancelSent > 0 || finalStatus(j.told) {
		return
	}
	if !j.accepted { // its user doesn't know yet that there is something to cancel
		w.at(3*time.Millisecond, func() { w.callOff(j, at) })
		return
	}
	j.cancelSent = w.now
	w.cancelAt(j, at)
}

// running lists the jobs with tasks on machines that nobody has cancelled.
func (w *World) running() (out []*userJob) {
	for _, id := range w.order {
		j := w.jobs[id]
		if !j.accepted || j.cancelSent > 0 || finalStatus(j.told) {
			continue
		}
		if len(w.hosts(j)) > 0 {
			out = append(out, j)
		}
	}
	return out
}

// hosts lists the machines with tasks of a job.
func (w *World) hosts(j *userJob) (out []*worker) {
	for _, k := range w.sortedWorkers() {
		if k.count(j.spec.ID) > 0 {
			out = append(out, k)
		}
	}
	return out
}

// cancelNow calls up to n running jobs off within a fifth of a second; with hang, up to
// eight of their machines hang that long.
func (w *World) cancelNow(n int, hang time.Duration) {
	hung := 0
	for i, j := range w.running() {
		if i == n {
			break
		}
		for _, k := range w.hosts(j) {
			if hang > 0 && hung < 8 {
				hung++
				k.hang(hang)
			}
		}
		w.took("cancelled while it ran")
		w.at(time.Duration(w.rng.IntN(200))*time.Millisecond, func() { w.callOff(j, nil) })
	}
}

// ended is called when a task has completed, before its machine says so.
func (w *World) ended(j *userJob) {
	for _, d := range j.done {
		if !d {
			return
		}
	}
	if j.spec.Shape == api.Service || !w.hits(w.lastMoment) {
		return
	}
	w.took("called off at the end")
	w.at(time.Duration(w.rng.IntN(300))*time.Millisecond, func() {
		w.callOff(j, nil)
		w.look(j)
	})
}

// look has a user ask about a job at every node, again and again within milliseconds,
// and repeat its submission.
func (w *World) look(j *userJob) {
	if w.now >= w.closeLooks.until {
		return
	}
	for _, n := range w.nodes {
		for i := range 3 {
			w.at(time.Duration(1+i*7+w.rng.IntN(5))*time.Millisecond, func() {
				w.took("close look")
				if i == 1 {
					w.submitAt(j, n)
				} else {
					w.pollAt(j, n)
				}
			})
		}
	}
}

// odd has users send what is odd, but defined, until a time.
func (w *World) odd(until ident.MonotonicTime) {
	if w.now > until {
		return
	}
	n := w.some()
	w.nextJob++
	s := api.Spec{ID: ident.JobID(fmt.Sprintf("j-8%05d", w.nextJob)), Class: "lane", Team: "red", Shape: api.Batch, Priority: api.Standard,
		Tasks: 1, VCPUs: 1, MemoryGB: 2, Image: "img-0", ImageGB: 1, RuntimeS: 5}
	send := func(body []byte, what string, ok func(status int) bool) {
		w.took("odd request")
		w.request("users", n, mesh.SubmitJob, "", body, 5*time.Second, func(r *controller.Response) {
			if r != nil && !ok(r.Status) {
				w.broken("%s got %d %s", what, r.Status, r.Body)
			}
		})
	}
	never := func(status int) bool { return status == 422 || status == 503 }
	switch w.rng.IntN(5) {
	case 0:
		s.VCPUs = 9
		send(api.JSON(s), "a job that fits no machine", never)
	case 1:
		s.Team = "mauve"
		send(api.JSON(s), "a job of an unknown team", never)
	case 2:
		var m map[string]any
		if json.Unmarshal(api.JSON(s), &m) == nil {
			f := []string{"pieces", "vcpus", "shape", "bundle", "runtime_s", "one_zone"}[w.rng.IntN(6)]
			delete(m, f)
			body, _ := json.Marshal(m)
			send(body, "a job without "+f, func(status int) bool { return status == 400 })
		}
	case 3:
		for _, id := range w.order {
			if j := w.jobs[id]; j.told == "done" && w.rng.IntN(3) == 0 {
				w.took("done job cancelled")
				w.request("users", n, mesh.CancelJob, string(id), nil, 5*time.Second, func(r *controller.Response) {
					var v api.JobView
					if r != nil && r.Status != 503 && (r.Status != 200 || json.Unmarshal(r.Body, &v) != nil || v.Status != "done") {
						w.broken("cancelling %s, which is done, got %d %s", id, r.Status, r.Body)
					}
				})
				break
			}
		}
	case 4:
		for _, id := range w.order {
			if j := w.jobs[id]; j.accepted && w.rng.IntN(3) == 0 {
				o := j.spec
				o.RuntimeS, o.Image = o.RuntimeS+1, "another"
				asked := w.now
				w.took("other body")
				w.request("users", n, mesh.SubmitJob, "", api.JSON(o), 5*time.Second, func(r *controller.Response) {
					switch {
					case r == nil || r.Status == 503:
					case r.Status == 200 || r.Status == 201:
						w.hear(j, r, asked)
					default:
						w.broken("forgotten: a submission of %s again got %d", id, r.Status)
					}
				})
				break
			}
		}
	}
	w.at(time.Duration(100+w.rng.IntN(400))*time.Millisecond, func() { w.odd(until) })
}

// terms returns the newest term, which is also how many there were.
func (w *World) terms() ident.Term {
	most := ident.Term(0)
	for _, n := range w.nodes {
		most = max(most, n.ctl.Election().Term())
	}
	return most
}
