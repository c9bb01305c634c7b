package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/mesh"
)

// userJob is a job with its user, who remembers what it was told.
type userJob struct {
	spec       api.Spec
	runs       time.Duration
	mistaken   bool                                    // its tasks fail on every machine
	tries      int                                     // that failed for it
	step       time.Duration                           // by which each task runs longer than the one before
	beside     ident.MonotonicTime                     // since when it waits beside room for it, 0: it doesn't
	saved      float64                                 // progress of a gang that is safe, in seconds
	kept       map[int]time.Duration                   // progress of an array's tasks that is safe
	lost       time.Duration                           // of its tasks' run time, by stops without saving
	stops      map[ident.TaskID]map[ident.Attempt]bool // attempts that a command has stopped before the job was called off
	done       []bool
	sent       bool
	accepted   bool
	told       string
	toldAt     ident.MonotonicTime
	cancelSent ident.MonotonicTime
	cancelTold ident.MonotonicTime
	sentAt     ident.MonotonicTime
	acceptedAt ident.MonotonicTime
	begunAt    ident.MonotonicTime // when its first task started, 0: not yet
	answered   ident.MonotonicTime // when a question about it was last answered
}

func (j *userJob) runOf(i int) time.Duration { return j.runs + time.Duration(i)*j.step }

// arrive submits jobs, more at the start.
func (w *World) arrive() {
	if w.now > ident.MonotonicTime(w.cfg.Length) {
		return
	}
	w.newJob()
	d := time.Duration(500+w.rng.IntN(14_000)) * time.Millisecond
	if w.nextJob < 5 {
		d = 10 * time.Millisecond
	}
	w.at(d, w.arrive)
}

func (w *World) newJob() {
	w.nextJob++
	r := w.rng
	s := api.Spec{ID: ident.JobID(fmt.Sprintf("j-%06d", w.nextJob)), Class: "lane", Team: w.set.Teams[r.IntN(3)].Name,
		Shape: api.Batch, Priority: api.Standard, Tasks: 1 + r.IntN(6), VCPUs: float64(1 + r.IntN(4)), MemoryGB: 2,
		Image: fmt.Sprintf("img-%d", r.IntN(3)), ImageGB: 1.5, Spot: r.IntN(3) > 0, RuntimeS: 20}
	switch r.IntN(6) {
	case 0:
		s.OneZone = true
		s.Tasks = min(s.Tasks, 3)
	case 1:
		s.Spread = true
	case 2:
		z := w.set.Zones[r.IntN(2)]
		s.Zone = &z
	}
	if r.IntN(3) == 0 && w.services(s.Team) < 4 { // services must leave their team room for arrays
		s.Shape, s.Priority, s.Spot, s.RuntimeS = api.Service, api.Critical, false, 0
		s.Tasks = 1 + r.IntN(2)
		s.VCPUs = 1
	}
	if r.IntN(40) == 0 {
		s.Tasks, s.VCPUs = 200, 0.1 // more than a header holds
		s.Shape, s.Priority, s.OneZone = api.Batch, api.Standard, false
	}
	if gangs := 12; w.gangsWelcome() && r.IntN(gangs) < 2 || w.cfg.Gangs && r.IntN(2) == 0 {
		s.Shape, s.Priority, s.Spot, s.Spread, s.VCPUs = api.Gang, []api.Priority{api.High, api.Standard}[r.IntN(2)], r.IntN(3) == 0, false, 1
		s.Tasks, s.RuntimeS = 2+r.IntN(5), 40
		s.OneZone = r.IntN(3) > 0
		if r.IntN(4) > 0 {
			s.CheckpointEveryS, s.CheckpointS = 8, 2
		}
	}
	j := &userJob{spec: s, runs: time.Duration(2000+r.IntN(40_000)) * time.Millisecond, done: make([]bool, s.Tasks)}
	if w.cfg.Meet && s.Shape == api.Batch && r.IntN(12) == 0 {
		j.mistaken = true
		w.at(time.Duration(20+r.IntN(100))*time.Second, func() { w.callOff(j, nil) })
	}
	w.add(j)
	if j.mistaken {
		return
	}
	if r.IntN(3) == 0 || s.Shape == api.Service && r.IntN(2) == 0 {
		w.at(time.Duration(r.IntN(80_000))*time.Millisecond, func() {
			if j.accepted {
				j.cancelSent = w.now
				w.cancel(j)
			}
		})
	}
}

// noteStop notes that a command stops an attempt.
func (j *userJob) noteStop(p *piece) {
	if j.cancelSent > 0 {
		return
	}
	if j.stops == nil {
		j.stops = map[ident.TaskID]map[ident.Attempt]bool{}
	}
	if j.stops[p.id] == nil {
		j.stops[p.id] = map[ident.Attempt]bool{}
	}
	j.stops[p.id][p.try] = true
}

// stopCount returns how many attempts of a job's tasks were stopped by commands.
func (j *userJob) stopCount() int {
	n := 0
	for _, attempts := range j.stops {
		n += len(attempts)
	}
	return n
}

// add submits a job.
func (w *World) add(j *userJob) {
	if j.kept == nil {
		j.kept = map[int]time.Duration{}
	}
	j.sentAt = w.now
	w.jobs[j.spec.ID] = j
	w.order = append(w.order, j.spec.ID)
	w.submit(j, w.now.Add(60*time.Second))
}

// crowd submits more small jobs of a team than its limit can take, and now and
// then a job whose tasks are large, and one of a team without a guarantee.
func (w *World) crowd() {
	if w.now > ident.MonotonicTime(w.cfg.Length) {
		return
	}
	w.nextJob++
	s := api.Spec{ID: ident.JobID(fmt.Sprintf("j-%06d", w.nextJob)), Class: "lane", Team: "red", Shape: api.Batch, Priority: api.Standard,
		Tasks: 2, VCPUs: 2, MemoryGB: 2, Image: "img-0", ImageGB: 1.5, Spot: true, RuntimeS: 10}
	runs := 10 * time.Second
	if w.nextJob%40 == 20 {
		s.Tasks, s.VCPUs, s.RuntimeS, runs = 3, 7.5, 30, 30*time.Second
		if w.nextJob%80 == 20 {
			s.Spread = true
		} else {
			s.OneZone, s.Team, s.VCPUs, s.Tasks = true, "grey", 8, 2
		}
	}
	w.add(&userJob{spec: s, runs: runs, done: make([]bool, s.Tasks)})
	w.at(600*time.Millisecond, w.crowd)
}

// services counts a team's replicas that nobody has cancelled.
func (w *World) services(desk string) int {
	n := 0
	for _, j := range w.jobs {
		if j.spec.Team == desk && j.spec.Shape == api.Service && j.told != "cancelled" {
			n += j.spec.Tasks
		}
	}
	return n
}

// some returns a node that accepts connections, if there is one.
func (w *World) some() *node {
	for range 3 {
		if n := w.nodes[w.rng.IntN(len(w.nodes))]; n.alive {
			return n
		}
	}
	return w.nodes[0]
}

func (w *World) submit(j *userJob, until ident.MonotonicTime) { w.submitTo(j, until, w.some()) }

// submitAt repeats the submission of a job at a node, once.
func (w *World) submitAt(j *userJob, n *node) { w.submitTo(j, 0, n) }

func (w *World) submitTo(j *userJob, until ident.MonotonicTime, n *node) {
	j.sent = true
	asked := w.now
	w.request("users", n, mesh.SubmitJob, "", api.JSON(j.spec), 5*time.Second, func(r *controller.Response) {
		if r != nil && (r.Status == 200 || r.Status == 201) {
			if !j.accepted {
				j.accepted, j.acceptedAt = true, w.now
				w.poll(j)
				w.look(j)
			}
			w.hear(j, r, asked)
			if w.rng.IntN(6) == 0 { // asked again, much later
				w.at(time.Duration(w.rng.IntN(60_000))*time.Millisecond, func() { w.submit(j, 0) })
			}
			return
		}
		if r != nil && (r.Status == 400 || r.Status == 422) {
			w.broken("%s: a submission that is in order got %d %s", j.spec.ID, r.Status, r.Body)
		}
		if w.now < until {
			w.at(time.Second, func() { w.submit(j, until) })
		}
	})
}

func (w *World) poll(j *userJob) {
	if calm := ident.MonotonicTime(w.cfg.Length + faultsEnd); w.now > calm && w.now.Sub(max(j.answered, calm)) > knownWithin {
		w.broken("forgotten: nothing about %s was answered for %v", j.spec.ID, w.now.Sub(max(j.answered, calm)))
	}
	if w.cfg.Mutation == StarvePolls && w.now > ident.MonotonicTime(w.cfg.Length) && j.spec.Tasks%2 == 0 {
		w.at(5*time.Second, func() { w.poll(j) })
		return
	}
	w.ask(j, w.some(), func() {
		w.at(4*time.Second+time.Duration(w.rng.IntN(1500))*time.Millisecond, func() { w.poll(j) })
	})
	if w.rng.IntN(20) == 0 {
		id := fmt.Sprintf("j-9%05d", w.rng.IntN(1000))
		w.request("users", w.some(), mesh.GetJob, id, nil, 2*time.Second, func(r *controller.Response) {
			if r != nil && r.Status == 200 {
				w.broken("invented: %s got 200", id)
			}
		})
	}
}

// pollAt asks a node about a job once.
func (w *World) pollAt(j *userJob, n *node) { w.ask(j, n, func() {}) }

func (w *World) ask(j *userJob, n *node, then func()) {
	asked := w.now
	w.request("users", n, mesh.GetJob, string(j.spec.ID), nil, 2*time.Second, func(r *controller.Response) {
		if r != nil {
			if r.Status == 404 {
				w.broken("forgotten: %s got 404", j.spec.ID)
			}
			if r.Status == 200 {
				j.answered = w.now
				w.hear(j, r, asked)
			}
		}
		then()
	})
}

func (w *World) cancel(j *userJob) { w.cancelAt(j, nil) }

// cancelAt cancels a job at a node, or at any.
func (w *World) cancelAt(j *userJob, at *node) {
	asked := w.now
	n := at
	if n == nil {
		n = w.some()
	}
	w.request("users", n, mesh.CancelJob, string(j.spec.ID), nil, 5*time.Second, func(r *controller.Response) {
		if r != nil && r.Status == 200 {
			w.hear(j, r, asked)
			return
		}
		if r != nil && r.Status == 404 {
			w.broken("forgotten: cancelling %s got 404", j.spec.ID)
		}
		w.at(time.Second, func() { w.cancelAt(j, at) })
	})
}

// hear checks an answer against what the user knew when asking: requests that
// overlap have no order.
func (w *World) hear(j *userJob, r *controller.Response, asked ident.MonotonicTime) {
	var v api.JobView
	if err := json.Unmarshal(r.Body, &v); err != nil || v.ID != j.spec.ID {
		w.broken("%s: unreadable answer %s", j.spec.ID, r.Body)
		return
	}
	if finalStatus(j.told) && v.Status != j.told && asked > j.toldAt {
		w.broken("went_back: %s was %s, is %s", j.spec.ID, j.told, v.Status)
	}
	if v.Status == "cancelled" && j.cancelSent == 0 {
		w.broken("went_back: %s was not cancelled by its user", j.spec.ID)
	}
	if v.Status == "done" {
		for i, d := range j.done {
			if !d {
				w.broken("not_done: %s is called done, task %d is not", j.spec.ID, i)
				break
			}
		}
	}
	if v.Status == "cancelled" && j.cancelTold == 0 {
		j.cancelTold = w.now
		limit := time.Duration(w.set.Workers.CancelS * float64(time.Second))
		w.at(limit+time.Millisecond, func() {
			for _, k := range w.sortedWorkers() {
				if k.w.now < k.hung && k.w.now.Sub(k.leaseAt).Seconds() > w.set.Workers.LeaseS {
					continue // over with its lease, though the machine hasn't noticed
				}
				if k.count(j.spec.ID) > 0 {
					w.broken("ran_cancelled: %s is still on %s", j.spec.ID, k.host)
				}
			}
		})
	}
	if !finalStatus(j.told) {
		j.told, j.toldAt = v.Status, w.now
		if finalStatus(j.told) {
			w.look(j)
		}
	}
}

func finalStatus(s string) bool { return s == "done" || s == "cancelled" }

const (
	// faultsEnd is how long after the last fault's beginning all are over.
	faultsEnd = 50 * time.Second
	// knownWithin is how long a user may go without an answer then.
	knownWithin = 75 * time.Second
	// beginWithin is how long the largest jobs may wait for their first task.
	beginWithin = 4 * time.Minute
)

// started checks the rules at the start of a task on k.
func (w *World) started(k *worker, p *piece) {
	w.Starts++
	j := w.jobs[p.id.Job]
	s := &j.spec
	if j.begunAt == 0 {
		j.begunAt = w.now
	}
	cpus := 0.0
	zones := map[string]int{}
	for _, o := range w.sortedWorkers() {
		if o.dead || w.now.Sub(o.leaseAt).Seconds() > w.set.Workers.LeaseS {
			continue // its lease is over; it will notice when it goes on
		}
		for _, tries := range o.pieces {
			for _, q := range tries {
				if q == p || !q.onMachine() {
					continue
				}
				if q.id == p.id && o != k {
					w.broken("ran_twice: %s starts on %s (try %d) while on %s (try %d)", p.id, k.host, p.try, o.host, q.try)
				}
				t := w.jobs[q.id.Job]
				if t.spec.Team == s.Team {
					cpus += t.spec.VCPUs
				}
				if q.id.Job == p.id.Job {
					zones[o.m.site]++
				}
			}
		}
	}
	for _, t := range w.set.Teams {
		if t.Name == s.Team && t.CPUsMax > 0 && cpus+s.VCPUs > t.CPUsMax+1e-6 {
			w.broken("quota: %s uses %v of %v with %s", t.Name, cpus+s.VCPUs, t.CPUsMax, p.id)
		}
	}
	site := k.m.site
	switch {
	case s.Zone != nil && *s.Zone != site:
		w.broken("wrong_place: %s in %s", p.id, site)
	case k.m.standby && !s.Spot:
		w.broken("wrong_place: %s on a spot machine", p.id)
	case s.Spread && zones[site]+1 > (s.Tasks+1)/2:
		w.broken("wrong_place: %s is one of %d in %s", p.id, zones[site]+1, site)
	}
	if s.OneZone {
		for z, n := range zones {
			if z != site && n > 0 {
				w.broken("wrong_place: %s in %s, others in %s", p.id, site, z)
			}
		}
	}
	if j.cancelTold > 0 && w.now.Sub(j.cancelTold).Seconds() > w.set.Workers.CancelS {
		w.broken("ran_cancelled: %s starts", p.id)
	}
}
