package loopback

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
)

const (
	machineType = "m8"
	machineCPUs = 8
	// zoneCapacity is how many machines of a zone and kind there are where nothing is said.
	zoneCapacity = 8
	bootTime     = 100 * time.Millisecond
)

// provider is a cloud by its protocol, whose machines are workers in this process.
type provider struct {
	cluster  *Cluster
	capacity int // of a zone and kind

	mu                sync.Mutex
	lastMachineNumber int
	provisioned       map[string][]ident.MachineID
	machines          map[ident.MachineID]*machine
}

type machine struct {
	zone      string
	spot      bool
	createdAt time.Time
	worker    *worker // nil while it boots
}

func newProvider(c *Cluster, capacity int) *provider {
	if capacity == 0 {
		capacity = zoneCapacity
	}
	return &provider{cluster: c, capacity: capacity, provisioned: map[string][]ident.MachineID{},
		machines: map[ident.MachineID]*machine{}}
}

func (p *provider) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", p.catalog)
	mux.HandleFunc("POST /machines", p.provisionMachines)
	mux.HandleFunc("POST /machines/return", p.terminateMachines)
	mux.HandleFunc("GET /machines", p.listMachines)
	return mux
}

func (p *provider) catalog(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, map[string]any{"models": []cloud.MachineType{{SKU: machineType, VCPUs: machineCPUs, MemoryGB: 32,
		LocalDiskGB: 20,
		PullGBPerS:  1, HourlyPrice: 1, SpotPrice: 0.4, StartupS: 1, Zones: zones}}})
}

func (p *provider) provisionMachines(w http.ResponseWriter, r *http.Request) {
	var q cloud.Request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts, known := p.provisioned[q.RequestID]
	if !known {
		have := 0
		for _, m := range p.machines {
			if m.zone == q.Zone && m.spot == q.Spot {
				have++
			}
		}
		for range min(q.Count, p.capacity-have) {
			hosts = append(hosts, p.boot(q.Zone, q.Spot))
		}
		if len(hosts) == 0 {
			answer(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
			return
		}
		p.provisioned[q.RequestID] = hosts
	}
	answer(w, http.StatusOK, map[string]any{"hosts": hosts})
}

// boot starts a machine, whose worker is up a little later.
func (p *provider) boot(zone string, spot bool) ident.MachineID {
	p.lastMachineNumber++
	host := ident.MachineID(fmt.Sprintf("host-%06d", p.lastMachineNumber))
	m := &machine{zone: zone, spot: spot, createdAt: time.Now()}
	p.machines[host] = m
	time.AfterFunc(bootTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.machines[host] != m || p.cluster.stopped() {
			return
		}
		if k, err := newWorker(p.cluster, host, zone, spot); err == nil {
			m.worker = k
		}
	})
	return host
}

func (p *provider) terminateMachines(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Hosts []ident.MachineID `json:"hosts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, h := range q.Hosts {
		p.terminate(h)
	}
	answer(w, http.StatusOK, struct{}{})
}

// terminate ends a machine.
func (p *provider) terminate(h ident.MachineID) {
	p.mu.Lock()
	m := p.machines[h]
	delete(p.machines, h)
	p.mu.Unlock()
	if m != nil && m.worker != nil {
		m.worker.terminate()
	}
}

func (p *provider) listMachines(w http.ResponseWriter, r *http.Request) {
	since := ident.MachineID(r.URL.Query().Get("since"))
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := []cloud.ListedMachine{}
	for h, m := range p.machines {
		if h <= since {
			continue
		}
		l := cloud.ListedMachine{ID: h, Model: machineType, Zone: m.zone, Spot: m.spot, Status: "booting",
			AgeS: time.Since(m.createdAt).Seconds()}
		if m.worker != nil {
			l.Status, l.Addr = "running", m.worker.addr
		}
		hosts = append(hosts, l)
	}
	slices.SortFunc(hosts, func(a, b cloud.ListedMachine) int { return cmp.Compare(a.ID, b.ID) })
	answer(w, http.StatusOK, map[string]any{"hosts": hosts, "truncated": false})
}

// runningMachines lists the machines that are up, with nothing in use.
func (p *provider) runningMachines() map[ident.MachineID]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	up := map[ident.MachineID]float64{}
	for h, m := range p.machines {
		if m.worker != nil {
			up[h] = 0
		}
	}
	return up
}

// worker returns a machine's worker, nil if it has none.
func (p *provider) worker(h ident.MachineID) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.machines[h]; m != nil {
		return m.worker
	}
	return nil
}

// zoneOf returns the zone whose machine is at an address, empty if none is.
func (p *provider) zoneOf(addr string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.worker != nil && strings.EqualFold(m.worker.addr, addr) {
			return m.zone
		}
	}
	return ""
}

// terminateAll ends all machines.
func (p *provider) terminateAll() {
	p.mu.Lock()
	var hosts []ident.MachineID
	for h := range p.machines {
		hosts = append(hosts, h)
	}
	p.mu.Unlock()
	for _, h := range hosts {
		p.terminate(h)
	}
}
