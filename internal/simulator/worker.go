package simulator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// worker is a machine's worker.
type worker struct {
	sim               *Simulation
	machine           *machine
	id                ident.MachineID
	dead              bool
	hungUntil         ident.MonotonicTime
	incarnation       ident.Incarnation
	sequence          ident.SequenceNumber
	token             ident.FencingToken
	leaseRenewedAt    ident.MonotonicTime
	reclaimAt         ident.MonotonicTime
	nodeIndex         int
	tasks             map[ident.TaskID]map[ident.Attempt]*task
	images            map[string]bool
	heartbeatInFlight bool // a report is under way
	lastHeartbeat     ident.MonotonicTime
	faulty            bool
	slowdown          float64 // how many times as long arrays' tasks take
}

type task struct {
	id            ident.TaskID
	attempt       ident.Attempt
	status        api.TaskStatus
	cause         api.Cause
	stored        bool
	reusesAttempt bool // of the mutation ReuseGangAttempt
	generation    int
	startedAt     ident.MonotonicTime // when it started to run
}

// slowFactor is that of slow machines.
const slowFactor = 4

func newWorker(sim *Simulation, m *machine) *worker {
	w := &worker{sim: sim, machine: m, id: m.id, incarnation: 1, leaseRenewedAt: sim.now, nodeIndex: sim.rng.IntN(len(sim.nodes)),
		tasks: map[ident.TaskID]map[ident.Attempt]*task{}, images: map[string]bool{}, faulty: sim.cfg.Faults && sim.rng.IntN(25) == 0, slowdown: 1}
	if len(sim.workers) < sim.cfg.SlowMachines && sim.slowMachineCount < sim.cfg.SlowMachines {
		sim.slowMachineCount++
		w.slowdown = slowFactor
	}
	sim.workers[m.id] = w
	sim.sortedByID = nil
	w.tick()
	return w
}

// whenResponsive runs f once the machine doesn't hang.
func (w *worker) whenResponsive(f func()) {
	if w.dead {
		return
	}
	if w.sim.now < w.hungUntil {
		w.sim.schedule(w.hungUntil.Sub(w.sim.now)+time.Millisecond, func() { w.whenResponsive(f) })
		return
	}
	w.checkLease()
	f()
}

func (w *worker) hangFor(d time.Duration) {
	w.sim.logf("%s hangs for %v", w.id, d)
	w.hungUntil = max(w.hungUntil, w.sim.now.Add(d))
}

func (w *worker) announceReclaim(d time.Duration) { w.reclaimAt = w.sim.now.Add(d) }

// checkLease ends the session when its time is over.
func (w *worker) checkLease() {
	if w.sim.now.Sub(w.leaseRenewedAt) > time.Duration(w.sim.settings.Workers.LeaseS*float64(time.Second)) {
		w.sim.logf("%s: lease over, with %d tasks", w.id, len(w.tasks))
		w.sim.TasksLostWithLease += len(w.tasks)
		w.beginIncarnation()
	}
}

// tick reports now and then.
func (w *worker) tick() {
	if w.dead {
		return
	}
	w.whenResponsive(func() {
		if !w.heartbeatInFlight && w.sim.now.Sub(w.lastHeartbeat) >= time.Duration(w.sim.settings.Workers.HeartbeatS*900)*time.Millisecond {
			w.sendHeartbeat()
		}
	})
	w.sim.schedule(250*time.Millisecond, w.tick)
}

// expediteHeartbeat brings the next report forward.
func (w *worker) expediteHeartbeat() {
	w.lastHeartbeat = min(w.lastHeartbeat, w.sim.now.Add(-2500*time.Millisecond))
}

func (w *worker) buildHeartbeat() *api.Heartbeat {
	w.sequence++
	r := &api.Heartbeat{MachineID: w.id, Addr: string(w.id), Model: "m8", Zone: w.machine.zone, Spot: w.machine.spot,
		Incarnation: w.incarnation, SequenceNumber: w.sequence, FencingToken: w.token}
	if w.reclaimAt > 0 {
		s := w.reclaimAt.Sub(w.sim.now).Seconds()
		r.ReclaimNoticeS = &s
	}
	for _, tries := range w.tasks {
		for _, t := range tries {
			if w.sim.cfg.Mutation == HideWaitingGangTasks && t.status == api.Gathering {
				continue
			}
			r.Tasks = append(r.Tasks, api.TaskReport{TaskID: t.id, Attempt: t.attempt, Status: t.status, Cause: t.cause, CheckpointStored: t.stored})
		}
	}
	slices.SortFunc(r.Tasks, func(a, b api.TaskReport) int {
		return cmp.Or(cmp.Compare(a.TaskID.Job, b.TaskID.Job), cmp.Compare(a.TaskID.Index, b.TaskID.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	return r
}

func (w *worker) sendHeartbeat() {
	w.heartbeatInFlight = true
	w.lastHeartbeat = w.sim.now
	sentAt, incarnation := w.sim.now, w.incarnation
	n := w.sim.nodes[w.nodeIndex]
	m := w.buildHeartbeat()
	w.duplicateLate(m)
	w.sim.duplicateHeartbeat(m)
	w.sim.request(string(w.id), n, transport.WorkerHeartbeat, "", api.JSON(m), 4*time.Second, func(r *controller.Response) {
		if w.dead {
			return
		}
		// A hanging machine comes back to the answer later.
		w.whenResponsive(func() {
			if r != nil && r.Status == 200 && w.sim.now.Sub(sentAt) <= 4*time.Second {
				w.heartbeatInFlight = false
				var o api.HeartbeatResponse
				if json.Unmarshal(r.Body, &o) != nil || incarnation != w.incarnation || !w.acceptToken(o.FencingToken) {
					return
				}
				w.leaseRenewedAt = sentAt
				w.execute(o.Commands)
				return
			}
			if r != nil && r.Status == 421 {
				var home struct {
					Home string `json:"home"`
				}
				json.Unmarshal(r.Body, &home)
				for i, o := range w.sim.nodes {
					if o.name == home.Home && i != w.nodeIndex {
						w.nodeIndex = i
						w.heartbeatInFlight = false
						w.lastHeartbeat = 0
						return
					}
				}
			}
			w.sim.schedule(time.Second, func() {
				w.nodeIndex = (w.nodeIndex + 1) % len(w.sim.nodes)
				w.heartbeatInFlight = false
				w.lastHeartbeat = 0
			})
		})
	})
}

// duplicateLate has a copy of a report come late now and then, up to twice the lease,
// whatever has become of the machine. Nobody waits for its answer.
func (w *worker) duplicateLate(m *api.Heartbeat) {
	sim := w.sim
	if !sim.cfg.Faults || sim.now > ident.MonotonicTime(sim.cfg.ActiveDuration) || sim.rng.IntN(30) > 0 {
		return
	}
	late := time.Duration(sim.rng.Float64() * 2 * sim.settings.Workers.LeaseS * float64(time.Second))
	sim.schedule(late, func() { sim.deliverStaleHeartbeat(m, sim.nodes[sim.rng.IntN(len(sim.nodes))]) })
}

// restart ends the worker with all its tasks; it is back at once, in its next
// session.
func (w *worker) restart() {
	w.sim.logf("%s restarts", w.id)
	w.beginIncarnation()
	w.lastHeartbeat = 0
}

// beginIncarnation begins the next one, without any task.
func (w *worker) beginIncarnation() {
	w.tasks = map[ident.TaskID]map[ident.Attempt]*task{}
	w.images = map[string]bool{}
	w.incarnation++
	w.sequence = 0
	w.leaseRenewedAt = w.sim.now
}

// acceptToken checks and notes a token.
func (w *worker) acceptToken(e ident.FencingToken) bool {
	if e < w.token && w.sim.cfg.Mutation != IgnoreFencingTokens {
		return false
	}
	if e > w.token {
		w.token = e
		w.expediteHeartbeat()
	}
	return true
}

func (w *worker) handleCommands(c api.CommandRequest, reply func(any)) {
	if w.sim.now < w.sim.outboundBlockedUntil[string(w.id)] {
		w.sim.countEvent("command to a mute machine")
	}
	if c.Incarnation != w.incarnation || !w.acceptToken(c.FencingToken) {
		reply(workers.CommandResult{Status: 409, Heartbeat: w.buildHeartbeat()})
		return
	}
	w.execute(c.Commands)
	reply(workers.CommandResult{Status: 200, Heartbeat: w.buildHeartbeat()})
}

func (w *worker) execute(orders []api.Command) {
	for _, o := range orders {
		t := w.tasks[o.TaskID][o.Attempt]
		switch o.Verb {
		case api.Launch:
			if j := w.sim.jobs[o.TaskID.Job]; w.sim.cfg.Mutation == ReuseGangAttempt && j != nil && j.spec.Shape == api.Gang {
				w.executeReusingAttempt(o)
				continue
			}
			if t == nil {
				w.launch(o.TaskID, o.Attempt)
			}
		case api.Kill:
			if t != nil && t.status != api.Ended {
				w.kill(t, o.GracePeriodS)
			}
		case api.Clear:
			if t != nil && t.status == api.Ended {
				delete(w.tasks[o.TaskID], o.Attempt)
				if len(w.tasks[o.TaskID]) == 0 {
					delete(w.tasks, o.TaskID)
				}
			}
		}
		w.expediteHeartbeat()
	}
}

// kill stops a task; one that saves is ended by a second kill without time for it.
func (w *worker) kill(t *task, windDown *float64) {
	j := w.sim.jobs[t.id.Job]
	d := 0.0
	if windDown != nil {
		d = *windDown
	}
	if j == nil || j.spec.Shape != api.Gang {
		w.stop(t, j, d)
		return
	}
	if t.status == api.Flushing && d > 0 {
		return // it saves already
	}
	if w.sim.cfg.Mutation == StopPartOfGang && d > 0 && t.id.Index > 0 {
		return
	}
	w.sim.gang(j, t.attempt).kill(w, t, d)
}

// stop ends a task of an array or a service; one of an array that has the time for it saves
// its progress first.
func (w *worker) stop(t *task, j *userJob, windDown float64) {
	if j != nil {
		j.recordStop(t)
	}
	if j == nil || j.spec.Shape != api.Batch || !j.spec.CanCheckpoint() || windDown < j.spec.CheckpointS || t.status == api.Pulling {
		if j != nil && t.status == api.Running {
			j.lostWork += w.sim.now.Sub(t.startedAt)
		}
		w.endTask(t, api.CauseStopped)
		return
	}
	if t.status == api.Flushing {
		return // it saves already
	}
	ran := time.Duration(float64(w.sim.now.Sub(t.startedAt)) / w.slowdown)
	t.status = api.Flushing
	t.generation++
	w.expediteHeartbeat()
	w.scheduleStep(t, seconds(j.spec.CheckpointS), func() {
		j.checkpointed[t.id.Index] += ran
		t.stored = true
		w.endTask(t, api.CauseStopped)
	})
}

func (w *worker) endTask(t *task, c api.Cause) {
	t.status, t.cause = api.Ended, c
	t.generation++
	w.expediteHeartbeat()
}

// usedCPUs returns the CPUs of the tasks that have not exited.
func (w *worker) usedCPUs() float64 {
	cpus := 0.0
	for _, tries := range w.tasks {
		for _, o := range tries {
			if o.status != api.Ended {
				cpus += w.sim.jobs[o.id.Job].spec.VCPUs
			}
		}
	}
	return cpus
}

func (w *worker) launch(id ident.TaskID, try ident.Attempt) {
	t := &task{id: id, attempt: try, status: api.Pulling}
	busy := false
	for _, o := range w.tasks[id] {
		busy = busy || o.status != api.Ended
	}
	cpus := w.usedCPUs()
	if w.tasks[id] == nil {
		w.tasks[id] = map[ident.Attempt]*task{}
	}
	w.tasks[id][try] = t
	j := w.sim.jobs[id.Job]
	switch {
	case j == nil || id.Index >= j.spec.Tasks:
		w.endTask(t, api.CauseUnknown)
	case busy:
		w.endTask(t, api.CauseBusy)
	case cpus+j.spec.VCPUs > w.sim.cloud.models[0].VCPUs+1e-6:
		w.endTask(t, api.CauseNoCapacity)
	default:
		d := time.Millisecond
		if !w.images[j.spec.Image] {
			d = time.Duration(500+w.sim.rng.IntN(3000)) * time.Millisecond
		}
		w.scheduleStep(t, d, func() {
			w.images[j.spec.Image] = true
			if j.spec.Shape == api.Gang && !w.faulty {
				try := t.attempt
				if t.reusesAttempt {
					try = 1
				}
				w.sim.gang(j, try).join(w, t)
				return
			}
			t.status, t.startedAt = api.Running, w.sim.now
			w.expediteHeartbeat()
			w.sim.checkTaskStart(w, t)
			if j.done[id.Index] {
				w.scheduleStep(t, time.Millisecond, func() { w.endTask(t, api.CauseDone) })
				return
			}
			if w.faulty || j.alwaysFails {
				j.failures++
				w.scheduleStep(t, time.Second, func() { w.endTask(t, api.CauseError) })
				return
			}
			if j.spec.Shape == api.Batch {
				left := float64(j.durationOf(id.Index) - j.checkpointed[id.Index])
				w.scheduleStep(t, max(time.Millisecond, time.Duration(left*w.slowdown)), func() {
					j.done[id.Index] = true
					w.endTask(t, api.CauseDone)
					w.sim.onTaskCompleted(j)
				})
			}
		})
	}
}

// executeReusingAttempt is the mutation that numbers every attempt of a gang alike.
func (w *worker) executeReusingAttempt(o api.Command) {
	if t := w.tasks[o.TaskID][o.Attempt]; t != nil {
		return
	}
	w.launch(o.TaskID, o.Attempt)
	if t := w.tasks[o.TaskID][o.Attempt]; t != nil && t.status != api.Ended {
		t.reusesAttempt = true
	}
}

// scheduleStep does something with a task later, unless it or its session ends before.
func (w *worker) scheduleStep(t *task, d time.Duration, f func()) {
	gen, incarnation := t.generation, w.incarnation
	w.sim.schedule(d, func() {
		w.whenResponsive(func() {
			if !w.dead && w.incarnation == incarnation && t.generation == gen && t.status != api.Ended {
				f()
			}
		})
	})
}

// taskCount returns how many tasks of a job are on the machine.
func (w *worker) taskCount(id ident.JobID) int {
	n := 0
	for p, tries := range w.tasks {
		for _, o := range tries {
			if p.Job == id && o.onMachine() {
				n++
			}
		}
	}
	return n
}

// onMachine is the protocol's word: from the image until the exit.
func (t *task) onMachine() bool {
	return t.status == api.Running || t.status == api.Flushing || t.status == api.Gathering
}

// launchBeforeCommit is the mutation that launches what a transaction is only about to
// make durable.
func (sim *Simulation) launchBeforeCommit(from string, r kvstore.Request) {
	for _, c := range r.Mutations {
		var v struct {
			Text string `json:"t"`
		}
		if !strings.HasPrefix(c.Put, commit.LogPrefix) || json.Unmarshal(c.Value, &v) != nil {
			continue
		}
		commit.ParseText(v.Text, func(id, line string) error {
			var i int
			var try ident.Attempt
			var incarnation ident.Incarnation
			f := strings.Split(line, ",")
			if len(f) != 4 {
				return nil
			}
			fmt.Sscan(f[0]+" "+f[1]+" "+f[3], &i, &try, &incarnation)
			w := sim.workers[ident.MachineID(f[2])]
			if w == nil {
				return nil
			}
			sim.deliver(from, f[2], func() {
				w.whenResponsive(func() {
					taskID := ident.TaskID{Job: ident.JobID(id), Index: i}
					if w.incarnation == incarnation && w.tasks[taskID][try] == nil {
						w.launch(taskID, try)
					}
				})
			})
			return nil
		})
	}
}
