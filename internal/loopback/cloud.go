package loopback

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/decode"
	"opaldale/internal/ident"
)

const (
	machineType = "m8"
	machineCPUs = 8
	// defaultZoneCapacity is the default of Options.ZoneCapacity.
	defaultZoneCapacity = 8
	// bootDuration is the time from provisioning a machine to the start of its worker.
	bootDuration = 100 * time.Millisecond
)

// provider is a cloud provider that serves the HTTP API of the cloud. Each of its machines is a worker in this process.
type provider struct {
	cluster  *Cluster
	capacity int // maximum number of machines per zone, for spot and on-demand machines separately

	mu                sync.Mutex
	lastMachineNumber int
	provisioned       map[string][]ident.MachineID // machines by request ID, so that a retry provisions no more machines
	machines          map[ident.MachineID]*machine
}

// machine is a machine that the cloud has provisioned.
type machine struct {
	zone      string
	spot      bool
	createdAt time.Time
	worker    *worker // nil while the machine boots
}

func newProvider(c *Cluster, capacity int) *provider {
	if capacity == 0 {
		capacity = defaultZoneCapacity
	}
	return &provider{
		cluster:     c,
		capacity:    capacity,
		provisioned: map[string][]ident.MachineID{},
		machines:    map[ident.MachineID]*machine{},
	}
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
	writeJSON(w, http.StatusOK, map[string]any{"models": []cloud.MachineType{{
		SKU:         machineType,
		VCPUs:       machineCPUs,
		MemoryGB:    32,
		LocalDiskGB: 20,
		PullGBPerS:  1,
		HourlyPrice: 1,
		SpotPrice:   0.4,
		StartupS:    1,
		Zones:       zones,
	}}})
}

func (p *provider) provisionMachines(w http.ResponseWriter, r *http.Request) {
	var q cloud.Request
	if err := decode.JSONFrom(r.Body, &q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ids, repeated := p.provisioned[q.RequestID]
	if !repeated {
		existing := 0
		for _, m := range p.machines {
			if m.zone == q.Zone && m.spot == q.Spot {
				existing++
			}
		}
		for range min(q.Count, p.capacity-existing) {
			ids = append(ids, p.provisionMachine(q.Zone, q.Spot))
		}
		if len(ids) == 0 {
			writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
			return
		}
		p.provisioned[q.RequestID] = ids
	}
	writeJSON(w, http.StatusOK, map[string]any{"hosts": ids})
}

// provisionMachine adds a machine, whose worker starts after bootDuration. The caller must hold p.mu.
func (p *provider) provisionMachine(zone string, spot bool) ident.MachineID {
	p.lastMachineNumber++
	id := ident.MachineID(fmt.Sprintf("host-%06d", p.lastMachineNumber))
	m := &machine{zone: zone, spot: spot, createdAt: time.Now()}
	p.machines[id] = m
	time.AfterFunc(bootDuration, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.machines[id] != m || p.cluster.stopped() {
			return
		}
		if w, err := newWorker(p.cluster, id, zone, spot); err == nil {
			m.worker = w
		}
	})
	return id
}

func (p *provider) terminateMachines(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Hosts []ident.MachineID `json:"hosts"`
	}
	if err := decode.JSONFrom(r.Body, &q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, id := range q.Hosts {
		p.terminate(id)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// terminate terminates a machine and its worker.
func (p *provider) terminate(id ident.MachineID) {
	p.mu.Lock()
	m := p.machines[id]
	delete(p.machines, id)
	p.mu.Unlock()
	if m != nil && m.worker != nil {
		m.worker.terminate()
	}
}

func (p *provider) listMachines(w http.ResponseWriter, r *http.Request) {
	since := ident.MachineID(r.URL.Query().Get("since"))
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []cloud.ListedMachine{}
	for id, m := range p.machines {
		if id <= since {
			continue
		}
		l := cloud.ListedMachine{
			ID:     id,
			Model:  machineType,
			Zone:   m.zone,
			Spot:   m.spot,
			Status: "booting",
			AgeS:   time.Since(m.createdAt).Seconds(),
		}
		if m.worker != nil {
			l.Status, l.Addr = "running", m.worker.addr
		}
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b cloud.ListedMachine) int { return cmp.Compare(a.ID, b.ID) })
	writeJSON(w, http.StatusOK, map[string]any{"hosts": list, "truncated": false})
}

// runningMachines returns a map with an entry of 0 CPUs in use for each machine that has booted.
func (p *provider) runningMachines() map[ident.MachineID]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := map[ident.MachineID]float64{}
	for id, m := range p.machines {
		if m.worker != nil {
			running[id] = 0
		}
	}
	return running
}

// worker returns the worker on a machine, or nil if there is none.
func (p *provider) worker(id ident.MachineID) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.machines[id]; m != nil {
		return m.worker
	}
	return nil
}

// zoneOf returns the zone of the machine with an address, or "" if there is none.
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

// terminateAll terminates all machines.
func (p *provider) terminateAll() {
	p.mu.Lock()
	var ids []ident.MachineID
	for id := range p.machines {
		ids = append(ids, id)
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.terminate(id)
	}
}
