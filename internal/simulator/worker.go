package simulator

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
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

// slowFactor is that of slow machines.
const slowFactor = 4

func newWorker(sim *Simulation, m *machine) *worker {
	w := &worker{sim: sim, machine: m, id: m.id, incarnation: 1, leaseRenewedAt: sim.now, nodeIndex: sim.rng.IntN(len(sim.nodes)),
		tasks: map[ident.TaskID]map[ident.Attempt]*task{}, images: map[string]bool{}, faulty: sim.cfg.Faults &&
			sim.rng.IntN(25) == 0, slowdown: 1}
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
	if w.leaseExpired() {
		w.sim.logf("%s: lease over, with %d tasks", w.id, len(w.tasks))
		w.sim.TasksLostWithLease += len(w.tasks)
		w.beginIncarnation()
	}
}

// leaseExpired reports whether the worker's lease is over, though it may not have noticed.
func (w *worker) leaseExpired() bool {
	return w.sim.now.Sub(w.leaseRenewedAt).Seconds() > w.sim.settings.Workers.LeaseS
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
	w.forEachTask(func(t *task) {
		if w.sim.mutates(HideWaitingGangTasks) && t.status == api.Gathering {
			return
		}
		r.Tasks = append(r.Tasks, api.TaskReport{TaskID: t.id, Attempt: t.attempt, Status: t.status, Cause: t.cause,
			CheckpointStored: t.stored})
	})
	slices.SortFunc(r.Tasks, func(a, b api.TaskReport) int {
		return cmp.Or(cmp.Compare(a.TaskID.Job, b.TaskID.Job), cmp.Compare(a.TaskID.Index, b.TaskID.Index),
			cmp.Compare(a.Attempt, b.Attempt))
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
				_ = json.Unmarshal(r.Body, &home) // without a home node the next one is tried
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
	if e < w.token && !w.sim.mutates(IgnoreFencingTokens) {
		return false
	}
	if e > w.token {
		w.token = e
		w.expediteHeartbeat()
	}
	return true
}

func (w *worker) handleCommands(c api.CommandRequest, reply func(workers.CommandResult)) {
	if w.sim.now < w.sim.outboundBlockedUntil[string(w.id)] {
		w.sim.countEvent(commandWhileOutboundBlockedEvent)
	}
	if c.Incarnation != w.incarnation || !w.acceptToken(c.FencingToken) {
		reply(workers.CommandResult{Status: 409, Heartbeat: w.buildHeartbeat()})
		return
	}
	w.execute(c.Commands)
	reply(workers.CommandResult{Status: 200, Heartbeat: w.buildHeartbeat()})
}
