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
	"opaldale/internal/ident"
)

// worker is a machine and the worker on it.
type worker struct {
	cluster *Cluster
	host    ident.MachineID
	zone    string
	spot    bool
	server  *http.Server
	addr    string
	client  *http.Client
	stop    context.CancelFunc

	mu      sync.Mutex
	session ident.Incarnation
	serial  ident.SequenceNumber
	token   ident.FencingToken
	lease   time.Time // when the last answered report was sent
	tasks   map[taskKey]*task
	wake    chan struct{}
	gone    bool
}

type taskKey struct {
	piece   ident.TaskID
	attempt ident.Attempt
}

type task struct {
	status api.TaskStatus
	cause  api.Cause
	run    *run
	timer  *time.Timer
}

func newWorker(c *Cluster, host ident.MachineID, zone string, spot bool) (*worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{cluster: c, host: host, zone: zone, spot: spot, addr: listener.Addr().String(), session: 1, lease: time.Now(),
		tasks: map[taskKey]*task{}, wake: make(chan struct{}, 1)}
	// All machines of a zone are one end of a link.
	w.client = &http.Client{Transport: &http.Transport{DialContext: c.Switches.Dialer(zone, c.nameOf)}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.commands)
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, _ *http.Request) { answer(rw, http.StatusOK, w.report()) })
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.reportLoop(ctx)
	return w, nil
}

// end takes the machine away with all that is on it.
func (w *worker) end() {
	w.stop()
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	w.forget()
}

// forget ends all tasks.
func (w *worker) forget() {
	for _, t := range w.tasks {
		t.end(w, api.CauseStopped)
	}
	w.tasks = map[taskKey]*task{}
}

func (t *task) end(w *worker, cause api.Cause) {
	if t.status == api.Ended {
		return
	}
	t.status, t.cause = api.Ended, cause
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.run != nil {
		w.cluster.Record.finish(t.run, cause == api.CauseDone)
	}
}

// expire ends the session when its lease is over. Called with the lock.
func (w *worker) expire() {
	if time.Since(w.lease) > w.cluster.leaseTime() {
		w.forget()
		w.session++
		w.serial = 0
		w.lease = time.Now()
	}
}

// holds says whether a task may still be on the machine, as its lease is not over.
func (w *worker) holds() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.gone && time.Since(w.lease) <= w.cluster.leaseTime()
}

func (w *worker) report() *api.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	return w.message()
}

// message makes a report. Called with the lock.
func (w *worker) message() *api.Heartbeat {
	w.serial++
	r := &api.Heartbeat{MachineID: w.host, Addr: w.addr, Model: machineType, Zone: w.zone, Spot: w.spot, Incarnation: w.session,
		SequenceNumber: w.serial, FencingToken: w.token, Tasks: []api.TaskReport{}}
	for k, t := range w.tasks {
		r.Tasks = append(r.Tasks, api.TaskReport{TaskID: k.piece, Attempt: k.attempt, Status: t.status, Cause: t.cause})
	}
	slices.SortFunc(r.Tasks, func(a, b api.TaskReport) int {
		return cmp.Or(cmp.Compare(a.TaskID.Job, b.TaskID.Job), cmp.Compare(a.TaskID.Index, b.TaskID.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	return r
}

func (w *worker) commands(rw http.ResponseWriter, r *http.Request) {
	var c api.CommandRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	if w.gone || c.Incarnation != w.session || c.FencingToken < w.token {
		answer(rw, http.StatusConflict, w.message())
		return
	}
	w.cluster.Record.acted(w.cluster.Switches.owner(r.RemoteAddr, w.addr), c.FencingToken)
	w.token = c.FencingToken
	w.obey(c.Commands)
	answer(rw, http.StatusOK, w.message())
}

// obey carries out orders. Called with the lock.
func (w *worker) obey(orders []api.Command) {
	for _, o := range orders {
		k := taskKey{o.TaskID, o.Attempt}
		t := w.tasks[k]
		switch o.Verb {
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
	if len(orders) > 0 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

func (w *worker) launch(k taskKey) {
	t := &task{status: api.Running}
	w.tasks[k] = t
	for other, o := range w.tasks {
		if other.piece == k.piece && o != t && o.status != api.Ended {
			t.status, t.cause = api.Ended, api.CauseBusy
			return
		}
	}
	work, known := w.cluster.work(k.piece.Job)
	if !known {
		t.status, t.cause = api.Ended, api.CauseUnknown
		return
	}
	t.run = w.cluster.Record.begin(k.piece, w.host, w.cluster.holds)
	if work.First == 0 {
		return // a replica
	}
	runs := work.First + time.Duration(k.piece.Index)*work.Step
	session := w.session
	t.timer = time.AfterFunc(runs, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expire()
		if w.session == session && w.tasks[k] == t {
			t.end(w, api.CauseDone)
			select {
			case w.wake <- struct{}{}:
			default:
			}
		}
	})
}

// reportLoop reports to one node after another, and stays with the one that answers.
func (w *worker) reportLoop(ctx context.Context) {
	node := int(w.cluster.hash(w.host))
	for ctx.Err() == nil {
		if !w.send(ctx, w.cluster.nodeAddr(node)) {
			node++
			sleep(ctx, retryTime)
			continue
		}
		select {
		case <-ctx.Done():
		case <-w.wake:
			sleep(ctx, minReport)
		case <-time.After(w.cluster.reportTime()):
		}
	}
}

const (
	retryTime = 200 * time.Millisecond
	minReport = 50 * time.Millisecond
	// answerTime is how long a report waits for its answer.
	answerTime = 2 * time.Second
)

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// send makes one report and carries out the answer.
func (w *worker) send(ctx context.Context, addr string) bool {
	sent := time.Now()
	body, err := json.Marshal(w.report())
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, answerTime)
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
	var orders api.HeartbeatResponse
	if json.Unmarshal(b, &orders) != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	session := w.session
	w.expire()
	if w.gone || session != w.session || orders.FencingToken < w.token {
		return true
	}
	w.token, w.lease = orders.FencingToken, sent
	w.obey(orders.Commands)
	return true
}
