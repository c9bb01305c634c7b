package simulator

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/decode"
	"opaldale/internal/ident"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// worker simulates the worker process on a machine.
type worker struct {
	sim               *Simulation
	machine           *machine
	id                ident.MachineID
	dead              bool                // the machine was terminated
	hungUntil         ident.MonotonicTime // the machine does nothing until then
	incarnation       ident.Incarnation
	sequence          ident.SequenceNumber
	token             ident.FencingToken
	leaseRenewedAt    ident.MonotonicTime
	reclaimAt         ident.MonotonicTime // when the announced reclaim takes place; 0: none announced
	nodeIndex         int                 // of the node that receives the heartbeats
	tasks             map[ident.TaskID]map[ident.Attempt]*task
	images            map[string]bool // pulled images
	heartbeatInFlight bool
	lastHeartbeat     ident.MonotonicTime
	faulty            bool    // every task fails on the machine
	slowdown          float64 // factor on the run time of array tasks
}

// slowFactor is the slowdown of a slow machine.
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

// whenResponsive runs f as soon as the machine does not hang, after a check of the lease.
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

// hangFor makes the machine hang for d. Work that is deferred by the hang is done afterwards.
func (w *worker) hangFor(d time.Duration) {
	w.sim.logf("%s hangs for %v", w.id, d)
	w.hungUntil = max(w.hungUntil, w.sim.now.Add(d))
}

// announceReclaim makes the heartbeats announce that the machine will be reclaimed in d.
func (w *worker) announceReclaim(d time.Duration) { w.reclaimAt = w.sim.now.Add(d) }

// checkLease starts the next incarnation, without tasks, if the lease has expired.
func (w *worker) checkLease() {
	if w.leaseExpired() {
		w.sim.logf("%s: lease expired with %d tasks", w.id, len(w.tasks))
		w.sim.TasksLostWithLease += len(w.tasks)
		w.beginIncarnation()
	}
}

// leaseExpired reports whether the lease has expired, even if the worker has not noticed it yet.
func (w *worker) leaseExpired() bool {
	return w.sim.now.Sub(w.leaseRenewedAt).Seconds() > w.sim.settings.Workers.LeaseS
}

// tick sends a heartbeat if one is due, and schedules the next tick.
func (w *worker) tick() {
	if w.dead {
		return
	}
	w.whenResponsive(func() {
		interval := time.Duration(w.sim.settings.Workers.HeartbeatS*900) * time.Millisecond // 90% of the configured interval
		if !w.heartbeatInFlight && w.sim.now.Sub(w.lastHeartbeat) >= interval {
			w.sendHeartbeat()
		}
	})
	w.sim.schedule(250*time.Millisecond, w.tick)
}

// expeditedAge is the assumed age of the last heartbeat after expediteHeartbeat, so that the next one is due soon.
const expeditedAge = 2500 * time.Millisecond

// expediteHeartbeat makes the next heartbeat due sooner, because the state to report has changed.
func (w *worker) expediteHeartbeat() {
	w.lastHeartbeat = min(w.lastHeartbeat, w.sim.now.Add(-expeditedAge))
}

// buildHeartbeat returns a heartbeat with the current state of the worker.
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
			CheckpointStored: t.checkpointStored,
		})
	})
	slices.SortFunc(r.Tasks, func(a, b api.TaskReport) int {
		return cmp.Or(cmp.Compare(a.TaskID.Job, b.TaskID.Job), cmp.Compare(a.TaskID.Index, b.TaskID.Index),
			cmp.Compare(a.Attempt, b.Attempt))
	})
	return r
}

const (
	// heartbeatTimeout is how long a worker waits for the reply to a heartbeat. A later reply does not renew the lease.
	heartbeatTimeout = 4 * time.Second
	// heartbeatRetryDelay is how long a worker waits after a failed heartbeat before it sends one to the next node.
	heartbeatRetryDelay = time.Second
)

// sendHeartbeat sends a heartbeat to the node at nodeIndex.
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
		// A machine that hangs handles the reply after the hang.
		w.whenResponsive(func() { w.handleHeartbeatReply(a, sentAt, incarnation) })
	})
}

// handleHeartbeatReply renews the lease and executes the commands of a reply. Without a valid reply it switches to another
// node.
func (w *worker) handleHeartbeatReply(a *controller.Response, sentAt ident.MonotonicTime, incarnation ident.Incarnation) {
	if a != nil && a.Status == http.StatusOK && w.sim.now.Sub(sentAt) <= heartbeatTimeout {
		w.heartbeatInFlight = false
		var o api.HeartbeatResponse
		if decode.JSON(a.Body, &o) != nil || incarnation != w.incarnation || !w.acceptToken(o.FencingToken) {
			return
		}
		w.leaseRenewedAt = sentAt
		w.execute(o.Commands)
		return
	}
	if a != nil && a.Status == http.StatusMisdirectedRequest && w.redirect(a.Body) {
		return
	}
	w.sim.schedule(heartbeatRetryDelay, func() { w.switchToNode((w.nodeIndex + 1) % len(w.sim.nodes)) })
}

// redirect switches to the node that a reply names as responsible. It returns false if the reply names no node or the
// current one.
func (w *worker) redirect(body []byte) bool {
	var home struct {
		Home string `json:"home"`
	}
	_ = decode.JSON(body, &home) // if the body names no node, the caller retries with the next one
	for i, n := range w.sim.nodes {
		if n.name == home.Home && i != w.nodeIndex {
			w.switchToNode(i)
			return true
		}
	}
	return false
}

// switchToNode makes the node with index i the receiver of heartbeats and makes the next heartbeat due at once.
func (w *worker) switchToNode(i int) {
	w.nodeIndex = i
	w.heartbeatInFlight = false
	w.lastHeartbeat = 0
}

// restart restarts the worker: its tasks end and the next incarnation starts at once.
func (w *worker) restart() {
	w.sim.logf("%s restarts", w.id)
	w.beginIncarnation()
	w.lastHeartbeat = 0
}

// beginIncarnation starts the next incarnation, without tasks and cached images.
func (w *worker) beginIncarnation() {
	w.tasks = map[ident.TaskID]map[ident.Attempt]*task{}
	w.images = map[string]bool{}
	w.incarnation++
	w.sequence = 0
	w.leaseRenewedAt = w.sim.now
}

// acceptToken checks a fencing token and stores it if it is newer. It returns false for an outdated token.
func (w *worker) acceptToken(token ident.FencingToken) bool {
	if token < w.token && !w.sim.mutates(IgnoreFencingTokens) {
		return false
	}
	if token > w.token {
		w.token = token
		w.expediteHeartbeat()
	}
	return true
}

// handleCommands executes a command request, unless its fencing token is outdated or it is for another incarnation.
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
