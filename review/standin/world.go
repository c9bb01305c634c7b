package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// job is what the stand-ins know about a job.
type job struct {
	spec       spec
	run        time.Duration
	broken     bool
	submitted  time.Time
	accepted   time.Time // when the first answer said so
	asked      time.Time // first request to cancel it
	cancelled  time.Time // when the user was told
	doneTold   time.Time
	doneTasks  map[int]bool
	on         map[attemptKey]*worker // tasks that have their image, by attempt
	starts     int
	firstStart time.Time
	lastStart  time.Time
	lastDone   time.Time
}

type team struct {
	name          string
	cpus, cpusMax float64
	gpus, gpusMax float64
}

type options struct {
	sites                                     []string // of the nodes, in turn
	teams                                     []team
	report, lease, cancel, gangWait, gangPeer float64
	stateRPS, writeRPS, valueKB               float64
	txnOps                                    int
	cloudRPS, listLag                         float64
	cores, memoryMB                           float64
	sockets                                   int
	boundMS                                   float64
	objectives                                string // further TOML
	tuning                                    string
	model                                     model
	capacity                                  map[pool]int
	boot                                      func() time.Duration
}

type node struct {
	name, site string
	bind, mesh string
	cfg        string
	cmd        *exec.Cmd
	log        *os.File
	stopped    bool
}

// world is a deployment: the program's processes, and stand-ins for everything else.
type world struct {
	mu          sync.Mutex
	rec         *record
	dir         string
	opt         options
	nodes       []*node
	state       *state
	cloud       *cloud
	mesh        map[[2]int]*proxy
	workerLinks []*link // from the workers to a node
	jobs        map[string]*job
	lease       time.Duration
	reportEvery time.Duration
	violations  []string
	procs       []string // the command of the deploy file
	closing     bool
	starter     starter
	all         []*worker
}

func (w *world) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.violations = append(w.violations, text)
	w.rec.logf("VIOLATION %s", text)
}

func port() string {
	for {
		// below the range of ports for outgoing connections
		addr := fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(22000))
		if ln, err := net.Listen("tcp4", addr); err == nil {
			ln.Close()
			return addr
		}
	}
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// deployCommand returns the command of the deploy file that starts a node.
func deployCommand() []string {
	b, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		cannot("%v", err)
	}
	for _, line := range strings.Split(string(b), "\n") {
		if k, v, ok := strings.Cut(line, "="); ok && strings.TrimSpace(k) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(v), `"`))
		}
	}
	cannot("deploy/service.toml has no run")
	return nil
}

// cannot ends a case that can't run.
func cannot(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}

func newWorld(recordPath string, opt options, nodes int) *world {
	f, err := os.Create(recordPath)
	if err != nil {
		cannot("%v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannot("%v", err)
	}
	w := &world{rec: &record{f: f, start: time.Now()}, dir: dir, opt: opt, jobs: map[string]*job{}, mesh: map[[2]int]*proxy{},
		lease: secs(opt.lease), reportEvery: secs(opt.report), procs: deployCommand(), starter: newStarter()}
	go w.endOnSignal()
	w.state = newState(w.rec, nodes)
	w.cloud = &cloud{w: w, model: opt.model, capacity: opt.capacity, boot: opt.boot, hires: map[string][]string{},
		machines: map[string]*machine{}, listLag: secs(opt.listLag)}
	for i := range nodes {
		w.cloud.links = append(w.cloud.links, &link{})
		w.workerLinks = append(w.workerLinks, &link{})
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("agent-%d", i), site: opt.sites[i%len(opt.sites)], bind: port(), mesh: port()})
	}
	for i := range nodes {
		for k := range nodes {
			if i != k {
				w.mesh[[2]int{i, k}] = newProxy(w.nodes[k].mesh)
			}
		}
	}
	for i, n := range w.nodes {
		w.writeConfig(i, n, serve(w.state.handler(i)), serve(w.cloud.handler(i)))
	}
	return w
}

func serve(h http.Handler) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	srv := &http.Server{Handler: h, ConnContext: connContext}
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String()
}

func (w *world) writeConfig(i int, n *node, stateAddr, cloudAddr string) {
	var b strings.Builder
	o := w.opt
	fmt.Fprintf(&b, "node_name = %q\nzone = %q\nbind = %q\nmesh_addr = %q\n\n", n.name, n.site, n.bind, n.mesh)
	for k, m := range w.nodes {
		if k != i {
			fmt.Fprintf(&b, "[[siblings]]\nnode_name = %q\nzone = %q\naddress = %q\n\n", m.name, m.site, w.mesh[[2]int{i, k}].ln.Addr().String())
		}
	}
	var quoted []string
	for _, s := range o.model.Sites {
		quoted = append(quoted, fmt.Sprintf("%q", s))
	}
	fmt.Fprintf(&b, "[endpoints]\ncloud = %q\nstate = %q\n\n[cluster]\nnodes = %d\nzones = [%s]\ntime_bound_ms = %v\n\n",
		cloudAddr, stateAddr, len(w.nodes), strings.Join(quoted, ", "), dec(o.boundMS))
	for _, t := range o.teams {
		fmt.Fprintf(&b, "[[cluster.teams]]\nname = %q\ncpus = %s\ncpus_max = %s\ngpus = %s\ngpus_max = %s\n\n",
			t.name, dec(t.cpus), dec(t.cpusMax), dec(t.gpus), dec(t.gpusMax))
	}
	b.WriteString(o.objectives)
	fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %s\nlease_s = %s\ngang_wait_s = %s\ngang_peer_s = %s\ncancel_s = %s\n\n",
		dec(o.report), dec(o.lease), dec(o.gangWait), dec(o.gangPeer), dec(o.cancel))
	fmt.Fprintf(&b, "[cluster.state]\nrps = %s\nwrite_rps = %s\nvalue_kb = %s\ntxn_ops = %d\n\n", dec(o.stateRPS), dec(o.writeRPS), dec(o.valueKB), o.txnOps)
	fmt.Fprintf(&b, "[cluster.cloud]\nrps = %s\nlist_lag_s = %s\n\n", dec(o.cloudRPS), dec(o.listLag))
	fmt.Fprintf(&b, "[cluster.resources]\ncores = %s\nmemory_mb = %s\nsockets = %d\n", dec(o.cores), dec(o.memoryMB), o.sockets)
	n.cfg = filepath.Join(w.dir, n.name+".toml")
	if err := os.WriteFile(n.cfg, []byte(b.String()), 0o644); err != nil {
		cannot("%v", err)
	}
}

func dec(x float64) string {
	s := fmt.Sprintf("%v", x)
	if !strings.ContainsAny(s, ".e") {
		s += ".0"
	}
	return s
}

func (w *world) startNode(i int) {
	n := w.nodes[i]
	if n.log == nil {
		f, err := os.Create(filepath.Join(w.dir, n.name+".log"))
		if err != nil {
			cannot("%v", err)
		}
		n.log = f
	}
	cmd := exec.Command(w.procs[0], append(append([]string{}, w.procs[1:]...), n.cfg)...)
	cmd.Stderr, cmd.Stdout = n.log, n.log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	if w.opt.tuning != "" {
		path := filepath.Join(w.dir, "tuning.sexp")
		_ = os.WriteFile(path, []byte(w.opt.tuning), 0o644)
		cmd.Env = append(cmd.Env, "OPALDALE_TUNING="+path)
	}
	if err := w.starter.start(cmd); err != nil {
		cannot("%v", err)
	}
	n.cmd = cmd
	w.rec.logf("%s started, process %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		if n.cmd == cmd && !w.closing {
			if text, _ := os.ReadFile(n.log.Name()); bytes.Contains(text, []byte("address already in use")) {
				w.rec.logf("the port of %s is taken", n.name)
				go w.giveUp("the port of %s is taken", n.name)
				return
			}
			w.violate("ended", "%s ended by itself: %v", n.name, err)
		}
	}()
}

func logLevel() string {
	if s := os.Getenv("LOG_LEVEL"); s != "" {
		return s
	}
	return "info"
}

func (w *world) killNode(i int) {
	n := w.nodes[i]
	w.mu.Lock()
	cmd := n.cmd
	n.cmd = nil
	w.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		w.rec.logf("%s killed", n.name)
	}
}

func (w *world) signal(i int, s syscall.Signal) {
	n := w.nodes[i]
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
		w.rec.logf("%s: signal %v", n.name, s)
	}
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	for i := range w.nodes {
		w.killNode(i)
	}
	time.Sleep(50 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// leader returns the node whose metrics say that it leads, or -1.
func (w *world) leader() int {
	for i := range w.nodes {
		c := http.Client{Timeout: 300 * time.Millisecond}
		resp, err := c.Get("http://" + w.nodes[i].bind + "/metrics")
		if err != nil {
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if bytes.Contains(b, []byte("opaldale_leadership_valid 1")) {
			return i
		}
	}
	return -1
}

func (w *world) waitLeader(limit time.Duration) int {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i := w.leader(); i >= 0 {
			return i
		}
	}
	return -1
}

// done records that a task has completed. The caller holds w.mu.
func (w *world) done(k attemptKey) {
	j := w.jobs[k.job]
	j.doneTasks[k.index] = true
	j.lastDone = time.Now()
}

// started records that a task is on its machine, and checks the rules that a start can break.
func (w *world) started(k *worker, key attemptKey) {
	j := w.jobs[key.job]
	w.rec.logf("%s: %s try %d starts", k.id, key.piece(), key.try)
	j.starts++
	j.lastStart = time.Now()
	if j.firstStart.IsZero() {
		j.firstStart = time.Now()
	}
	for other, m := range j.on {
		if other.index == key.index && m != k {
			w.violate("ran_twice", "%s try %d starts on %s while try %d is on %s", key.piece(), key.try, k.id, other.try, m.id)
		}
	}
	if j.spec.Site != nil && *j.spec.Site != k.pool.site || k.pool.standby && !j.spec.Standby {
		w.violate("wrong_place", "%s starts on %s in %s (standby %v)", key.piece(), k.id, k.pool.site, k.pool.standby)
	}
	inZone := 1
	for other, m := range j.on {
		if other.index == key.index {
			continue
		}
		if m.pool.site == k.pool.site {
			inZone++
		} else if j.spec.OneZone {
			w.violate("wrong_place", "%s starts in %s, %s is in %s", key.piece(), k.pool.site, other.piece(), m.pool.site)
		}
	}
	if j.spec.Apart && inZone > (j.spec.Pieces+1)/2 {
		w.violate("wrong_place", "%s: %d tasks in %s", key.piece(), inZone, k.pool.site)
	}
	j.on[key] = k
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > secs(w.opt.cancel) {
		w.violate("ran_cancelled", "%s starts on %s %v after the cancellation", key.piece(), k.id, time.Since(j.cancelled))
	}
	used := 0.0
	for _, o := range w.jobs {
		if o.spec.Desk == j.spec.Desk {
			used += float64(len(o.on)) * o.spec.VCPUs
		}
	}
	for _, t := range w.opt.teams {
		if t.name == j.spec.Desk && t.cpusMax > 0 && used > t.cpusMax+1e-6 {
			w.violate("quota", "%s uses %v of %v", t.name, used, t.cpusMax)
		}
	}
}

func (w *world) ended(k *worker, key attemptKey, why string) {
	j := w.jobs[key.job]
	delete(j.on, key)
	w.rec.logf("%s: %s try %d ends: %s", k.id, key.piece(), key.try, why)
}

// checkCancelled checks that no cancelled task outlives its time.
func (w *world) checkCancelled() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, j := range w.jobs {
		if !j.cancelled.IsZero() && time.Since(j.cancelled) > secs(w.opt.cancel) {
			for key, m := range j.on {
				w.violate("ran_cancelled", "%s is on %s %v after %s was told to be cancelled", key.piece(), m.id, time.Since(j.cancelled), id)
			}
		}
	}
}

// reply is an answer to a user.
type reply struct {
	status int
	ID     string `json:"id"`
	Status string `json:"status"`
	Done   int    `json:"done"`
	Error  string `json:"error"`
	retry  string
}

func (w *world) request(node int, method, path string, body []byte, timeout time.Duration) reply {
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+w.nodes[node].bind+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	r := reply{status: resp.StatusCode, retry: resp.Header.Get("Retry-After")}
	_ = json.Unmarshal(b, &r)
	return r
}

// add makes a job known to the stand-ins, before its user submits it.
func (w *world) add(s spec, run time.Duration) *job {
	j := &job{spec: s, run: run, doneTasks: map[int]bool{}, on: map[attemptKey]*worker{}}
	w.mu.Lock()
	w.jobs[s.ID] = j
	w.mu.Unlock()
	return j
}

// told checks an answer about a job. sent is when the request was sent.
func (w *world) told(node int, what string, j *job, sent time.Time, r reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.logf("user: %s %s at %s: %d %s %s", what, j.spec.ID, w.nodes[node].name, r.status, r.Status, r.Error)
	before := func(t time.Time) bool { return !t.IsZero() && t.Before(sent) }
	if before(j.accepted) && (r.status == 404 || what == "submit" && (r.status == 400 || r.status == 422)) {
		w.violate("forgotten", "%s of %s at %s gets %d", what, j.spec.ID, w.nodes[node].name, r.status)
	}
	if r.status != 200 && r.status != 201 {
		return
	}
	if what == "get" && j.submitted.IsZero() {
		w.violate("invented", "%s gets 200", j.spec.ID)
	}
	if r.ID != j.spec.ID {
		w.violate("foreign", "%s gets an answer about %s", j.spec.ID, r.ID)
	}
	if r.Status == "done" && len(j.doneTasks) < j.spec.Pieces {
		w.violate("not_done", "%s is called done, %d of %d tasks have completed", j.spec.ID, len(j.doneTasks), j.spec.Pieces)
	}
	if before(j.doneTold) && r.Status != "done" || before(j.cancelled) && r.Status != "cancelled" {
		w.violate("went_back", "%s of %s at %s: %s", what, j.spec.ID, w.nodes[node].name, r.Status)
	}
	if r.Status == "cancelled" && j.asked.IsZero() {
		w.violate("went_back", "%s is called cancelled, its user has not asked for that", j.spec.ID)
	}
	now := time.Now()
	if j.accepted.IsZero() {
		j.accepted = now
	}
	if r.Status == "done" && j.doneTold.IsZero() {
		j.doneTold = now
	}
	if r.Status == "cancelled" && j.cancelled.IsZero() {
		j.cancelled = now
	}
}

func (w *world) submit(node int, j *job) reply {
	body, _ := json.Marshal(j.spec)
	return w.submitBody(node, j, body)
}

func (w *world) submitBody(node int, j *job, body []byte) reply {
	w.mu.Lock()
	if j.submitted.IsZero() {
		j.submitted = time.Now()
	}
	w.mu.Unlock()
	sent := time.Now()
	r := w.request(node, "POST", "/v2/runs", body, 5*time.Second)
	w.told(node, "submit", j, sent, r)
	return r
}

func (w *world) get(node int, j *job) reply {
	sent := time.Now()
	r := w.request(node, "GET", "/v2/runs/"+j.spec.ID, nil, 2*time.Second)
	w.told(node, "get", j, sent, r)
	return r
}

func (w *world) cancel(node int, j *job) reply {
	w.mu.Lock()
	if j.asked.IsZero() {
		j.asked = time.Now()
	}
	w.mu.Unlock()
	sent := time.Now()
	r := w.request(node, "POST", "/v2/runs/"+j.spec.ID+"/cancel", nil, 5*time.Second)
	w.told(node, "cancel", j, sent, r)
	return r
}

// giveUp ends a case that can't run.
func (w *world) giveUp(format string, args ...any) {
	w.rec.logf(format, args...)
	w.close()
	cannot(format, args...)
}

// endOnSignal ends all processes when this one is told to end.
func (w *world) endOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	<-told
	w.giveUp("told to end")
}

// starter starts processes on a thread that lives as long as this process does, so that the system ends them with it.
type starter struct {
	requests chan func()
}

func newStarter() starter {
	s := starter{requests: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.requests {
			f()
		}
	}()
	return s
}

func (s starter) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	errs := make(chan error)
	s.requests <- func() { errs <- cmd.Start() }
	return <-errs
}
