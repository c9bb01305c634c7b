package simulator

import (
	"fmt"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
)

// provider simulates the cloud provider.
type provider struct {
	sim           *Simulation
	machineTypes  []cloud.MachineType
	machines      []*machine                   // by id, including terminated ones
	provisioned   map[string][]ident.MachineID // by request id
	downUntil     ident.MonotonicTime
	outOfCapacity bool   // all provisioning requests fail
	spotOnly      bool   // provisioning requests for on-demand machines fail
	emptyZone     string // provisioning requests for machines in this zone fail
}

// machine is a virtual machine of the cloud.
type machine struct {
	id           ident.MachineID
	zone         string
	spot         bool
	createdAt    ident.MonotonicTime
	bootedAt     ident.MonotonicTime // 0: not booted yet
	terminatedAt ident.MonotonicTime // 0: not terminated
	neverBoots   bool
}

const (
	machineModel = "m8"
	// cloudLatency is the time that the cloud takes to process a request.
	cloudLatency = 50 * time.Millisecond
	// defaultZoneCapacity is the smallest number of machines per zone and kind if Config.ZoneCapacity is 0.
	defaultZoneCapacity = 6
)

func newProvider(sim *Simulation) *provider {
	return &provider{
		sim:         sim,
		provisioned: map[string][]ident.MachineID{},
		machineTypes: []cloud.MachineType{{
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

// zoneCapacity returns the number of machines per zone and kind (spot or on-demand).
func (p *provider) zoneCapacity() int {
	if p.sim.cfg.ZoneCapacity > 0 {
		return p.sim.cfg.ZoneCapacity
	}
	return max(defaultZoneCapacity, p.sim.cfg.FleetSize/(2*len(p.sim.settings.Zones)))
}

// serve handles a request from a node.
func (p *provider) serve(r cloud.Request, reply func(cloud.Response)) {
	if p.sim.now < p.downUntil {
		reply(cloud.Response{Outcome: cloud.Unavailable})
		return
	}
	out := cloud.Response{Outcome: cloud.OK}
	switch r.Op {
	case cloud.Catalog:
		out.MachineTypes = append(out.MachineTypes, p.machineTypes...)
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

// provisionAll provisions the machines of a request, or fewer if capacity is short. A repeated request returns the machines
// that the first one provisioned. It returns false if no machine is available.
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
	if n <= 0 || p.outOfCapacity || p.spotOnly && !r.Spot || r.Zone == p.emptyZone {
		return nil, false
	}
	for range n {
		ids = append(ids, p.provision(r))
	}
	p.provisioned[r.RequestID] = ids
	return ids, true
}

// terminateAll terminates the machines with the given ids.
func (p *provider) terminateAll(ids []ident.MachineID) {
	for _, id := range ids {
		for _, m := range p.machines {
			if m.id == id {
				p.terminate(m)
			}
		}
	}
}

// list returns the machines as they were up to twice the announced listing lag ago.
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

// provision creates a machine, which boots within seconds unless a fault delays or prevents the boot.
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

// drawBootTime returns a random boot time for a machine. A fault may mark the machine as one that never boots.
func (p *provider) drawBootTime(m *machine) time.Duration {
	sim := p.sim
	boot := time.Duration(3000+sim.rng.IntN(6000)) * time.Millisecond
	if sim.rng.IntN(15) == 0 {
		boot *= 4
	}
	if sim.faultOccurs(sim.fastBoots) {
		boot = time.Duration(300+sim.rng.IntN(1500)) * time.Millisecond
	}
	switch {
	case sim.faultOccurs(sim.failedBoots):
		sim.countEvent(bootFailedEvent)
		m.neverBoots = true
	case sim.faultOccurs(sim.slowBoots):
		sim.countEvent(bootSlowEvent)
		boot *= 6
	}
	return boot
}

// terminate terminates a machine together with its worker and all of its tasks.
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

// reclaimSpot reclaims a random share of the spot machines, some of them without notice.
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
