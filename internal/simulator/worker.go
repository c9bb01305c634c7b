package simulator

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// worker simulates the worker of a machine by its protocol.
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
	heartbeatInFlight bool
	lastHeartbeat     ident.MonotonicTime
	faulty            bool
	slowdown          float64 // factor by which tasks of arrays take longer
}

// slowFactor is the slowdown of slow machines.
const slowFactor = 4

func newWorker(sim *Simulation, m *machine) *worker {
	w := &worker{
		sim:            sim,
		machine:        m,
		id:             m.id,
		incarnation:    1,
		leaseRenewedAt: sim.now,
		nodeIndex:      sim.rng.IntN(len(sim.nodes)),
		tasks:          map[ident.TaskID]map[ident.Attempt]*task{},
		images:         map[string]bool{},
		faulty: sim.cfg.Faults &&
			sim.rng.IntN(25) == 0,
		slowdown: 1,
	}
	if len(sim.workers) < sim.cfg.SlowMachines && sim.slowMachineCount < sim.cfg.SlowMachines {
		sim.slowMachineCount++
		w.slowdown = slowFactor
	}
	sim.workers[m.id] = w
	sim.sortedByID = nil
	w.tick()
	return w
}

// whenResponsive runs f once the machine does not hang.
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

// hangFor makes the machine hang. What it holds up goes on later.
func (w *worker) hangFor(d time.Duration) {
	w.sim.logf("%s hangs for %v", w.id, d)
	w.hungUntil = max(w.hungUntil, w.sim.now.Add(d))
}

// announceReclaim has heartbeats announce that the machine will be reclaimed.
func (w *worker) announceReclaim(d time.Duration) { w.reclaimAt = w.sim.now.Add(d) }

// checkLease begins the next incarnation if the lease has expired.
func (w *worker) checkLease() {
	if w.leaseExpired() {
		w.sim.logf("%s: lease over, with %d tasks", w.id, len(w.tasks))
		w.sim.TasksLostWithLease += len(w.tasks)
		w.beginIncarnation()
	}
}

// leaseExpired reports whether the worker's lease has expired, even if the worker has not checked yet.
func (w *worker) leaseExpired() bool {
	return w.sim.now.Sub(w.leaseRenewedAt).Seconds() > w.sim.settings.Workers.LeaseS
}

// tick sends a heartbeat whenever one is due.
func (w *worker) tick() {
	if w.dead {
		return
	}
	w.whenResponsive(func() {
		interval := time.Duration(w.sim.settings.Workers.HeartbeatS*900) * time.Millisecond // a little less than announced
		if !w.heartbeatInFlight && w.sim.now.Sub(w.lastHeartbeat) >= interval {
			w.sendHeartbeat()
		}
	})
	w.sim.schedule(250*time.Millisecond, w.tick)
}

// expeditedAge is how long ago the last heartbeat counts as sent once the next is expedited.
const expeditedAge = 2500 * time.Millisecond

// expediteHeartbeat has the next heartbeat sent sooner, as there is news.
func (w *worker) expediteHeartbeat() {
	w.lastHeartbeat = min(w.lastHeartbeat, w.sim.now.Add(-expeditedAge))
}

// buildHeartbeat returns a heartbeat with the present status.
func (w *worker) buildHeartbeat() *api.Heartbeat {
	w.sequence++
	r := &api.Heartbeat{
		MachineID:      w.id,
		Addr:           string(w.id),
		Model:          machineModel,
		Zone:           w.machine.zone,
		Spot:           w.machine.spot,
		Incarnation:    w.incarnation,
		SequenceNumber: w.sequence,
		FencingToken:   w.token,
	}
	if w.reclaimAt > 0 {
		s := w.reclaimAt.Sub(w.sim.now).Seconds()
		r.ReclaimNoticeS = &s
	}
	w.forEachTask(func(t *task) {
		if w.sim.mutates(HideWaitingGangTasks) && t.status == api.Gathering {
			return
		}
		r.Tasks = append(r.Tasks, api.TaskReport{
			TaskID:           t.id,
			Attempt:          t.attempt,
			Status:           t.status,
			Cause:            t.cause,
			CheckpointStored: t.stored,
		})
	})
	slices.SortFunc(r.Tasks, func(a, b api.TaskReport) int {
		return cmp.Or(cmp.Compare(a.TaskID.Job, b.TaskID.Job), cmp.Compare(a.TaskID.Index, b.TaskID.Index),
			cmp.Compare(a.Attempt, b.Attempt))
	})
	return r
}

const (
	// heartbeatTimeout is how long a worker waits for the reply to a heartbeat; later ones don't count.
	heartbeatTimeout = 4 * time.Second
	// heartbeatRetryDelay is how long it waits before it tries the next node.
	heartbeatRetryDelay = time.Second
)

// sendHeartbeat sends a heartbeat to the worker's node.
func (w *worker) sendHeartbeat() {
	w.heartbeatInFlight = true
	w.lastHeartbeat = w.sim.now
	sentAt, incarnation := w.sim.now, w.incarnation
	n := w.sim.nodes[w.nodeIndex]
	m := w.buildHeartbeat()
	w.duplicateLate(m)
	w.sim.duplicateHeartbeat(m)
	r := apiRequest{string(w.id), n, transport.WorkerHeartbeat, "", api.JSON(m), heartbeatTimeout}
	w.sim.request(r, func(a *controller.Response) {
		if w.dead {
			return
		}
		// A machine that hangs handles the reply when it goes on.
		w.whenResponsive(func() { w.handleHeartbeatReply(a, sentAt, incarnation) })
	})
}

// handleHeartbeatReply renews the lease and executes the commands of a reply, or turns to another node.
func (w *worker) handleHeartbeatReply(a *controller.Response, sentAt ident.MonotonicTime, incarnation ident.Incarnation) {
	if a != nil && a.Status == http.StatusOK && w.sim.now.Sub(sentAt) <= heartbeatTimeout {
		w.heartbeatInFlight = false
		var o api.HeartbeatResponse
		if json.Unmarshal(a.Body, &o) != nil || incarnation != w.incarnation || !w.acceptToken(o.FencingToken) {
			return
		}
		w.leaseRenewedAt = sentAt
		w.execute(o.Commands)
		return
	}
	if a != nil && a.Status == http.StatusMisdirectedRequest && w.redirect(a.Body) {
		return
	}
	w.sim.schedule(heartbeatRetryDelay, func() { w.turnToNode((w.nodeIndex + 1) % len(w.sim.nodes)) })
}

// redirect turns to the node that a reply names. It returns false if that is the present one or none.
func (w *worker) redirect(body []byte) bool {
	var home struct {
		Home string `json:"home"`
	}
	_ = json.Unmarshal(body, &home) // without a home node the next one is tried
	for i, n := range w.sim.nodes {
		if n.name == home.Home && i != w.nodeIndex {
			w.turnToNode(i)
			return true
		}
	}
	return false
}

// turnToNode has the next heartbeat go to a node, at once.
func (w *worker) turnToNode(i int) {
	w.nodeIndex = i
	w.heartbeatInFlight = false
	w.lastHeartbeat = 0
}

// restart ends the worker with all of its tasks, and starts its next incarnation at once.
func (w *worker) restart() {
	w.sim.logf("%s restarts", w.id)
	w.beginIncarnation()
	w.lastHeartbeat = 0
}

// beginIncarnation begins the next incarnation, without any task.
func (w *worker) beginIncarnation() {
	w.tasks = map[ident.TaskID]map[ident.Attempt]*task{}
	w.images = map[string]bool{}
	w.incarnation++
	w.sequence = 0
	w.leaseRenewedAt = w.sim.now
}

// acceptToken checks a fencing token, and keeps it if it is newer. It returns false for an older one.
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

// handleCommands executes a command request unless it is fenced or for another incarnation.
func (w *worker) handleCommands(c api.CommandRequest, reply func(workers.CommandResult)) {
	if w.sim.now < w.sim.outboundBlockedUntil[string(w.id)] {
		w.sim.countEvent(commandWhileOutboundBlockedEvent)
	}
	if c.Incarnation != w.incarnation || !w.acceptToken(c.FencingToken) {
		reply(workers.CommandResult{Status: http.StatusConflict, Heartbeat: w.buildHeartbeat()})
		return
	}
	w.execute(c.Commands)
	reply(workers.CommandResult{Status: http.StatusOK, Heartbeat: w.buildHeartbeat()})
}
