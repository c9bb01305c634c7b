package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// machineType is the only type that the cloud rents.
type machineType struct {
	SKU     string   `json:"sku"`
	VCPUs   float64  `json:"vcpus"`
	Cards   float64  `json:"cards"`
	Memory  float64  `json:"memory_gb"`
	Local   float64  `json:"local_gb"`
	Pull    float64  `json:"pull_gb_per_s"`
	Hourly  float64  `json:"hourly"`
	Market  float64  `json:"market_price"`
	Startup float64  `json:"startup_s"`
	Sites   []string `json:"sites"`
}

// cloud rents machines and runs a worker on each.
type cloud struct {
	world *world
	mu    sync.Mutex
	hires map[string][]string
	hosts map[string]*host
	last  int
}

type host struct {
	id, site string
	standby  bool
	rented   time.Time
	worker   *worker // nil while it boots
	gone     bool
}

func newCloud(w *world) *cloud {
	return &cloud{world: w, hires: map[string][]string{}, hosts: map[string]*host{}}
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, 200, map[string]any{"models": []machineType{c.world.model}})
	})
	mux.HandleFunc("POST /machines", c.rent)
	mux.HandleFunc("POST /machines/return", c.giveBack)
	mux.HandleFunc("GET /machines", c.list)
	return mux
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Hire, Model, Site string
		Standby           bool
		Number            int
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || q.Model != c.world.model.SKU || q.Number < 1 || q.Number > 50 {
		answer(w, 400, map[string]any{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.hires[q.Hire]; ok {
		answer(w, 200, map[string]any{"hosts": names})
		return
	}
	room := c.world.capacity
	for _, h := range c.hosts {
		if !h.gone && h.site == q.Site && h.standby == q.Standby {
			room--
		}
	}
	if room <= 0 {
		answer(w, 503, map[string]any{"error": "no capacity"})
		return
	}
	var names []string
	for range min(room, q.Number) {
		c.last++
		h := &host{id: fmt.Sprintf("host-%06d", c.last), site: q.Site, standby: q.Standby, rented: time.Now()}
		c.hosts[h.id] = h
		names = append(names, h.id)
		time.AfterFunc(c.world.boot, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !h.gone {
				h.worker = startWorker(c.world, h)
			}
		})
	}
	c.hires[q.Hire] = names
	c.world.rec.add("cloud rents %v in %s standby=%v", names, q.Site, q.Standby)
	answer(w, 200, map[string]any{"hosts": names})
}

func (c *cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var q struct{ Hosts []string }
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Hosts) > 100 {
		answer(w, 400, map[string]any{"error": "malformed"})
		return
	}
	for _, id := range q.Hosts {
		c.mu.Lock()
		h := c.hosts[id]
		var running *worker
		if h != nil && !h.gone {
			h.gone = true
			running = h.worker
			c.world.rec.add("cloud takes back %s", id)
		}
		c.mu.Unlock()
		if running != nil {
			running.end()
		}
	}
	answer(w, 200, map[string]any{})
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	type row struct {
		ID      string  `json:"id"`
		Addr    string  `json:"addr"`
		Model   string  `json:"model"`
		Site    string  `json:"site"`
		Standby bool    `json:"standby"`
		Status  string  `json:"status"`
		Age     float64 `json:"age_s"`
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []row{}
	for _, h := range c.hosts {
		age := time.Since(h.rented)
		if h.gone || h.id <= r.URL.Query().Get("since") || age < c.world.listLag {
			continue
		}
		one := row{ID: h.id, Model: c.world.model.SKU, Site: h.site, Standby: h.standby, Status: "booting", Age: age.Seconds()}
		if h.worker != nil {
			one.Status, one.Addr = "running", h.worker.addr
		}
		rows = append(rows, one)
	}
	sort.Slice(rows, func(i, k int) bool { return rows[i].ID < rows[k].ID })
	answer(w, 200, map[string]any{"hosts": rows[:min(len(rows), 500)], "truncated": len(rows) > 500})
}

// workers returns the workers of all machines that are up.
func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*worker
	for _, h := range c.hosts {
		if h.worker != nil && !h.gone {
			list = append(list, h.worker)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].id < list[k].id })
	return list
}
