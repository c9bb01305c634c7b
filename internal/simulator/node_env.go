package simulator

import (
	"net/http"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// nodeEnv implements controller.Env for one process of a node: clocks, timers and calls to other parties.
type nodeEnv struct {
	node        *node
	incarnation int
	legacy      bool // the process runs the version in production
	startedAt   ident.MonotonicTime
	clockRate   float64 // rate of the monotonic clock relative to simulated time
}

func (e *nodeEnv) sim() *Simulation { return e.node.sim }

// Now returns the monotonic clock of the process, which drifts from simulated time.
func (e *nodeEnv) Now() ident.MonotonicTime {
	e.maybePause()
	return ident.MonotonicTime(float64(e.sim().now.Add(e.node.eventPause.paused)-e.startedAt) * e.clockRate)
}

// WallMS returns the wall clock in milliseconds since the epoch.
func (e *nodeEnv) WallMS() int64 { return startWallMS + e.sim().now.Sub(0).Milliseconds() }

// ifAlive returns a function that runs f in the process, and does nothing once the process has crashed.
func (e *nodeEnv) ifAlive(f func()) func() {
	return func() { e.node.whenResponsive(e.incarnation, f) }
}

// After runs f in the process once d has passed on its monotonic clock.
func (e *nodeEnv) After(d time.Duration, f func()) {
	e.maybePause()
	e.sim().schedule(e.node.eventPause.paused+max(0, time.Duration(float64(d)/e.clockRate)+time.Microsecond), e.ifAlive(f))
}

// Store sends a request to the key-value store and passes the response to f.
func (e *nodeEnv) Store(r kvstore.Request, f func(kvstore.Response)) {
	sim := e.sim()
	sim.cfg.Digest.storeRequest(sim.now, e.node.name, r)
	ok := true
	if e.legacy {
		f, ok = e.legacyRequest(r, f)
	} else {
		r, ok = sim.mutateRequest(r, e.replyIfAlive(f))
	}
	if !ok {
		return
	}
	if sim.mutates(ForgetPlacements) && r.Op == kvstore.List {
		g := f
		f = func(a kvstore.Response) { g(forgetPlacements(a)) }
	}
	sim.recordPlacement(e.node.name, r)
	sim.recordTransaction(e.node, r)
	send := e.afterPause(func() { e.callStore(r, f) })
	if sim.mutates(LaunchBeforeCommit) && r.Op == kvstore.Txn && r.Compares[0].Key == "leader" &&
		r.Compares[0].Revision != 0 {
		sim.launchBeforeCommit(e.node.name, r)
		sim.schedule(400*time.Millisecond, e.ifAlive(send))
		return
	}
	send()
}

// callStore sends a request over the network to the store. f gets NoAnswer if no reply arrives within the timeout.
func (e *nodeEnv) callStore(r kvstore.Request, f func(kvstore.Response)) {
	serve := func(reply func(kvstore.Response)) { e.sim().store.serve(e.node.name, r, reply) }
	call(e.sim(), e.node.name, storeParty, r.Timeout, serve, func(a kvstore.Response, ok bool) {
		if !ok {
			a = kvstore.Response{Outcome: kvstore.NoResponse}
		}
		e.sim().copyStoreRequest(e.node.name, r, a)
		e.ifAlive(func() { f(a) })()
	})
}

// replyIfAlive returns a function that passes a response to f, and does nothing once the process has crashed.
func (e *nodeEnv) replyIfAlive(f func(kvstore.Response)) func(kvstore.Response) {
	return func(a kvstore.Response) { e.ifAlive(func() { f(a) })() }
}

// Cloud sends a request to the cloud and passes the response to f. A request past its deadline is not sent.
func (e *nodeEnv) Cloud(r cloud.Request, f func(cloud.Response)) {
	sim := e.sim()
	sim.cfg.Digest.cloudRequest(sim.now, e.node.name, r)
	respond := func(a cloud.Response) { e.ifAlive(func() { f(a) })() }
	e.afterPause(func() {
		if e.deadlinePassed(r.NotAfter) {
			sim.schedule(0, func() { respond(cloud.Response{Outcome: cloud.NotSent}) })
			return
		}
		serve := func(reply func(cloud.Response)) { sim.cloud.serve(r, reply) }
		call(sim, e.node.name, cloudParty, cloudTimeout, serve, func(a cloud.Response, ok bool) {
			if ok {
				sim.copyCloudRequest(r)
			} else {
				a = cloud.Response{Outcome: cloud.NoResponse}
			}
			respond(a)
		})
	})()
}

// Worker sends commands to a worker and passes the result to f.
func (e *nodeEnv) Worker(c workers.CommandCall, f func(workers.CommandResult)) {
	e.sim().cfg.Digest.command(e.sim().now, e.node.name, c)
	e.afterPause(func() { e.command(c, f) })()
}

// command sends a command call to the worker that it addresses. A call past its deadline is not sent.
func (e *nodeEnv) command(c workers.CommandCall, f func(workers.CommandResult)) {
	sim := e.sim()
	endCall := e.beginCall(c)
	respond := func(a workers.CommandResult) {
		endCall()
		e.ifAlive(func() { f(a) })()
	}
	sim.recordLaunch(e.node.name, c)
	if c.Launches() && sim.handingOver(e.node) {
		sim.reportViolation("%s launches a task during its handover", e.node.name)
	}
	if c.Launches() && !e.deadlinePassed(c.NotAfter) && !e.leads() {
		sim.countEvent(launchWithoutLeadershipEvent)
	}
	target := sim.workers[ident.MachineID(c.Addr)]
	switch {
	case e.deadlinePassed(c.NotAfter):
		sim.schedule(0, func() { respond(workers.CommandResult{NotSent: true}) })
		return
	case target == nil:
		sim.schedule(0, func() { respond(workers.CommandResult{}) })
		return
	}
	sim.checkLaunchesSent(e.node, c.Body)
	if sim.mutates(DropStopCommands) {
		c.Body.Commands = withoutStops(c.Body.Commands)
	}
	handle := func(reply func(workers.CommandResult)) {
		sim.delayCommand(func() {
			sim.delayCall(target, c.Body, func() {
				target.whenResponsive(func() {
					target.handleCommands(c.Body, func(a workers.CommandResult) {
						if a.Status == http.StatusOK {
							sim.copyCall(target, c.Body)
						}
						sim.delayCommand(func() { reply(a) })
					})
				})
			})
		})
	}
	call(sim, e.node.name, c.Addr, commandTimeout, handle, func(a workers.CommandResult, _ bool) { respond(a) })
}

// beginCall checks that the term that sends commands to a worker has no other call with commands to it in flight, and returns
// a function that ends the call. Probes don't count: a leader may probe a machine before it knows the machine.
func (e *nodeEnv) beginCall(c workers.CommandCall) (end func()) {
	if len(c.Body.Commands) == 0 {
		return func() {}
	}
	key := commandCallKey{e.node.name, e.incarnation, c.Body.FencingToken.Term(), c.Addr}
	sim := e.sim()
	if sim.callsInFlight[key] {
		sim.reportViolation("%s sends commands to %s while an earlier call with commands is in flight", e.node.name, c.Addr)
	}
	sim.callsInFlight[key] = true
	return func() { delete(sim.callsInFlight, key) }
}

// SendPeer sends a frame to another controller.
func (e *nodeEnv) SendPeer(to ident.NodeID, f *transport.Frame) {
	sim := e.sim()
	for _, o := range sim.nodes {
		if o.name != string(to) {
			continue
		}
		// The frame is encoded and decoded as it would be between processes, so that both codecs run.
		encoded := f.Append(nil)
		sim.cfg.Digest.frame(sim.now, e.node.name, o.name, encoded)
		g, err := transport.Decode(encoded[4:])
		if err != nil {
			panic(err)
		}
		if sim.mutates(KeepLeasesForever) && g.Type == transport.MsgHeartbeat && g.Heartbeat.LeaseAllowanceMS > 0 {
			g.Heartbeat.LeaseAllowanceMS = transport.ToMillis(time.Hour)
		}
		if !sim.observeFrame(e.node, o, g) {
			return
		}
		incarnation := o.incarnation
		e.afterPause(func() {
			sim.deliver(e.node.name, o.name, func() {
				o.whenResponsive(incarnation, func() { o.controller.HandleFrame(ident.NodeID(e.node.name), g) })
				sim.copyFrame(e.node.name, o, g)
			})
		})()
	}
}

// commandCallKey identifies the command calls of one term of a process to a worker.
type commandCallKey struct {
	node        string
	incarnation int
	term        ident.Term
	addr        string
}

const (
	// startWallMS is the wall clock at the start of a run, in milliseconds since the epoch.
	startWallMS = 1_700_000_000_000
	// cloudTimeout is how long a node waits for a reply from the cloud, and commandTimeout for one from a worker.
	cloudTimeout   = 4 * time.Second
	commandTimeout = 1200 * time.Millisecond
)
