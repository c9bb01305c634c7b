package simulator

import (
	"fmt"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
)

// provider is the cloud.
type provider struct {
	sim           *Simulation
	models        []cloud.MachineType
	machines      []*machine
	provisioned   map[string][]ident.MachineID
	downUntil     ident.MonotonicTime
	outOfCapacity bool // no machine is to be had
}

type machine struct {
	id           ident.MachineID
	zone         string
	spot         bool
	createdAt    ident.MonotonicTime
	bootedAt     ident.MonotonicTime // 0: not yet
	terminatedAt ident.MonotonicTime
	neverBoots   bool
}

func newProvider(sim *Simulation) *provider {
	return &provider{sim: sim, provisioned: map[string][]ident.MachineID{},
		models: []cloud.MachineType{{SKU: "m8", VCPUs: 8, MemoryGB: 32,
			LocalDiskGB: 4, PullGBPerS: 1, HourlyPrice: 1, SpotPrice: 0.4, StartupS: 6, Zones: []string{"east", "west"}}}}
}

// zoneCapacity returns how many machines of a zone and kind there are.
func (p *provider) zoneCapacity() int {
	const small = 6
	if p.sim.cfg.ZoneCapacity > 0 {
		return p.sim.cfg.ZoneCapacity
	}
	return max(small, p.sim.cfg.FleetSize/(2*len(p.sim.settings.Zones)))
}

func (p *provider) serve(r cloud.Request, reply func(cloud.Response)) {
	sim := p.sim
	if sim.now < p.downUntil {
		reply(cloud.Response{Outcome: cloud.Unavailable})
		return
	}
	out := cloud.Response{Outcome: cloud.OK}
	switch r.Op {
	case cloud.Catalog:
		out.MachineTypes = append(out.MachineTypes, p.models...)
	case cloud.Provision:
		if got, ok := p.provisioned[r.RequestID]; ok {
			out.Provisioned = got
			break
		}
		have := 0
		for _, m := range p.machines {
			if m.terminatedAt == 0 && m.zone == r.Zone && m.spot == r.Spot {
				have++
			}
		}
		n := min(r.Count, p.zoneCapacity()-have)
		if n <= 0 || p.outOfCapacity {
			reply(cloud.Response{Outcome: cloud.NoCapacity})
			return
		}
		for range n {
			out.Provisioned = append(out.Provisioned, p.provision(r))
		}
		p.provisioned[r.RequestID] = out.Provisioned
	case cloud.Terminate:
		for _, h := range r.MachineIDs {
			for _, m := range p.machines {
				if m.id == h {
					p.terminate(m)
				}
			}
		}
	case cloud.List:
		listLag := time.Duration(sim.rng.IntN(int(2*sim.settings.Cloud.ListLagS*1000))) * time.Millisecond
		at := ident.MonotonicTime(max(0, sim.now.Sub(0)-listLag))
		for _, m := range p.machines {
			if m.id <= r.StartAfter || m.createdAt > at || m.terminatedAt > 0 && m.terminatedAt <= at {
				continue
			}
			st := cloud.InstanceBooting
			if m.bootedAt > 0 && m.bootedAt <= at {
				st = cloud.InstanceRunning
			}
			out.Machines = append(out.Machines, cloud.ListedMachine{ID: m.id, Addr: string(m.id), Model: "m8", Zone: m.zone,
				Spot: m.spot, Status: st, AgeS: at.Sub(m.createdAt).Seconds()})
		}
	}
	sim.schedule(50*time.Millisecond, func() { reply(out) })
}

func (p *provider) provision(r cloud.Request) ident.MachineID {
	sim := p.sim
	m := &machine{id: ident.MachineID(fmt.Sprintf(machinePrefix+"%06d", len(p.machines)+1)), zone: r.Zone, spot: r.Spot, createdAt: sim.now,
		neverBoots: sim.rng.IntN(40) == 0}
	p.machines = append(p.machines, m)
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

// terminate ends a machine with all that is on it.
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

// reclaimSpot takes back a share of the spot machines, with notice or without.
func (p *provider) reclaimSpot(share float64) {
	p.sim.logf("spot wave")
	for _, m := range p.machines {
		if m.terminatedAt != 0 || !m.spot || p.sim.rng.Float64() > share {
			continue
		}
		d := time.Duration(0)
		if w := p.sim.workers[m.id]; w != nil && p.sim.rng.IntN(3) > 0 {
			d = time.Duration(4+p.sim.rng.IntN(8)) * time.Second
			w.announceReclaim(d)
		}
		p.sim.schedule(d, func() { p.terminate(m) })
	}
}
