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
	k := &worker{sim: sim, machine: m, id: m.id, incarnation: 1, leaseRenewedAt: sim.now, nodeIndex: sim.rng.IntN(len(sim.nodes)),
		tasks: map[ident.TaskID]map[ident.Attempt]*task{}, images: map[string]bool{}, faulty: sim.cfg.Faults && sim.rng.IntN(25) == 0, slowdown: 1}
	if len(sim.workers) < sim.cfg.SlowMachines && sim.slowMachineCount < sim.cfg.SlowMachines {
		sim.slowMachineCount++
		k.slowdown = slowFactor
	}
	sim.workers[m.id] = k
	sim.sortedByID = nil
	k.tick()
	return k
}

// whenResponsive runs f once the machine doesn't hang.
func (k *worker) whenResponsive(f func()) {
	if k.dead {
		return
	}
	if k.sim.now < k.hungUntil {
		k.sim.schedule(k.hungUntil.Sub(k.sim.now)+time.Millisecond, func() { k.whenResponsive(f) })
		return
	}
	k.checkLease()
	f()
}

func (k *worker) hangFor(d time.Duration) {
	k.sim.logf("%s hangs for %v", k.id, d)
	k.hungUntil = max(k.hungUntil, k.sim.now.Add(d))
}

func (k *worker) announceReclaim(d time.Duration) { k.reclaimAt = k.sim.now.Add(d) }

// checkLease ends the session when its time is over.
func (k *worker) checkLease() {
	if k.sim.now.Sub(k.leaseRenewedAt) > time.Duration(k.sim.settings.Workers.LeaseS*float64(time.Second)) {
		k.sim.logf("%s: lease over, with %d tasks", k.id, len(k.tasks))
		k.sim.TasksLostWithLease += len(k.tasks)
		k.beginIncarnation()
	}
}

// tick reports now and then.
func (k *worker) tick() {
	if k.dead {
		return
	}
	k.whenResponsive(func() {
		if !k.heartbeatInFlight && k.sim.now.Sub(k.lastHeartbeat) >= time.Duration(k.sim.settings.Workers.HeartbeatS*900)*time.Millisecond {
			k.sendHeartbeat()
		}
	})
	k.sim.schedule(250*time.Millisecond, k.tick)
}

// expediteHeartbeat brings the next report forward.
func (k *worker) expediteHeartbeat() {
	k.lastHeartbeat = min(k.lastHeartbeat, k.sim.now.Add(-2500*time.Millisecond))
}

func (k *worker) buildHeartbeat() *api.Heartbeat {
	k.sequence++
	r := &api.Heartbeat{MachineID: k.id, Addr: string(k.id), Model: "m8", Zone: k.machine.zone, Spot: k.machine.spot,
		Incarnation: k.incarnation, SequenceNumber: k.sequence, FencingToken: k.token}
	if k.reclaimAt > 0 {
		s := k.reclaimAt.Sub(k.sim.now).Seconds()
		r.ReclaimNoticeS = &s
	}
	for _, tries := range k.tasks {
		for _, p := range tries {
			if k.sim.cfg.Mutation == HideWaitingGangTasks && p.status == api.Gathering {
				continue
			}
			r.Tasks = append(r.Tasks, api.TaskReport{TaskID: p.id, Attempt: p.attempt, Status: p.status, Cause: p.cause, CheckpointStored: p.stored})
		}
	}
	slices.SortFunc(r.Tasks, func(a, b api.TaskReport) int {
		return cmp.Or(cmp.Compare(a.TaskID.Job, b.TaskID.Job), cmp.Compare(a.TaskID.Index, b.TaskID.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	return r
}

func (k *worker) sendHeartbeat() {
	k.heartbeatInFlight = true
	k.lastHeartbeat = k.sim.now
	sentAt, incarnation := k.sim.now, k.incarnation
	n := k.sim.nodes[k.nodeIndex]
	m := k.buildHeartbeat()
	k.duplicateLate(m)
	k.sim.duplicateHeartbeat(m)
	k.sim.request(string(k.id), n, transport.WorkerHeartbeat, "", api.JSON(m), 4*time.Second, func(r *controller.Response) {
		if k.dead {
			return
		}
		// A hanging machine comes back to the answer later.
		k.whenResponsive(func() {
			if r != nil && r.Status == 200 && k.sim.now.Sub(sentAt) <= 4*time.Second {
				k.heartbeatInFlight = false
				var o api.HeartbeatResponse
				if json.Unmarshal(r.Body, &o) != nil || incarnation != k.incarnation || !k.acceptToken(o.FencingToken) {
					return
				}
				k.leaseRenewedAt = sentAt
				k.execute(o.Commands)
				return
			}
			if r != nil && r.Status == 421 {
				var home struct {
					Home string `json:"home"`
				}
				json.Unmarshal(r.Body, &home)
				for i, o := range k.sim.nodes {
					if o.name == home.Home && i != k.nodeIndex {
						k.nodeIndex = i
						k.heartbeatInFlight = false
						k.lastHeartbeat = 0
						return
					}
				}
			}
			k.sim.schedule(time.Second, func() {
				k.nodeIndex = (k.nodeIndex + 1) % len(k.sim.nodes)
				k.heartbeatInFlight = false
				k.lastHeartbeat = 0
			})
		})
	})
}

// duplicateLate has a copy of a report come late now and then, up to twice the lease,
// whatever has become of the machine. Nobody waits for its answer.
func (k *worker) duplicateLate(m *api.Heartbeat) {
	sim := k.sim
	if !sim.cfg.Faults || sim.now > ident.MonotonicTime(sim.cfg.ActiveDuration) || sim.rng.IntN(30) > 0 {
		return
	}
	late := time.Duration(sim.rng.Float64() * 2 * sim.settings.Workers.LeaseS * float64(time.Second))
	sim.schedule(late, func() { sim.deliverStaleHeartbeat(m, sim.nodes[sim.rng.IntN(len(sim.nodes))]) })
}

// restart ends the worker with all its tasks; it is back at once, in its next
// session.
func (k *worker) restart() {
	k.sim.logf("%s restarts", k.id)
	k.beginIncarnation()
	k.lastHeartbeat = 0
}

// beginIncarnation begins the next one, without any task.
func (k *worker) beginIncarnation() {
	k.tasks = map[ident.TaskID]map[ident.Attempt]*task{}
	k.images = map[string]bool{}
	k.incarnation++
	k.sequence = 0
	k.leaseRenewedAt = k.sim.now
}

// acceptToken checks and notes a token.
func (k *worker) acceptToken(e ident.FencingToken) bool {
	if e < k.token && k.sim.cfg.Mutation != IgnoreFencingTokens {
		return false
	}
	if e > k.token {
		k.token = e
		k.expediteHeartbeat()
	}
	return true
}

func (k *worker) handleCommands(c api.CommandRequest, reply func(any)) {
	if k.sim.now < k.sim.outboundBlockedUntil[string(k.id)] {
		k.sim.countEvent("command to a mute machine")
	}
	if c.Incarnation != k.incarnation || !k.acceptToken(c.FencingToken) {
		reply(workers.CommandResult{Status: 409, Heartbeat: k.buildHeartbeat()})
		return
	}
	k.execute(c.Commands)
	reply(workers.CommandResult{Status: 200, Heartbeat: k.buildHeartbeat()})
}

func (k *worker) execute(orders []api.Command) {
	for _, o := range orders {
		p := k.tasks[o.TaskID][o.Attempt]
		switch o.Verb {
		case api.Launch:
			if j := k.sim.jobs[o.TaskID.Job]; k.sim.cfg.Mutation == ReuseGangAttempt && j != nil && j.spec.Shape == api.Gang {
				k.executeReusingAttempt(o)
				continue
			}
			if p == nil {
				k.launch(o.TaskID, o.Attempt)
			}
		case api.Kill:
			if p != nil && p.status != api.Ended {
				k.kill(p, o.GracePeriodS)
			}
		case api.Clear:
			if p != nil && p.status == api.Ended {
				delete(k.tasks[o.TaskID], o.Attempt)
				if len(k.tasks[o.TaskID]) == 0 {
					delete(k.tasks, o.TaskID)
				}
			}
		}
		k.expediteHeartbeat()
	}
}

// kill stops a task; one that saves is ended by a second kill without time for it.
func (k *worker) kill(p *task, windDown *float64) {
	j := k.sim.jobs[p.id.Job]
	d := 0.0
	if windDown != nil {
		d = *windDown
	}
	if j == nil || j.spec.Shape != api.Gang {
		k.stop(p, j, d)
		return
	}
	if p.status == api.Flushing && d > 0 {
		return // it saves already
	}
	if k.sim.cfg.Mutation == StopPartOfGang && d > 0 && p.id.Index > 0 {
		return
	}
	k.sim.gang(j, p.attempt).kill(k, p, d)
}

// stop ends a task of an array or a service; one of an array that has the time for it saves
// its progress first.
func (k *worker) stop(p *task, j *userJob, windDown float64) {
	if j != nil {
		j.recordStop(p)
	}
	if j == nil || j.spec.Shape != api.Batch || !j.spec.CanCheckpoint() || windDown < j.spec.CheckpointS || p.status == api.Pulling {
		if j != nil && p.status == api.Running {
			j.lostWork += k.sim.now.Sub(p.startedAt)
		}
		k.endTask(p, api.CauseStopped)
		return
	}
	if p.status == api.Flushing {
		return // it saves already
	}
	ran := time.Duration(float64(k.sim.now.Sub(p.startedAt)) / k.slowdown)
	p.status = api.Flushing
	p.generation++
	k.expediteHeartbeat()
	k.scheduleStep(p, seconds(j.spec.CheckpointS), func() {
		j.checkpointed[p.id.Index] += ran
		p.stored = true
		k.endTask(p, api.CauseStopped)
	})
}

func (k *worker) endTask(p *task, c api.Cause) {
	p.status, p.cause = api.Ended, c
	p.generation++
	k.expediteHeartbeat()
}

// usedCPUs returns the CPUs of the tasks that have not exited.
func (k *worker) usedCPUs() float64 {
	cpus := 0.0
	for _, tries := range k.tasks {
		for _, o := range tries {
			if o.status != api.Ended {
				cpus += k.sim.jobs[o.id.Job].spec.VCPUs
			}
		}
	}
	return cpus
}

func (k *worker) launch(id ident.TaskID, try ident.Attempt) {
	p := &task{id: id, attempt: try, status: api.Pulling}
	busy := false
	for _, o := range k.tasks[id] {
		busy = busy || o.status != api.Ended
	}
	cpus := k.usedCPUs()
	if k.tasks[id] == nil {
		k.tasks[id] = map[ident.Attempt]*task{}
	}
	k.tasks[id][try] = p
	j := k.sim.jobs[id.Job]
	switch {
	case j == nil || id.Index >= j.spec.Tasks:
		k.endTask(p, api.CauseUnknown)
	case busy:
		k.endTask(p, api.CauseBusy)
	case cpus+j.spec.VCPUs > k.sim.cloud.models[0].VCPUs+1e-6:
		k.endTask(p, api.CauseNoCapacity)
	default:
		d := time.Millisecond
		if !k.images[j.spec.Image] {
			d = time.Duration(500+k.sim.rng.IntN(3000)) * time.Millisecond
		}
		k.scheduleStep(p, d, func() {
			k.images[j.spec.Image] = true
			if j.spec.Shape == api.Gang && !k.faulty {
				try := p.attempt
				if p.reusesAttempt {
					try = 1
				}
				k.sim.gang(j, try).join(k, p)
				return
			}
			p.status, p.startedAt = api.Running, k.sim.now
			k.expediteHeartbeat()
			k.sim.checkTaskStart(k, p)
			if j.done[id.Index] {
				k.scheduleStep(p, time.Millisecond, func() { k.endTask(p, api.CauseDone) })
				return
			}
			if k.faulty || j.alwaysFails {
				j.failures++
				k.scheduleStep(p, time.Second, func() { k.endTask(p, api.CauseError) })
				return
			}
			if j.spec.Shape == api.Batch {
				left := float64(j.durationOf(id.Index) - j.checkpointed[id.Index])
				k.scheduleStep(p, max(time.Millisecond, time.Duration(left*k.slowdown)), func() {
					j.done[id.Index] = true
					k.endTask(p, api.CauseDone)
					k.sim.onTaskCompleted(j)
				})
			}
		})
	}
}

// executeReusingAttempt is the mutation that numbers every attempt of a gang alike.
func (k *worker) executeReusingAttempt(o api.Command) {
	if p := k.tasks[o.TaskID][o.Attempt]; p != nil {
		return
	}
	k.launch(o.TaskID, o.Attempt)
	if p := k.tasks[o.TaskID][o.Attempt]; p != nil && p.status != api.Ended {
		p.reusesAttempt = true
	}
}

// scheduleStep does something with a task later, unless it or its session ends before.
func (k *worker) scheduleStep(p *task, d time.Duration, f func()) {
	gen, incarnation := p.generation, k.incarnation
	k.sim.schedule(d, func() {
		k.whenResponsive(func() {
			if !k.dead && k.incarnation == incarnation && p.generation == gen && p.status != api.Ended {
				f()
			}
		})
	})
}

// taskCount returns how many tasks of a job are on the machine.
func (k *worker) taskCount(id ident.JobID) int {
	n := 0
	for p, tries := range k.tasks {
		for _, o := range tries {
			if p.Job == id && o.onMachine() {
				n++
			}
		}
	}
	return n
}

// onMachine is the protocol's word: from the image until the exit.
func (p *task) onMachine() bool {
	return p.status == api.Running || p.status == api.Flushing || p.status == api.Gathering
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
			k := sim.workers[ident.MachineID(f[2])]
			if k == nil {
				return nil
			}
			sim.deliver(from, f[2], func() {
				k.whenResponsive(func() {
					taskID := ident.TaskID{Job: ident.JobID(id), Index: i}
					if k.incarnation == incarnation && k.tasks[taskID][try] == nil {
						k.launch(taskID, try)
					}
				})
			})
			return nil
		})
	}
}
