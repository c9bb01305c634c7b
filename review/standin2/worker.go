package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// maxBody is the largest body of a request, and the longest line of a response to a worker: 64 KiB.
const maxBody = 64 << 10

// worker is the worker of one machine, with its tasks.
type worker struct {
	world   *world
	id      string
	site    string
	standby bool
	addr    string
	server  *http.Server
	client  *http.Client
	stop    context.CancelFunc

	mu        sync.Mutex
	tenure    uint64
	serial    uint64
	epoch     uint64
	answered  time.Time // when the last answered report was sent, or when the session began
	tasks     map[attempt]*task
	images    map[string]bool
	results   map[string]bool // tasks that have completed here
	hungUntil time.Time
	ended     bool
	changed   chan struct{}
}

type attempt struct {
	piece string
	try   uint64
}

type task struct {
	status, cause string
	job           job
}

type order struct {
	Verb  string   `json:"verb"`
	Piece string   `json:"piece"`
	Try   uint64   `json:"try"`
	Wind  *float64 `json:"wind_down_s"`
}

func startWorker(w *world, h *host) *worker {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		w.rec.add("no port for %s: %v", h.id, err)
		return nil
	}
	k := &worker{world: w, id: h.id, site: h.site, standby: h.standby, addr: l.Addr().String(), tenure: 1,
		answered: time.Now(), tasks: map[attempt]*task{}, images: map[string]bool{}, results: map[string]bool{},
		changed: make(chan struct{}, 1), client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", k.commands)
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, _ *http.Request) {
		k.waitWhileHung()
		k.mu.Lock()
		defer k.mu.Unlock()
		answer(rw, 200, k.report())
	})
	k.server = &http.Server{Handler: mux}
	go k.server.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	k.stop = cancel
	go k.reportLoop(ctx)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
			k.waitWhileHung()
			k.mu.Lock()
			k.checkLease()
			k.mu.Unlock()
		}
	}()
	w.rec.add("%s is up at %s", k.id, k.addr)
	return k
}

// end takes the machine away with all that is on it.
func (k *worker) end() {
	k.stop()
	k.server.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	for a, t := range k.tasks {
		k.finish(a, t, "machine gone")
	}
}

// hang stops the machine for a time: it executes nothing and sends nothing.
func (k *worker) hang(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hungUntil = time.Now().Add(d)
	k.world.rec.add("%s hangs for %v", k.id, d)
}

func (k *worker) waitWhileHung() {
	for {
		k.mu.Lock()
		left := time.Until(k.hungUntil)
		k.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// checkLease begins a new session if the lease has expired. The caller holds the mutex.
func (k *worker) checkLease() {
	if k.ended || time.Since(k.answered) <= k.world.lease {
		return
	}
	k.world.rec.add("%s: lease expired, session %d ends with %d tasks", k.id, k.tenure, len(k.tasks))
	for a, t := range k.tasks {
		if t.status != "ended" {
			k.world.onKilledByLease(a)
		}
		k.finish(a, t, "lease expired")
	}
	k.tasks = map[attempt]*task{}
	k.tenure++
	k.answered = time.Now()
	k.nudge()
}

func (k *worker) nudge() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// finish ends a task. The caller holds the mutex.
func (k *worker) finish(a attempt, t *task, cause string) {
	if t.status == "ended" {
		return
	}
	was := t.status
	t.status, t.cause = "ended", cause
	if was != "pulling" {
		k.world.onEnd(k, a, cause)
	}
	k.nudge()
}

// report returns the report of the worker. The caller holds the mutex.
func (k *worker) report() map[string]any {
	k.serial++
	pieces := []map[string]any{}
	for a, t := range k.tasks {
		one := map[string]any{"piece": a.piece, "try": a.try, "status": t.status}
		if t.status == "ended" {
			one["cause"] = t.cause
		}
		pieces = append(pieces, one)
	}
	sort.Slice(pieces, func(i, j int) bool { return pieces[i]["piece"].(string) < pieces[j]["piece"].(string) })
	return map[string]any{"host": k.id, "addr": k.addr, "model": k.world.model.SKU, "site": k.site, "standby": k.standby,
		"tenure": k.tenure, "serial": k.serial, "epoch": k.epoch, "warning_s": nil, "pieces": pieces}
}

func (k *worker) commands(rw http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k.waitWhileHung()
	if len(body) > maxBody {
		k.world.onOversize(k, "the body of POST /commands", len(body))
		answer(rw, 400, map[string]any{"error": "body: over 64 KiB"})
		return
	}
	var q struct {
		Epoch  *uint64 `json:"epoch"`
		Tenure *uint64 `json:"tenure"`
		Orders []order `json:"orders"`
	}
	if json.Unmarshal(body, &q) != nil || q.Epoch == nil || q.Tenure == nil {
		answer(rw, 400, map[string]any{"error": "malformed"})
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	k.checkLease()
	if *q.Epoch < k.epoch || *q.Tenure != k.tenure {
		answer(rw, 409, k.report())
		return
	}
	k.epoch = *q.Epoch
	k.execute(q.Orders, "call", arrived)
	answer(rw, 200, k.report())
}

// execute executes orders. The caller holds the mutex.
func (k *worker) execute(orders []order, by string, arrived time.Time) {
	for _, o := range orders {
		a := attempt{o.Piece, o.Try}
		t := k.tasks[a]
		if !k.world.quiet {
			k.world.rec.add("%s executes %s %s try %d (%s, arrived %.3f)", k.id, o.Verb, o.Piece, o.Try, by,
				arrived.Sub(k.world.rec.began).Seconds())
		}
		switch {
		case o.Verb == "launch" && t == nil:
			k.launch(a, arrived)
		case o.Verb == "kill" && t != nil:
			k.finish(a, t, "stopped")
		case o.Verb == "clear" && t != nil && t.status == "ended":
			delete(k.tasks, a)
		}
	}
}

// launch starts an attempt. The caller holds the mutex.
func (k *worker) launch(a attempt, arrived time.Time) {
	t := &task{status: "pulling"}
	k.tasks[a] = t
	k.nudge()
	j, ok := k.world.jobOf(a.piece)
	if !ok {
		t.status, t.cause = "ended", "unknown"
		return
	}
	t.job = j
	cpus, memory := 0.0, 0.0
	for other, o := range k.tasks {
		if o.status == "ended" {
			continue
		}
		if other.piece == a.piece && o != t {
			t.status, t.cause = "ended", "busy"
			return
		}
		cpus += o.job.VCPUs
		memory += o.job.Memory
	}
	if cpus > k.world.model.VCPUs+1e-6 || memory > k.world.model.Memory+1e-6 {
		t.status, t.cause = "ended", "full"
		return
	}
	if k.images[j.Bundle] {
		k.start(a, t, arrived)
		return
	}
	fetch := time.Duration(j.ImageGB / k.world.model.Pull * float64(time.Second))
	time.AfterFunc(fetch, func() {
		k.waitWhileHung()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.images[j.Bundle] = true
		if k.tasks[a] == t && t.status == "pulling" && !k.ended {
			k.start(a, t, arrived)
		}
	})
}

// start runs a task that has its image. The caller holds the mutex.
func (k *worker) start(a attempt, t *task, arrived time.Time) {
	t.status = "running"
	k.world.onStart(k, a, arrived)
	if k.results[a.piece] {
		k.finish(a, t, "done")
		return
	}
	k.nudge()
	if t.job.runs == 0 {
		return
	}
	time.AfterFunc(t.job.runs, func() {
		k.waitWhileHung()
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.tasks[a] == t && t.status == "running" && !k.ended {
			k.results[a.piece] = true
			k.finish(a, t, "done")
		}
	})
}

// reportLoop reports to one node at a time, at the interval of the settings and on changes.
func (k *worker) reportLoop(ctx context.Context) {
	node := rand.IntN(len(k.world.nodes))
	for ctx.Err() == nil {
		k.waitWhileHung()
		next, ok := k.sendReport(ctx, node)
		if !ok {
			node = next
			sleep(ctx, time.Second)
			continue
		}
		interval := time.Duration(float64(k.world.report) * (0.75 + 0.5*rand.Float64()))
		select {
		case <-ctx.Done():
		case <-k.changed:
			sleep(ctx, 500*time.Millisecond)
		case <-time.After(interval):
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendReport sends a report and executes the orders in the answer. It returns the node to report to next.
func (k *worker) sendReport(ctx context.Context, node int) (next int, ok bool) {
	other := (node + 1) % len(k.world.nodes)
	k.mu.Lock()
	k.checkLease()
	body, _ := json.Marshal(k.report())
	tenure := k.tenure
	k.mu.Unlock()
	if len(body) > maxBody {
		k.world.onOversize(k, "the report that the tasks of the machine need", len(body))
		return node, false // it can't be sent: a request body is at most 64 KiB
	}
	sent := time.Now()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+k.world.nodes[node].bind+"/checkin", bytes.NewReader(body))
	resp, err := k.client.Do(req)
	if err != nil {
		return other, false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return other, false
	}
	if resp.StatusCode != 200 {
		var q struct{ Home string }
		if resp.StatusCode == 421 && json.Unmarshal(text, &q) == nil {
			for i, n := range k.world.nodes {
				if n.name == q.Home && i != node {
					return i, false
				}
			}
		}
		return other, false
	}
	for _, line := range bytes.Split(text, []byte("\n")) {
		if len(line) > maxBody {
			k.world.onOversize(k, "a line of the answer to POST /checkin", len(line))
			return other, false
		}
	}
	var q struct {
		Epoch  *uint64 `json:"epoch"`
		Orders []order `json:"orders"`
	}
	arrived := time.Now()
	k.waitWhileHung()
	if time.Since(sent) > 4*time.Second || json.Unmarshal(text, &q) != nil {
		return other, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checkLease()
	if k.ended || tenure != k.tenure || q.Epoch == nil || *q.Epoch < k.epoch {
		return node, true // dropped
	}
	k.epoch, k.answered = *q.Epoch, sent
	k.execute(q.Orders, "answer", arrived)
	return node, true
}
