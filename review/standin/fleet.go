package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// spec is a job as its user submits it.
type spec struct {
	ID             string   `json:"id"`
	Lane           string   `json:"lane"`
	Desk           string   `json:"desk"`
	Shape          string   `json:"shape"`
	Rank           string   `json:"rank"`
	Pieces         int      `json:"pieces"`
	VCPUs          float64  `json:"vcpus"`
	Cards          float64  `json:"cards"`
	MemoryGB       float64  `json:"memory_gb"`
	Bundle         string   `json:"bundle"`
	ImageGB        float64  `json:"image_gb"`
	Models         []string `json:"models"`
	Site           *string  `json:"site"`
	OneZone        bool     `json:"one_zone"`
	Apart          bool     `json:"apart"`
	Standby        bool     `json:"standby"`
	RuntimeS       float64  `json:"runtime_s"`
	SnapshotEveryS float64  `json:"snapshot_every_s"`
	SnapshotS      float64  `json:"snapshot_s"`
	DueS           *float64 `json:"due_s"`
}

// model is a machine type of the stand-in cloud.
type model struct {
	SKU         string   `json:"sku"`
	VCPUs       float64  `json:"vcpus"`
	Cards       float64  `json:"cards"`
	MemoryGB    float64  `json:"memory_gb"`
	LocalGB     float64  `json:"local_gb"`
	PullGBPerS  float64  `json:"pull_gb_per_s"`
	Hourly      float64  `json:"hourly"`
	MarketPrice float64  `json:"market_price"`
	StartupS    float64  `json:"startup_s"`
	Sites       []string `json:"sites"`
}

type pool struct {
	site    string
	standby bool
}

// cloud is a stand-in for the cloud. Its machines run workers in this process.
type cloud struct {
	w        *world
	mu       sync.Mutex
	model    model
	capacity map[pool]int
	boot     func() time.Duration
	last     int
	hires    map[string][]string
	machines map[string]*machine
	links    []*link
	listLag  time.Duration
}

type machine struct {
	id      string
	pool    pool
	created time.Time
	worker  *worker // nil while it boots
	gone    bool
}

func (c *cloud) handler(node int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, 200, map[string]any{"models": []model{c.model}})
	})
	mux.HandleFunc("POST /machines", func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Hire    string `json:"hire"`
			Model   string `json:"model"`
			Site    string `json:"site"`
			Standby bool   `json:"standby"`
			Number  int    `json:"number"`
		}
		if json.NewDecoder(r.Body).Decode(&q) != nil || q.Number < 1 || q.Number > 50 || q.Model != c.model.SKU {
			answer(w, 400, map[string]any{"error": "malformed"})
			return
		}
		c.mu.Lock()
		ids, repeated := c.hires[q.Hire]
		if !repeated {
			p := pool{q.Site, q.Standby}
			have := 0
			for _, m := range c.machines {
				if m.pool == p {
					have++
				}
			}
			for range min(q.Number, c.capacity[p]-have) {
				ids = append(ids, c.hire(p))
			}
			if len(ids) > 0 {
				c.hires[q.Hire] = ids
			}
		}
		c.mu.Unlock()
		c.w.rec.logf("cloud: node %d hires %d in %s (standby %v), hire %s: %v", node, q.Number, q.Site, q.Standby, q.Hire, ids)
		if len(ids) == 0 {
			answer(w, 503, map[string]any{"error": "no capacity"})
			return
		}
		answer(w, 200, map[string]any{"hosts": ids})
	})
	mux.HandleFunc("POST /machines/return", func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Hosts []string `json:"hosts"`
		}
		if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Hosts) > 100 {
			answer(w, 400, map[string]any{"error": "malformed"})
			return
		}
		for _, h := range q.Hosts {
			c.remove(h, "returned")
		}
		answer(w, 200, map[string]any{})
	})
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		most, _ := strconv.Atoi(q.Get("most"))
		if most < 1 || most > 500 {
			most = 500
		}
		c.mu.Lock()
		list := []map[string]any{}
		for id, m := range c.machines {
			if id > q.Get("since") && time.Since(m.created) > c.listLag {
				v := map[string]any{"id": id, "model": c.model.SKU, "site": m.pool.site, "standby": m.pool.standby,
					"status": "booting", "age_s": time.Since(m.created).Seconds()}
				if m.worker != nil {
					v["status"], v["addr"] = "running", m.worker.addr
				}
				list = append(list, v)
			}
		}
		c.mu.Unlock()
		sort.Slice(list, func(i, k int) bool { return list[i]["id"].(string) < list[k]["id"].(string) })
		answer(w, 200, map[string]any{"hosts": list[:min(most, len(list))], "truncated": len(list) > most})
	})
	return c.links[node].wrap(mux)
}

// hire adds a machine. The caller holds c.mu.
func (c *cloud) hire(p pool) string {
	c.last++
	id := fmt.Sprintf("host-%06d", c.last)
	m := &machine{id: id, pool: p, created: time.Now()}
	c.machines[id] = m
	time.AfterFunc(c.boot(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !m.gone {
			m.worker = newWorker(c.w, id, p)
		}
	})
	return id
}

// remove takes a machine away, with all that runs on it.
func (c *cloud) remove(id, why string) {
	c.mu.Lock()
	m := c.machines[id]
	delete(c.machines, id)
	if m != nil {
		m.gone = true
	}
	c.mu.Unlock()
	if m == nil {
		return
	}
	c.w.rec.logf("cloud: %s is %s", id, why)
	if m.worker != nil {
		m.worker.remove(why)
	}
}

func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*worker
	for _, m := range c.machines {
		if m.worker != nil {
			list = append(list, m.worker)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].id < list[k].id })
	return list
}

type attemptKey struct {
	job   string
	index int
	try   uint64
}

func (k attemptKey) piece() string { return fmt.Sprintf("%s/%d", k.job, k.index) }

type piece struct {
	key      attemptKey
	status   string
	cause    string
	stored   bool
	on       bool // it has its image and has not ended
	ready    time.Time
	finishAt time.Time
	stopAt   time.Time
	gatherAt time.Time // gang tasks: when they began to wait for the others
	lostAt   time.Time // gang tasks: when another one was found missing
}

// worker is a stand-in for the worker of one machine. All of its state is guarded by the world's mutex.
type worker struct {
	w         *world
	id, addr  string
	pool      pool
	server    *http.Server
	client    *http.Client
	tenure    uint64
	serial    uint64
	epoch     uint64
	renewed   time.Time
	pieces    map[attemptKey]*piece
	images    map[string]bool
	removed   bool
	change    chan struct{}
	hungUntil time.Time
	stop      context.CancelFunc
	home      int
	// faults of the machine's network
	noReports  bool // reports do not arrive (mute)
	noAnswers  bool // reports arrive, answers and direct commands are lost (deaf)
	noCommands bool
	lateCmd    func(list []order) time.Duration // how late a command is carried out, unanswered; 0: in time
	slowIn     time.Duration                    // of the link, for direct commands
	slowOut    time.Duration                    // for their answers
	slowReport time.Duration                    // for reports
	period     time.Duration                    // time between reports without a change; 0: drawn
	onReport   func()                           // called after each answered report
	lateReport func() time.Duration
	warnAt     time.Time
}

func newWorker(w *world, id string, p pool) *worker {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	k := &worker{w: w, id: id, addr: ln.Addr().String(), pool: p, tenure: 1, renewed: time.Now(),
		pieces: map[attemptKey]*piece{}, images: map[string]bool{}, change: make(chan struct{}, 1), home: rand.IntN(len(w.nodes))}
	k.client = &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", k.commands)
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		k.advance()
		r := k.report()
		w.mu.Unlock()
		answer(rw, 200, r)
	})
	k.server = &http.Server{Handler: mux}
	go func() { _ = k.server.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	k.stop = cancel
	w.rec.logf("%s is up at %s in %s (standby %v)", id, k.addr, p.site, p.standby)
	w.mu.Lock()
	w.all = append(w.all, k)
	w.mu.Unlock()
	go k.tick(ctx)
	go k.reports(ctx)
	return k
}

func (k *worker) remove(why string) {
	k.stop()
	_ = k.server.Close()
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	k.removed = true
	for _, p := range k.pieces {
		k.end(p, "", why)
	}
	k.pieces = map[attemptKey]*piece{}
}

// tick advances the worker in steps of a few milliseconds.
func (k *worker) tick(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		k.w.mu.Lock()
		k.advance()
		k.w.mu.Unlock()
	}
}

func (k *worker) hung() bool { return time.Now().Before(k.hungUntil) }

// leaseEnd is when the tasks end unless a report is answered. Tasks of a hung machine do not run beyond it.
func (k *worker) leaseEnd() time.Time { return k.renewed.Add(k.w.lease) }

// advance lets time pass: the lease, image fetches, run times. The caller holds the world's mutex.
func (k *worker) advance() {
	now := time.Now()
	if k.removed {
		return
	}
	if now.After(k.leaseEnd()) {
		k.w.rec.logf("%s: lease of tenure %d expired", k.id, k.tenure)
		for _, p := range k.pieces {
			k.end(p, "", "lease expired")
		}
		k.pieces = map[attemptKey]*piece{}
		k.tenure++
		k.renewed = now
		k.changed()
	}
	if k.hung() {
		return
	}
	for _, p := range k.pieces {
		if k.w.jobs[p.key.job] != nil && k.w.jobs[p.key.job].spec.Shape == "gang" && (p.status == "gathering" || p.status == "running") {
			k.advanceGang(p, now)
			continue
		}
		switch {
		case p.status == "pulling" && now.After(p.ready):
			k.images[k.w.jobs[p.key.job].spec.Bundle] = true
			k.start(p)
		case p.status == "running" && !p.finishAt.IsZero() && now.After(p.finishAt):
			k.end(p, "done", "")
			k.w.done(p.key)
		case p.status == "flushing" && now.After(p.stopAt):
			p.stored = true
			k.end(p, "stopped", "")
		}
	}
}

func (k *worker) changed() {
	select {
	case k.change <- struct{}{}:
	default:
	}
}

func (k *worker) start(p *piece) {
	j := k.w.jobs[p.key.job]
	p.status, p.on = "running", true
	k.w.started(k, p.key)
	if j.spec.Shape == "gang" {
		p.status, p.gatherAt = "gathering", time.Now()
		k.changed()
		return
	}
	if j.broken {
		k.end(p, "error", "")
		return
	}
	if j.spec.Shape != "service" {
		run := j.run
		if j.doneTasks[p.key.index] {
			run = 0
		}
		p.finishAt = time.Now().Add(run)
	}
	k.changed()
}

func (k *worker) end(p *piece, cause, why string) {
	if p.status == "ended" {
		return
	}
	if p.on {
		p.on = false
		k.w.ended(k, p.key, cause+why)
	}
	p.status, p.cause = "ended", cause
	k.changed()
}

type order struct {
	Verb      string   `json:"verb"`
	Piece     string   `json:"piece"`
	Try       uint64   `json:"try"`
	WindDownS *float64 `json:"wind_down_s"`
}

// execute carries out orders. The caller holds the world's mutex.
func (k *worker) execute(list []order, how string) {
	for _, o := range list {
		var key attemptKey
		if _, err := fmt.Sscanf(o.Piece, "j-%d/%d", new(int), &key.index); err != nil {
			k.w.violate("bad_order", "%s: %+v", k.id, o)
			continue
		}
		key.job, key.try = o.Piece[:bytes.IndexByte([]byte(o.Piece), '/')], o.Try
		p := k.pieces[key]
		k.w.rec.logf("%s: %s %s try %d (%s)", k.id, o.Verb, o.Piece, o.Try, how)
		switch o.Verb {
		case "launch":
			if p == nil {
				k.launch(key)
			}
		case "kill":
			if p == nil || p.status == "ended" {
				continue
			}
			s := k.w.jobs[key.job].spec
			if p.status == "running" && s.SnapshotEveryS > 0 && s.Shape != "service" && o.WindDownS != nil && *o.WindDownS >= s.SnapshotS {
				p.status = "flushing"
				p.stopAt = time.Now().Add(time.Duration(s.SnapshotS * float64(time.Second)))
				k.changed()
			} else if p.status != "flushing" || o.WindDownS == nil || *o.WindDownS < s.SnapshotS {
				k.end(p, "stopped", "")
			}
		case "clear":
			if p != nil && p.status == "ended" {
				delete(k.pieces, key)
				k.changed()
			}
		}
	}
}

func (k *worker) launch(key attemptKey) {
	p := &piece{key: key, status: "pulling"}
	k.pieces[key] = p
	k.changed()
	j := k.w.jobs[key.job]
	if j == nil || key.index >= j.spec.Pieces {
		p.status, p.cause = "ended", "unknown"
		return
	}
	cpus, memory := j.spec.VCPUs, j.spec.MemoryGB
	for other, o := range k.pieces {
		if o == p || o.status == "ended" {
			continue
		}
		if other.job == key.job && other.index == key.index {
			p.status, p.cause = "ended", "busy"
			return
		}
		s := k.w.jobs[other.job].spec
		cpus += s.VCPUs
		memory += s.MemoryGB
	}
	if cpus > k.w.cloud.model.VCPUs+1e-6 || memory > k.w.cloud.model.MemoryGB+1e-6 {
		p.status, p.cause = "ended", "full"
		return
	}
	p.ready = time.Now()
	if !k.images[j.spec.Bundle] {
		p.ready = p.ready.Add(time.Duration(j.spec.ImageGB / k.w.cloud.model.PullGBPerS * float64(time.Second)))
	}
}

func (k *worker) report() map[string]any {
	k.serial++
	list := []map[string]any{}
	for key, p := range k.pieces {
		v := map[string]any{"piece": key.piece(), "try": key.try, "status": p.status}
		if p.status == "ended" {
			v["cause"] = p.cause
			if p.stored {
				v["stored"] = true
			}
		}
		list = append(list, v)
	}
	var warning any
	if !k.warnAt.IsZero() {
		warning = max(0, time.Until(k.warnAt).Seconds())
	}
	return map[string]any{"host": k.id, "addr": k.addr, "model": k.w.cloud.model.SKU, "site": k.pool.site,
		"standby": k.pool.standby, "tenure": k.tenure, "serial": k.serial, "epoch": k.epoch, "warning_s": warning, "pieces": list}
}

func (k *worker) commands(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k.w.mu.Lock()
	cut, late := k.noCommands || k.noAnswers, k.lateCmd
	wait := time.Until(k.hungUntil)
	k.w.mu.Unlock()
	if cut {
		hangUp(r)
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	var q struct {
		Orders []order `json:"orders"`
	}
	_ = json.Unmarshal(body, &q)
	if late != nil {
		if d := late(q.Orders); d > 0 {
			k.w.rec.logf("%s: commands %s are held up for %v", k.id, body, d)
			go func() {
				time.Sleep(d)
				status, _ := k.carryOut(body, "late by "+d.String())
				k.w.rec.logf("%s: late commands answered %d", k.id, status)
			}()
			hangUp(r)
		}
	}
	time.Sleep(k.slowIn)
	status, v := k.carryOut(body, "direct")
	time.Sleep(k.slowOut)
	answer(rw, status, v)
}

func (k *worker) carryOut(body []byte, how string) (int, any) {
	var q struct {
		Epoch  *uint64 `json:"epoch"`
		Tenure *uint64 `json:"tenure"`
		Orders []order `json:"orders"`
	}
	if json.Unmarshal(body, &q) != nil || q.Epoch == nil || q.Tenure == nil {
		return 400, map[string]any{}
	}
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	k.advance()
	if k.removed || *q.Epoch < k.epoch || *q.Tenure != k.tenure {
		return 409, k.report()
	}
	if *q.Epoch > k.epoch {
		k.epoch = *q.Epoch
		k.changed()
	}
	k.execute(q.Orders, fmt.Sprintf("%s, epoch %d", how, *q.Epoch))
	return 200, k.report()
}

// reports sends the reports.
func (k *worker) reports(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		every := time.Duration(float64(k.w.reportEvery) * (0.75 + 0.5*rand.Float64()))
		if k.period > 0 {
			every = k.period
		}
		select {
		case <-ctx.Done():
			return
		case <-k.change:
			if d := 500*time.Millisecond - time.Since(last); d > 0 {
				time.Sleep(d)
			}
		case <-time.After(every):
		}
		k.w.mu.Lock()
		wait := time.Until(k.hungUntil)
		k.w.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
		}
		select {
		case <-k.change:
		default:
		}
		last = time.Now()
		if !k.reportOnce(ctx) {
			time.Sleep(time.Second)
			k.changed()
		}
	}
}

// reportOnce sends a report. It returns false if the worker must try the next node 1 s later.
func (k *worker) reportOnce(ctx context.Context) bool {
	k.w.mu.Lock()
	k.advance()
	r := k.report()
	body, _ := json.Marshal(r)
	tenure, sent, home, mute := k.tenure, time.Now(), k.home, k.noReports
	late, slow := k.lateReport, k.slowReport
	k.w.mu.Unlock()
	next := func() bool {
		k.w.mu.Lock()
		if k.home == home {
			k.home = (home + 1) % len(k.w.nodes)
		}
		k.w.mu.Unlock()
		return false
	}
	if mode, _, _ := k.w.workerLinks[home].get(); mute || mode != up {
		time.Sleep(time.Second)
		return next()
	}
	url := "http://" + k.w.nodes[home].bind + "/checkin"
	if late != nil {
		if d := late(); d > 0 {
			time.AfterFunc(d, func() {
				resp, err := http.Post(url, "application/json", bytes.NewReader(body))
				if err == nil {
					resp.Body.Close()
					k.w.rec.logf("%s: copy of report %d delivered %v late: %d", k.id, r["serial"], d, resp.StatusCode)
				}
			})
		}
	}
	time.Sleep(slow)
	req, _ := http.NewRequestWithContext(ctx, "POST", url, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := k.client.Do(req)
	if err != nil {
		return next()
	}
	b, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return next()
	}
	k.w.mu.Lock()
	hung, deaf := k.hung(), k.noAnswers
	wait := time.Until(k.hungUntil)
	k.w.mu.Unlock()
	if deaf {
		time.Sleep(max(0, 4*time.Second-time.Since(sent)))
		return next()
	}
	if hung {
		time.Sleep(wait)
	}
	if time.Since(sent) > 4*time.Second {
		return next()
	}
	switch resp.StatusCode {
	case 200:
		var q struct {
			Epoch  *uint64 `json:"epoch"`
			Orders []order `json:"orders"`
		}
		if json.Unmarshal(b, &q) != nil {
			return next()
		}
		k.w.mu.Lock()
		defer k.w.mu.Unlock()
		k.advance()
		if k.removed || tenure != k.tenure || q.Epoch == nil || *q.Epoch < k.epoch {
			return true
		}
		if *q.Epoch > k.epoch {
			k.epoch = *q.Epoch
		}
		k.renewed = sent
		k.execute(q.Orders, fmt.Sprintf("answer of %s to report %d, epoch %d", k.w.nodes[home].name, r["serial"], *q.Epoch))
		if k.onReport != nil {
			go k.onReport()
		}
		return true
	case 421:
		var q struct {
			Home string `json:"home"`
		}
		_ = json.Unmarshal(b, &q)
		for i, n := range k.w.nodes {
			if n.name == q.Home && i != home {
				k.w.mu.Lock()
				k.home = i
				k.w.mu.Unlock()
				k.changed()
				return true
			}
		}
	}
	return next()
}
