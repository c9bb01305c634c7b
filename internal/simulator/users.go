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

// userJob is a job with its user, who remembers what it was told.
type userJob struct {
	spec                api.Spec
	duration            time.Duration
	alwaysFails         bool                                    // its tasks fail on every machine
	failures            int                                     // that failed for it
	durationStep        time.Duration                           // by which each task runs longer than the one before
	idleCapacitySince   ident.MonotonicTime                     // since when it waits beside room for it, 0: it doesn't
	checkpointedSeconds float64                                 // progress of a gang that is safe, in seconds
	checkpointed        map[int]time.Duration                   // progress of an array's tasks that is safe
	lostWork            time.Duration                           // of its tasks' run time, by stops without saving
	stops               map[ident.TaskID]map[ident.Attempt]bool // attempts that a command has stopped before the job was called off
	done                []bool
	submitted           bool
	accepted            bool
	lastStatus          api.Status
	lastStatusAt        ident.MonotonicTime
	cancelSentAt        ident.MonotonicTime
	cancelConfirmedAt   ident.MonotonicTime
	submittedAt         ident.MonotonicTime
	acceptedAt          ident.MonotonicTime
	firstStartAt        ident.MonotonicTime // when its first task started, 0: not yet
	lastAnsweredAt      ident.MonotonicTime // when a question about it was last answered
}

func (j *userJob) durationOf(i int) time.Duration {
	return j.duration + time.Duration(i)*j.durationStep
}

// generateArrivals submits jobs, more at the start.
func (w *Simulation) generateArrivals() {
	if w.now > ident.MonotonicTime(w.cfg.ActiveDuration) {
		return
	}
	w.submitRandomJob()
	d := time.Duration(500+w.rng.IntN(14_000)) * time.Millisecond
	if w.lastJobNumber < 5 {
		d = 10 * time.Millisecond
	}
	w.schedule(d, w.generateArrivals)
}

func (w *Simulation) submitRandomJob() {
	w.lastJobNumber++
	r := w.rng
	s := api.Spec{ID: ident.JobID(fmt.Sprintf("j-%06d", w.lastJobNumber)), Class: "lane", Team: w.settings.Teams[r.IntN(3)].Name,
		Shape: api.Batch, Priority: api.Standard, Tasks: 1 + r.IntN(6), VCPUs: float64(1 + r.IntN(4)), MemoryGB: 2,
		Image: fmt.Sprintf("img-%d", r.IntN(3)), ImageGB: 1.5, Spot: r.IntN(3) > 0, RuntimeS: 20}
	switch r.IntN(6) {
	case 0:
		s.OneZone = true
		s.Tasks = min(s.Tasks, 3)
	case 1:
		s.Spread = true
	case 2:
		z := w.settings.Zones[r.IntN(2)]
		s.Zone = &z
	}
	if r.IntN(3) == 0 && w.activeReplicas(s.Team) < 4 { // services must leave their team room for arrays
		s.Shape, s.Priority, s.Spot, s.RuntimeS = api.Service, api.Critical, false, 0
		s.Tasks = 1 + r.IntN(2)
		s.VCPUs = 1
	}
	if r.IntN(40) == 0 {
		s.Tasks, s.VCPUs = 200, 0.1 // more than a header holds
		s.Shape, s.Priority, s.OneZone = api.Batch, api.Standard, false
	}
	if gangs := 12; w.gangsSupported() && r.IntN(gangs) < 2 || w.cfg.MoreGangs && r.IntN(2) == 0 {
		s.Shape, s.Priority, s.Spot, s.Spread, s.VCPUs = api.Gang, []api.Priority{api.High, api.Standard}[r.IntN(2)], r.IntN(3) == 0, false, 1
		s.Tasks, s.RuntimeS = 2+r.IntN(5), 40
		s.OneZone = r.IntN(3) > 0
		if r.IntN(4) > 0 {
			s.CheckpointEveryS, s.CheckpointS = 8, 2
		}
	}
	j := &userJob{spec: s, duration: time.Duration(2000+r.IntN(40_000)) * time.Millisecond, done: make([]bool, s.Tasks)}
	if w.cfg.ConcurrentFaults && s.Shape == api.Batch && r.IntN(12) == 0 {
		j.alwaysFails = true
		w.schedule(time.Duration(20+r.IntN(100))*time.Second, func() { w.cancelWhenAccepted(j, nil) })
	}
	w.registerJob(j)
	if j.alwaysFails {
		return
	}
	if r.IntN(3) == 0 || s.Shape == api.Service && r.IntN(2) == 0 {
		w.schedule(time.Duration(r.IntN(80_000))*time.Millisecond, func() {
			if j.accepted {
				j.cancelSentAt = w.now
				w.cancel(j)
			}
		})
	}
}

// recordStop notes that a command stops an attempt.
func (j *userJob) recordStop(p *task) {
	if j.cancelSentAt > 0 {
		return
	}
	if j.stops == nil {
		j.stops = map[ident.TaskID]map[ident.Attempt]bool{}
	}
	if j.stops[p.id] == nil {
		j.stops[p.id] = map[ident.Attempt]bool{}
	}
	j.stops[p.id][p.attempt] = true
}

// stopCount returns how many attempts of a job's tasks were stopped by commands.
func (j *userJob) stopCount() int {
	n := 0
	for _, attempts := range j.stops {
		n += len(attempts)
	}
	return n
}

// registerJob submits a job.
func (w *Simulation) registerJob(j *userJob) {
	if j.checkpointed == nil {
		j.checkpointed = map[int]time.Duration{}
	}
	j.submittedAt = w.now
	w.jobs[j.spec.ID] = j
	w.jobOrder = append(w.jobOrder, j.spec.ID)
	w.submit(j, w.now.Add(60*time.Second))
}

// generateOverload submits more small jobs of a team than its limit can take, and now and
// then a job whose tasks are large, and one of a team without a guarantee.
func (w *Simulation) generateOverload() {
	if w.now > ident.MonotonicTime(w.cfg.ActiveDuration) {
		return
	}
	w.lastJobNumber++
	s := api.Spec{ID: ident.JobID(fmt.Sprintf("j-%06d", w.lastJobNumber)), Class: "lane", Team: "red", Shape: api.Batch, Priority: api.Standard,
		Tasks: 2, VCPUs: 2, MemoryGB: 2, Image: "img-0", ImageGB: 1.5, Spot: true, RuntimeS: 10}
	runs := 10 * time.Second
	if w.lastJobNumber%40 == 20 {
		s.Tasks, s.VCPUs, s.RuntimeS, runs = 3, 7.5, 30, 30*time.Second
		if w.lastJobNumber%80 == 20 {
			s.Spread = true
		} else {
			s.OneZone, s.Team, s.VCPUs, s.Tasks = true, "grey", 8, 2
		}
	}
	w.registerJob(&userJob{spec: s, duration: runs, done: make([]bool, s.Tasks)})
	w.schedule(600*time.Millisecond, w.generateOverload)
}

// activeReplicas counts a team's replicas that nobody has cancelled.
func (w *Simulation) activeReplicas(team string) int {
	n := 0
	for _, j := range w.jobs {
		if j.spec.Team == team && j.spec.Shape == api.Service && j.lastStatus != "cancelled" {
			n += j.spec.Tasks
		}
	}
	return n
}

// randomNode returns a node that accepts connections, if there is one.
func (w *Simulation) randomNode() *node {
	for range 3 {
		if n := w.nodes[w.rng.IntN(len(w.nodes))]; n.alive {
			return n
		}
	}
	return w.nodes[0]
}

func (w *Simulation) submit(j *userJob, until ident.MonotonicTime) {
	w.submitTo(j, until, w.randomNode())
}

// resubmitAt repeats the submission of a job at a node, once.
func (w *Simulation) resubmitAt(j *userJob, n *node) { w.submitTo(j, 0, n) }

func (w *Simulation) submitTo(j *userJob, until ident.MonotonicTime, n *node) {
	j.submitted = true
	asked := w.now
	w.request("users", n, transport.SubmitJob, "", api.JSON(j.spec), 5*time.Second, func(r *controller.Response) {
		if r != nil && (r.Status == 200 || r.Status == 201) {
			if !j.accepted {
				j.accepted, j.acceptedAt = true, w.now
				w.poll(j)
				w.probeAllNodes(j)
			}
			w.checkAnswer(j, r, asked)
			if w.rng.IntN(6) == 0 { // asked again, much later
				w.schedule(time.Duration(w.rng.IntN(60_000))*time.Millisecond, func() { w.submit(j, 0) })
			}
			return
		}
		if r != nil && (r.Status == 400 || r.Status == 422) {
			w.reportViolation("%s: a submission that is in order got %d %s", j.spec.ID, r.Status, r.Body)
		}
		if w.now < until {
			w.schedule(time.Second, func() { w.submit(j, until) })
		}
	})
}

func (w *Simulation) poll(j *userJob) {
	if quiescentFrom := ident.MonotonicTime(w.cfg.ActiveDuration + faultDrainTime); w.now > quiescentFrom && w.now.Sub(max(j.lastAnsweredAt, quiescentFrom)) > maxStatusGap {
		w.reportViolation("forgotten: nothing about %s was answered for %v", j.spec.ID, w.now.Sub(max(j.lastAnsweredAt, quiescentFrom)))
	}
	if w.cfg.Mutation == StarvePolls && w.now > ident.MonotonicTime(w.cfg.ActiveDuration) && j.spec.Tasks%2 == 0 {
		w.schedule(5*time.Second, func() { w.poll(j) })
		return
	}
	w.queryStatus(j, w.randomNode(), func() {
		w.schedule(4*time.Second+time.Duration(w.rng.IntN(1500))*time.Millisecond, func() { w.poll(j) })
	})
	if w.rng.IntN(20) == 0 {
		id := fmt.Sprintf("j-9%05d", w.rng.IntN(1000))
		w.request("users", w.randomNode(), transport.GetJob, id, nil, 2*time.Second, func(r *controller.Response) {
			if r != nil && r.Status == 200 {
				w.reportViolation("invented: %s got 200", id)
			}
		})
	}
}

// pollNode asks a node about a job once.
func (w *Simulation) pollNode(j *userJob, n *node) { w.queryStatus(j, n, func() {}) }

func (w *Simulation) queryStatus(j *userJob, n *node, then func()) {
	asked := w.now
	w.request("users", n, transport.GetJob, string(j.spec.ID), nil, 2*time.Second, func(r *controller.Response) {
		if r != nil {
			if r.Status == 404 {
				w.reportViolation("forgotten: %s got 404", j.spec.ID)
			}
			if r.Status == 200 {
				j.lastAnsweredAt = w.now
				w.checkAnswer(j, r, asked)
			}
		}
		then()
	})
}

func (w *Simulation) cancel(j *userJob) { w.cancelAt(j, nil) }

// cancelAt cancels a job at a node, or at any.
func (w *Simulation) cancelAt(j *userJob, at *node) {
	asked := w.now
	n := at
	if n == nil {
		n = w.randomNode()
	}
	w.request("users", n, transport.CancelJob, string(j.spec.ID), nil, 5*time.Second, func(r *controller.Response) {
		if r != nil && r.Status == 200 {
			w.checkAnswer(j, r, asked)
			return
		}
		if r != nil && r.Status == 404 {
			w.reportViolation("forgotten: cancelling %s got 404", j.spec.ID)
		}
		w.schedule(time.Second, func() { w.cancelAt(j, at) })
	})
}

// checkAnswer checks an answer against what the user knew when asking: requests that
// overlap have no order.
func (w *Simulation) checkAnswer(j *userJob, r *controller.Response, asked ident.MonotonicTime) {
	var v api.JobView
	if err := json.Unmarshal(r.Body, &v); err != nil || v.ID != j.spec.ID {
		w.reportViolation("%s: unreadable answer %s", j.spec.ID, r.Body)
		return
	}
	if isTerminal(j.lastStatus) && v.Status != j.lastStatus && asked > j.lastStatusAt {
		w.reportViolation("went_back: %s was %s, is %s", j.spec.ID, j.lastStatus, v.Status)
	}
	if v.Status == "cancelled" && j.cancelSentAt == 0 {
		w.reportViolation("went_back: %s was not cancelled by its user", j.spec.ID)
	}
	if v.Status == "done" {
		for i, d := range j.done {
			if !d {
				w.reportViolation("not_done: %s is called done, task %d is not", j.spec.ID, i)
				break
			}
		}
	}
	if v.Status == "cancelled" && j.cancelConfirmedAt == 0 {
		j.cancelConfirmedAt = w.now
		limit := time.Duration(w.settings.Workers.CancelS * float64(time.Second))
		w.schedule(limit+time.Millisecond, func() {
			for _, k := range w.sortedWorkers() {
				if k.sim.now < k.hungUntil && k.sim.now.Sub(k.leaseRenewedAt).Seconds() > w.settings.Workers.LeaseS {
					continue // over with its lease, though the machine hasn't noticed
				}
				if k.taskCount(j.spec.ID) > 0 {
					w.reportViolation("ran_cancelled: %s is still on %s", j.spec.ID, k.id)
				}
			}
		})
	}
	if !isTerminal(j.lastStatus) {
		j.lastStatus, j.lastStatusAt = v.Status, w.now
		if isTerminal(j.lastStatus) {
			w.probeAllNodes(j)
		}
	}
}

func isTerminal(s api.Status) bool { return s == "done" || s == "cancelled" }

const (
	// faultDrainTime is how long after the last fault's beginning all are over.
	faultDrainTime = 50 * time.Second
	// maxStatusGap is how long a user may go without an answer then.
	maxStatusGap = 75 * time.Second
	// maxStartDelay is how long the largest jobs may wait for their first task.
	maxStartDelay = 4 * time.Minute
)

// checkTaskStart checks the rules at the start of a task on k.
func (w *Simulation) checkTaskStart(k *worker, p *task) {
	w.TaskStarts++
	j := w.jobs[p.id.Job]
	s := &j.spec
	if j.firstStartAt == 0 {
		j.firstStartAt = w.now
	}
	cpus := 0.0
	zones := map[string]int{}
	for _, o := range w.sortedWorkers() {
		if o.dead || w.now.Sub(o.leaseRenewedAt).Seconds() > w.settings.Workers.LeaseS {
			continue // its lease is over; it will notice when it goes on
		}
		for _, tries := range o.tasks {
			for _, q := range tries {
				if q == p || !q.onMachine() {
					continue
				}
				if q.id == p.id && o != k {
					w.reportViolation("ran_twice: %s starts on %s (try %d) while on %s (try %d)", p.id, k.id, p.attempt, o.id, q.attempt)
				}
				t := w.jobs[q.id.Job]
				if t.spec.Team == s.Team {
					cpus += t.spec.VCPUs
				}
				if q.id.Job == p.id.Job {
					zones[o.machine.zone]++
				}
			}
		}
	}
	for _, t := range w.settings.Teams {
		if t.Name == s.Team && t.CPUsMax > 0 && cpus+s.VCPUs > t.CPUsMax+1e-6 {
			w.reportViolation("quota: %s uses %v of %v with %s", t.Name, cpus+s.VCPUs, t.CPUsMax, p.id)
		}
	}
	zone := k.machine.zone
	switch {
	case s.Zone != nil && *s.Zone != zone:
		w.reportViolation("wrong_place: %s in %s", p.id, zone)
	case k.machine.spot && !s.Spot:
		w.reportViolation("wrong_place: %s on a spot machine", p.id)
	case s.Spread && zones[zone]+1 > (s.Tasks+1)/2:
		w.reportViolation("wrong_place: %s is one of %d in %s", p.id, zones[zone]+1, zone)
	}
	if s.OneZone {
		for z, n := range zones {
			if z != zone && n > 0 {
				w.reportViolation("wrong_place: %s in %s, others in %s", p.id, zone, z)
			}
		}
	}
	if j.cancelConfirmedAt > 0 && w.now.Sub(j.cancelConfirmedAt).Seconds() > w.settings.Workers.CancelS {
		w.reportViolation("ran_cancelled: %s starts", p.id)
	}
}
