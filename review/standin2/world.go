package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// job is a submission, with the time for which its tasks really run (0: until they are stopped).
type job struct {
	ID       string   `json:"id"`
	Lane     string   `json:"lane"`
	Desk     string   `json:"desk"`
	Shape    string   `json:"shape"`
	Rank     string   `json:"rank"`
	Pieces   int      `json:"pieces"`
	VCPUs    float64  `json:"vcpus"`
	Cards    float64  `json:"cards"`
	Memory   float64  `json:"memory_gb"`
	Models   []string `json:"models"`
	Site     *string  `json:"site"`
	OneZone  bool     `json:"one_zone"`
	Apart    bool     `json:"apart"`
	Standby  bool     `json:"standby"`
	Bundle   string   `json:"bundle"`
	ImageGB  float64  `json:"image_gb"`
	RuntimeS float64  `json:"runtime_s"`
	Every    float64  `json:"snapshot_every_s"`
	Save     float64  `json:"snapshot_s"`
	Due      *float64 `json:"due_s"`

	runs time.Duration
}

// batch returns an array of the team "desk-a" whose tasks run for a time.
func batch(id string, pieces int, vcpus, memory float64, bundle string, runs time.Duration) job {
	return job{ID: id, Lane: "render", Desk: "desk-a", Shape: "batch", Rank: "standard", Pieces: pieces, VCPUs: vcpus,
		Memory: memory, Bundle: bundle, ImageGB: 0.1, RuntimeS: runs.Seconds(), runs: runs}
}

// node is a controller, which runs as a process of its own.
type node struct {
	name, zone, bind, mesh string
	process                *exec.Cmd
	exited                 chan struct{}
	ended                  bool // ended by the case
}

// world is the surroundings of the controllers, and the record of what happens.
type world struct {
	rec           *record
	root, dir     string
	run           []string // the command of the deploy file
	trouble       bool
	quiet         bool // the single orders are not recorded
	nodes         []*node
	store         *store
	cloud         *cloud
	model         machineType
	capacity      int // machines for each zone and kind
	boot, listLag time.Duration
	report, lease time.Duration
	cancel        time.Duration
	limits        string // further settings of the cluster

	mu        sync.Mutex
	jobs      map[string]job
	running   map[string]map[string]bool // by piece: the machines that it is on
	starts    map[string]int             // by job: starts of its tasks
	done      map[string]int             // by job: completed tasks
	cancelled map[string]time.Time       // by job: when a user was told that it is cancelled
	lateStart []string                   // starts by orders that arrived after that
	twice     []string
	oversize  map[string]int // by kind: the largest message over 64 KiB
	// tasks that were killed because a lease expired, and those of services among them
	byLease, serviceByLease int
}

func (w *world) jobOf(piece string) (job, bool) {
	id, _, _ := strings.Cut(piece, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	return j, ok
}

func (w *world) onStart(k *worker, a attempt, arrived time.Time) {
	id, _, _ := strings.Cut(a.piece, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[id]++
	if w.running[a.piece] == nil {
		w.running[a.piece] = map[string]bool{}
	}
	if len(w.running[a.piece]) > 0 {
		w.twice = append(w.twice, a.piece)
		w.rec.add("RAN TWICE: %s starts on %s while it is on %v", a.piece, k.id, w.running[a.piece])
	}
	w.running[a.piece][k.id] = true
	if !w.quiet {
		w.rec.add("%s starts %s try %d", k.id, a.piece, a.try)
	}
	if told, ok := w.cancelled[id]; ok && arrived.After(told) {
		w.lateStart = append(w.lateStart, a.piece)
		w.rec.add("STARTED AFTER CANCELLATION: %s on %s, by an order that arrived %.3f s after the user was told", a.piece, k.id,
			arrived.Sub(told).Seconds())
	}
}

func (w *world) onEnd(k *worker, a attempt, cause string) {
	id, _, _ := strings.Cut(a.piece, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running[a.piece], k.id)
	if cause == "done" {
		w.done[id]++
	}
	if !w.quiet {
		w.rec.add("%s ends %s try %d: %s", k.id, a.piece, a.try, cause)
	}
}

func (w *world) onKilledByLease(a attempt) {
	id, _, _ := strings.Cut(a.piece, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byLease++
	if w.jobs[id].Shape == "service" {
		w.serviceByLease++
	}
}

func (w *world) onOversize(k *worker, what string, size int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.add("OVER 64 KiB: %s at %s has %d bytes", what, k.id, size)
	w.oversize[what] = max(w.oversize[what], size)
}

// freeAddr returns a loopback address with a port that was free.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, h)
	return l.Addr().String(), nil
}

// start starts the state service, the cloud and the controllers.
func (w *world) start(count int) error {
	w.jobs, w.running, w.starts = map[string]job{}, map[string]map[string]bool{}, map[string]int{}
	w.done, w.cancelled, w.oversize = map[string]int{}, map[string]time.Time{}, map[string]int{}
	w.cloud = newCloud(w)
	stateAddr, err := serve(w.store.handler())
	if err != nil {
		return err
	}
	cloudAddr, err := serve(w.cloud.handler())
	if err != nil {
		return err
	}
	zones := w.model.Sites
	for i := range count {
		n := &node{name: fmt.Sprintf("agent-%d", i), zone: zones[i%len(zones)]}
		if n.bind, err = freeAddr(); err != nil {
			return err
		}
		if n.mesh, err = freeAddr(); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		var b strings.Builder
		fmt.Fprintf(&b, "node_name = %q\nzone = %q\nbind = %q\nmesh_addr = %q\n", n.name, n.zone, n.bind, n.mesh)
		for _, o := range w.nodes {
			if o != n {
				fmt.Fprintf(&b, "[[siblings]]\nnode_name = %q\nzone = %q\naddress = %q\n", o.name, o.zone, o.mesh)
			}
		}
		fmt.Fprintf(&b, "[endpoints]\ncloud = %q\nstate = %q\n", cloudAddr, stateAddr)
		quoted, _ := json.Marshal(zones)
		fmt.Fprintf(&b, "[cluster]\nnodes = %d\nzones = %s\ntime_bound_ms = 250.0\n%s", count, quoted, w.limits)
		if err := os.WriteFile(w.settings(n), []byte(b.String()), 0o644); err != nil {
			return err
		}
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) settings(n *node) string { return filepath.Join(w.dir, n.name+".toml") }

func (w *world) startNode(n *node) error {
	args := append(append([]string{}, w.run[1:]...), w.settings(n))
	n.process = exec.Command(filepath.Join(w.root, w.run[0]), args...)
	n.process.Dir = w.root
	log, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	n.process.Stderr = log
	n.process.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	if err := n.process.Start(); err != nil {
		return err
	}
	n.exited, n.ended = make(chan struct{}), false
	w.rec.add("process %s starts", n.name)
	process, exited := n.process, n.exited
	go func() {
		process.Wait()
		close(exited)
		w.mu.Lock()
		defer w.mu.Unlock()
		if !n.ended {
			w.rec.add("process %s ENDED BY ITSELF", n.name)
		}
	}()
	return nil
}

func logLevel() string {
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		return l
	}
	return "info"
}

// kill ends the process of a node without a signal that it could handle.
func (w *world) kill(n *node) {
	w.mu.Lock()
	n.ended = true
	w.mu.Unlock()
	n.process.Process.Signal(syscall.SIGKILL)
	<-n.exited
	w.rec.add("process %s was killed", n.name)
}

// signal sends a signal to the process of a node.
func (w *world) signal(n *node, s syscall.Signal) {
	n.process.Process.Signal(s)
	w.rec.add("signal %v to %s", s, n.name)
}

func (w *world) stopAll() {
	for _, n := range w.nodes {
		if n.process != nil {
			w.mu.Lock()
			ended := n.ended
			w.mu.Unlock()
			if !ended {
				w.kill(n)
			}
		}
	}
	if w.cloud != nil {
		for _, k := range w.cloud.workers() {
			k.end()
		}
	}
}

// metrics returns the metrics of a node.
func (n *node) metrics() string {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.bind + "/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

// leader returns the node that leads, or nil.
func (w *world) leader() *node {
	for _, n := range w.nodes {
		if strings.Contains(n.metrics(), "\nopaldale_leadership_valid 1\n") {
			return n
		}
	}
	return nil
}

// awaitLeader waits until a node leads in the newest format and accepts a submission.
func (w *world) awaitLeader(limit time.Duration) (*node, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if n := w.leader(); n != nil && strings.Contains(n.metrics(), "\nopaldale_format_level 1\n") {
			w.rec.add("%s leads", n.name)
			return n, nil
		}
	}
	return nil, errors.New("no leader")
}

// followers returns the nodes other than the leader.
func (w *world) followers(leader *node) (list []*node) {
	for _, n := range w.nodes {
		if n != leader {
			list = append(list, n)
		}
	}
	return list
}

// reply is the answer to a user's request.
type reply struct {
	status int // 0: none
	ID     string
	Status string
	Done   int
	sent   time.Time
	at     time.Time
}

func (w *world) request(n *node, method, path string, body any, limit time.Duration) reply {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	req, _ := http.NewRequest(method, "http://"+n.bind+path, bytes.NewReader(b))
	c := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	r := reply{sent: time.Now()}
	resp, err := c.Do(req)
	r.at = time.Now()
	if err == nil {
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err == nil {
			r.status = resp.StatusCode
			json.Unmarshal(text, &r)
		}
		r.at = time.Now()
	}
	w.rec.add("user asks %s %s %s -> %d %s (after %.3f s)", n.name, method, path, r.status, r.Status, r.at.Sub(r.sent).Seconds())
	return r
}

// submit sends a submission once. Its tasks are known to the workers from then on.
func (w *world) submit(n *node, j job) reply {
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	return w.request(n, "POST", "/v2/runs", j, 5*time.Second)
}

// accept repeats a submission as users do until it is accepted.
func (w *world) accept(n *node, j job) error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if r := w.submit(n, j); r.status == 200 || r.status == 201 {
			return nil
		}
	}
	return fmt.Errorf("%s was not accepted", j.ID)
}

func (w *world) get(n *node, id string) reply {
	return w.request(n, "GET", "/v2/runs/"+id, nil, 2*time.Second)
}

func (w *world) cancelJob(n *node, id string) reply {
	r := w.request(n, "POST", "/v2/runs/"+id+"/cancel", nil, 5*time.Second)
	if r.status == 200 && r.Status == "cancelled" {
		w.mu.Lock()
		if _, ok := w.cancelled[id]; !ok {
			w.cancelled[id] = r.at
		}
		w.mu.Unlock()
	}
	return r
}

// await waits until a condition holds, and reports whether it did in time.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// count returns a number that the callbacks update.
func (w *world) count(m map[string]int, id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return m[id]
}
