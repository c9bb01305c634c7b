package loopback

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/decode"
	"opaldale/internal/ident"
)

// worker is the worker on a machine. It simulates tasks with timers.
type worker struct {
	cluster *Cluster
	id      ident.MachineID
	zone    string
	spot    bool
	server  *http.Server
	addr    string
	client  *http.Client
	stop    context.CancelFunc
	// slowLink reports whether Delays.SlowLink applies to the machine.
	slowLink bool

	mu             sync.Mutex
	incarnation    ident.Incarnation
	sequence       ident.SequenceNumber
	token          ident.FencingToken
	leaseRenewedAt time.Time // start of the lease: when the last heartbeat with a response, or this incarnation, began
	tasks          map[taskKey]*task
	heartbeatNow   chan struct{}
	terminated     bool
}

type taskKey struct {
	task    ident.TaskID
	attempt ident.Attempt
}

type task struct {
	status    api.TaskStatus
	cause     api.Cause
	execution *execution
	timer     *time.Timer
}

func newWorker(c *Cluster, id ident.MachineID, zone string, spot bool) (*worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		cluster:        c,
		id:             id,
		zone:           zone,
		spot:           spot,
		addr:           listener.Addr().String(),
		incarnation:    1,
		leaseRenewedAt: time.Now(),
		tasks:          map[taskKey]*task{},
		heartbeatNow:   make(chan struct{}, 1),
		slowLink:       id[len(id)-1]%2 == 0,
	}
	// All machines of a zone are one party.
	w.client = &http.Client{Transport: &http.Transport{DialContext: c.Network.Dialer(zone, c.partyAt)}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.handleCommands)
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, w.currentHeartbeat())
	})
	w.server = &http.Server{Handler: mux}
	go serveHTTP(string(id), w.server, listener)
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.heartbeatLoop(ctx)
	return w, nil
}

// terminate stops the worker and all of its tasks.
func (w *worker) terminate() {
	w.stop()
	_ = w.server.Close() // the machine is terminated, so an error has no effect
	w.mu.Lock()
	defer w.mu.Unlock()
	w.terminated = true
	w.endAllTasks()
}

// endAllTasks ends and removes all tasks. The caller must hold w.mu.
func (w *worker) endAllTasks() {
	for _, t := range w.tasks {
		t.end(w, api.CauseStopped)
	}
	w.tasks = map[taskKey]*task{}
}

// end ends the task with a cause, unless it has already ended. The caller must hold w.mu.
func (t *task) end(w *worker, cause api.Cause) {
	if t.status == api.Ended {
		return
	}
	t.status, t.cause = api.Ended, cause
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.execution != nil {
		w.cluster.Recorder.recordEnd(t.execution, cause == api.CauseDone)
	}
}

// checkLease stops all tasks and begins a new incarnation if the lease has expired. The caller must hold w.mu.
func (w *worker) checkLease() {
	if time.Since(w.leaseRenewedAt) > w.cluster.leaseDuration() {
		w.endAllTasks()
		w.incarnation++
		w.sequence = 0
		w.leaseRenewedAt = time.Now()
	}
}

// mayStillRun reports whether tasks may still run on the machine: it is not terminated and its lease has not expired.
func (w *worker) mayStillRun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.terminated && time.Since(w.leaseRenewedAt) <= w.cluster.leaseDuration()
}

func (w *worker) currentHeartbeat() *api.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	return w.buildHeartbeat()
}

// buildHeartbeat returns a heartbeat with the current status of all tasks. The caller must hold w.mu.
func (w *worker) buildHeartbeat() *api.Heartbeat {
	w.sequence++
	r := &api.Heartbeat{
		MachineID:      w.id,
		Addr:           w.addr,
		Model:          machineType,
		Zone:           w.zone,
		Spot:           w.spot,
		Incarnation:    w.incarnation,
		SequenceNumber: w.sequence,
		FencingToken:   w.token,
		Tasks:          []api.TaskReport{},
	}
	for k, t := range w.tasks {
		r.Tasks = append(r.Tasks, api.TaskReport{TaskID: k.task, Attempt: k.attempt, Status: t.status, Cause: t.cause})
	}
	slices.SortFunc(r.Tasks, func(a, b api.TaskReport) int {
		return cmp.Or(cmp.Compare(a.TaskID.Job, b.TaskID.Job), cmp.Compare(a.TaskID.Index, b.TaskID.Index),
			cmp.Compare(a.Attempt, b.Attempt))
	})
	return r
}

// handleCommands executes the commands of a node. It responds with a conflict if they are for another incarnation or carry an
// outdated fencing token, or if the machine is terminated.
func (w *worker) handleCommands(rw http.ResponseWriter, r *http.Request) {
	var c api.CommandRequest
	if err := decode.JSONFrom(r.Body, &c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(w.cluster.delayer.command(w.slowLink)) // also if the caller has given up: the command is on its way
	status, answer := w.executeCall(w.cluster.Network.dialedFrom(r.RemoteAddr, w.addr), c)
	if status == http.StatusOK {
		w.copyCall(c)
	}
	time.Sleep(w.cluster.delayer.link(w.slowLink))
	writeJSON(rw, status, answer)
}

// copyCall delivers a copy of an executed call later, if there is such a trouble. The answer is lost.
func (w *worker) copyCall(c api.CommandRequest) {
	if late := w.cluster.delayer.commandCopy(); late > 0 {
		time.AfterFunc(late, func() { w.executeCopy(c) })
	}
}

// executeCopy executes a copy of a call that was executed before. It must not start an attempt: the worker has held each attempt
// that the call launches, so one that it does not hold was cleared.
func (w *worker) executeCopy(c api.CommandRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	w.sequence++ // of the lost answer
	if !w.accepts(c) {
		return
	}
	for _, command := range c.Commands {
		if command.Verb == api.Launch && w.tasks[taskKey{command.TaskID, command.Attempt}] == nil {
			w.cluster.Recorder.recordRestart(command, w.id)
		}
	}
	w.token = c.FencingToken
	w.execute(c.Commands)
}

// executeCall executes the commands of a call from a node, and returns the status and the body of the answer.
func (w *worker) executeCall(node string, c api.CommandRequest) (status int, answer *api.Heartbeat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	if !w.accepts(c) {
		return http.StatusConflict, w.buildHeartbeat()
	}
	w.cluster.Recorder.recordCommand(node, c.FencingToken)
	w.token = c.FencingToken
	w.execute(c.Commands)
	return http.StatusOK, w.buildHeartbeat()
}

// accepts reports whether the worker would execute a call. The caller must hold w.mu.
func (w *worker) accepts(c api.CommandRequest) bool {
	return !w.terminated && c.Incarnation == w.incarnation && c.FencingToken >= w.token
}

// execute executes commands. The caller must hold w.mu.
func (w *worker) execute(commands []api.Command) {
	for _, command := range commands {
		k := taskKey{command.TaskID, command.Attempt}
		t := w.tasks[k]
		switch command.Verb {
		case api.Launch:
			if t == nil {
				w.launch(k)
			}
		case api.Kill:
			if t != nil {
				t.end(w, api.CauseStopped)
			}
		case api.Clear:
			if t != nil && t.status == api.Ended {
				delete(w.tasks, k)
			}
		}
	}
	if len(commands) > 0 {
		w.expediteHeartbeat()
	}
}

// expediteHeartbeat makes heartbeatLoop send the next heartbeat after minHeartbeatInterval.
func (w *worker) expediteHeartbeat() {
	select {
	case w.heartbeatNow <- struct{}{}:
	default:
	}
}

// launch starts an attempt of a task. The attempt fails if another attempt of the task still runs or if the job is unknown.
// The caller must hold w.mu.
func (w *worker) launch(k taskKey) {
	t := &task{status: api.Running}
	w.tasks[k] = t
	for other, o := range w.tasks {
		if other.task == k.task && o != t && o.status != api.Ended {
			t.status, t.cause = api.Ended, api.CauseBusy
			return
		}
	}
	work, known := w.cluster.workload(k.task.Job)
	if !known {
		t.status, t.cause = api.Ended, api.CauseUnknown
		return
	}
	t.execution = w.cluster.Recorder.recordStart(k.task, w.id, w.cluster.mayStillRun)
	if work.FirstDuration == 0 {
		return // a replica runs until it is stopped
	}
	runs := work.FirstDuration + time.Duration(k.task.Index)*work.DurationStep
	incarnation := w.incarnation
	t.timer = time.AfterFunc(runs, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.checkLease()
		if w.incarnation == incarnation && w.tasks[k] == t {
			t.end(w, api.CauseDone)
			w.expediteHeartbeat()
		}
	})
}

// heartbeatLoop sends heartbeats to one node, and switches to the next node when there is no response.
func (w *worker) heartbeatLoop(ctx context.Context) {
	node := int(w.cluster.initialNode(w.id))
	for ctx.Err() == nil {
		if !w.sendHeartbeat(ctx, w.cluster.nodeAddr(node)) {
			node++
			sleep(ctx, retryInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-w.heartbeatNow:
			sleep(ctx, minHeartbeatInterval)
		case <-time.After(w.cluster.heartbeatInterval()):
		}
	}
}

const (
	// retryInterval is the delay after a heartbeat without a response.
	retryInterval = 200 * time.Millisecond
	// minHeartbeatInterval is the delay before an expedited heartbeat.
	minHeartbeatInterval = 50 * time.Millisecond
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
	heartbeatTimeout = 2 * time.Second
)

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendCopy sends a heartbeat that was sent before once more. The answer is lost.
func (w *worker) sendCopy(addr string, body []byte) {
	client := http.Client{Transport: w.client.Transport, Timeout: heartbeatTimeout}
	resp, err := client.Post("http://"+addr+"/checkin", "application/json", bytes.NewReader(body))
	if err == nil {
		resp.Body.Close()
	}
}

// sendHeartbeat sends a heartbeat and executes the commands in the response. It returns false if there is no valid response.
func (w *worker) sendHeartbeat(ctx context.Context, addr string) bool {
	sentAt := time.Now()
	body, err := json.Marshal(w.currentHeartbeat())
	if err != nil {
		return false
	}
	if late := w.cluster.delayer.heartbeatCopy(); late > 0 {
		time.AfterFunc(late, func() { w.sendCopy(addr, body) })
	}
	sleep(ctx, w.cluster.delayer.link(w.slowLink))
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/checkin", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	var reply api.HeartbeatResponse
	if decode.JSON(b, &reply) != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	incarnation := w.incarnation
	w.checkLease()
	if w.terminated || incarnation != w.incarnation || reply.FencingToken < w.token {
		return true
	}
	w.token, w.leaseRenewedAt = reply.FencingToken, sentAt
	w.execute(reply.Commands)
	return true
}
