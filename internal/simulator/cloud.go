package simulator

import (
	"fmt"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
)

// provider simulates the cloud by its protocol.
type provider struct {
	sim           *Simulation
	models        []cloud.MachineType
	machines      []*machine                   // in the order of their ids, terminated ones included
	provisioned   map[string][]ident.MachineID // by request id
	downUntil     ident.MonotonicTime
	outOfCapacity bool // no machine can be provisioned
}

// machine is a machine of the cloud.
type machine struct {
	id           ident.MachineID
	zone         string
	spot         bool
	createdAt    ident.MonotonicTime
	bootedAt     ident.MonotonicTime // 0: not yet
	terminatedAt ident.MonotonicTime // 0: not yet
	neverBoots   bool
}

const (
	machineModel = "m8"
	// cloudLatency is how long the cloud takes for a request.
	cloudLatency = 50 * time.Millisecond
	// defaultZoneCapacity is how many machines of a zone and kind there are unless the configuration says otherwise.
	defaultZoneCapacity = 6
)

func newProvider(sim *Simulation) *provider {
	return &provider{
		sim:         sim,
		provisioned: map[string][]ident.MachineID{},
		models: []cloud.MachineType{{
			SKU:         machineModel,
			VCPUs:       8,
			MemoryGB:    32,
			LocalDiskGB: 4,
			PullGBPerS:  1,
			HourlyPrice: 1,
			SpotPrice:   0.4,
			StartupS:    6,
			Zones:       []string{"east", "west"},
		}},
	}
}

// zoneCapacity returns how many machines of a zone and kind (spot or not) there are.
func (p *provider) zoneCapacity() int {
	if p.sim.cfg.ZoneCapacity > 0 {
		return p.sim.cfg.ZoneCapacity
	}
	return max(defaultZoneCapacity, p.sim.cfg.FleetSize/(2*len(p.sim.settings.Zones)))
}

// serve serves a request of a node.
func (p *provider) serve(r cloud.Request, reply func(cloud.Response)) {
	if p.sim.now < p.downUntil {
		reply(cloud.Response{Outcome: cloud.Unavailable})
		return
	}
	out := cloud.Response{Outcome: cloud.OK}
	switch r.Op {
	case cloud.Catalog:
		out.MachineTypes = append(out.MachineTypes, p.models...)
	case cloud.Provision:
		var ok bool
		if out.Provisioned, ok = p.provisionAll(r); !ok {
			reply(cloud.Response{Outcome: cloud.NoCapacity})
			return
		}
	case cloud.Terminate:
		p.terminateAll(r.MachineIDs)
	case cloud.List:
		out.Machines = p.list(r)
	}
	p.sim.schedule(cloudLatency, func() { reply(out) })
}

// provisionAll provisions as many machines of a request as there is capacity for. A repeated request returns the same
// machines. It returns false if there is capacity for none.
func (p *provider) provisionAll(r cloud.Request) (ids []ident.MachineID, ok bool) {
	if ids, known := p.provisioned[r.RequestID]; known {
		return ids, true
	}
	inUse := 0
	for _, m := range p.machines {
		if m.terminatedAt == 0 && m.zone == r.Zone && m.spot == r.Spot {
			inUse++
		}
	}
	n := min(r.Count, p.zoneCapacity()-inUse)
	if n <= 0 || p.outOfCapacity {
		return nil, false
	}
	for range n {
		ids = append(ids, p.provision(r))
	}
	p.provisioned[r.RequestID] = ids
	return ids, true
}

// terminateAll terminates machines.
func (p *provider) terminateAll(ids []ident.MachineID) {
	for _, id := range ids {
		for _, m := range p.machines {
			if m.id == id {
				p.terminate(m)
			}
		}
	}
}

// list lists the machines as they were some time ago, within twice the announced lag.
func (p *provider) list(r cloud.Request) (out []cloud.ListedMachine) {
	lag := time.Duration(p.sim.rng.IntN(int(2*p.sim.settings.Cloud.ListLagS*1000))) * time.Millisecond
	at := ident.MonotonicTime(max(0, p.sim.now.Sub(0)-lag))
	for _, m := range p.machines {
		if m.id <= r.StartAfter || m.createdAt > at || m.terminatedAt > 0 && m.terminatedAt <= at {
			continue
		}
		status := cloud.InstanceBooting
		if m.bootedAt > 0 && m.bootedAt <= at {
			status = cloud.InstanceRunning
		}
		out = append(out, cloud.ListedMachine{
			ID:     m.id,
			Addr:   string(m.id),
			Model:  machineModel,
			Zone:   m.zone,
			Spot:   m.spot,
			Status: status,
			AgeS:   at.Sub(m.createdAt).Seconds(),
		})
	}
	return out
}

// provision provisions a machine, which boots within seconds unless a fault delays or prevents it.
func (p *provider) provision(r cloud.Request) ident.MachineID {
	sim := p.sim
	m := &machine{
		id:         ident.MachineID(fmt.Sprintf(machinePrefix+"%06d", len(p.machines)+1)),
		zone:       r.Zone,
		spot:       r.Spot,
		createdAt:  sim.now,
		neverBoots: sim.rng.IntN(40) == 0,
	}
	p.machines = append(p.machines, m)
	boot := p.drawBootTime(m)
	if !m.neverBoots {
		sim.schedule(boot, func() {
			if m.terminatedAt == 0 {
				m.bootedAt = sim.now
				newWorker(sim, m)
			}
		})
	}
	return m.id
}

// drawBootTime draws how long a machine takes to boot. A fault may keep it from booting at all.
func (p *provider) drawBootTime(m *machine) time.Duration {
	sim := p.sim
	boot := time.Duration(3000+sim.rng.IntN(6000)) * time.Millisecond
	if sim.rng.IntN(15) == 0 {
		boot *= 4
	}
	if sim.faultHits(sim.fastBoots) {
		boot = time.Duration(300+sim.rng.IntN(1500)) * time.Millisecond
	}
	switch {
	case sim.faultHits(sim.failedBoots):
		sim.countEvent(bootFailedEvent)
		m.neverBoots = true
	case sim.faultHits(sim.slowBoots):
		sim.countEvent(bootSlowEvent)
		boot *= 6
	}
	return boot
}

// terminate ends a machine with all of its tasks.
func (p *provider) terminate(m *machine) {
	if m.terminatedAt != 0 {
		return
	}
	m.terminatedAt = p.sim.now
	if w := p.sim.workers[m.id]; w != nil {
		w.dead = true
		delete(p.sim.workers, m.id)
		p.sim.sortedByID = nil
	}
}

// reclaimSpot reclaims a share of the spot machines, with or without notice.
func (p *provider) reclaimSpot(share float64) {
	p.sim.logf("spot machines reclaimed")
	for _, m := range p.machines {
		if m.terminatedAt != 0 || !m.spot || p.sim.rng.Float64() > share {
			continue
		}
		notice := time.Duration(0)
		if w := p.sim.workers[m.id]; w != nil && p.sim.rng.IntN(3) > 0 {
			notice = time.Duration(4+p.sim.rng.IntN(8)) * time.Second
			w.announceReclaim(notice)
		}
		p.sim.schedule(notice, func() { p.terminate(m) })
	}
}
