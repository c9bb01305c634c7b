package simulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/settings"
)

// store is the state service.
type store struct {
	sim         *Simulation
	revision    uint64
	keys        map[string]*entry
	leases      map[uint64]ident.MonotonicTime // when each ends
	leaseTTLs   map[uint64]time.Duration
	lastLeaseID uint64
	watchers    []*watcher
	history     []kvstore.WatchEvent
	downUntil   ident.MonotonicTime
	rejectUntil map[string]ident.MonotonicTime
	limits      settings.StoreLimits
}

type entry struct {
	value    json.RawMessage
	revision ident.Revision
	leaseID  uint64
}

type watcher struct {
	prefix        string
	afterRevision uint64
	reply         func(any)
	done          bool
}

func newStore(w *Simulation) *store {
	s := &store{sim: w, keys: map[string]*entry{}, leases: map[uint64]ident.MonotonicTime{}, leaseTTLs: map[uint64]time.Duration{},
		rejectUntil: map[string]ident.MonotonicTime{}, limits: w.settings.Store}
	w.schedule(0, s.expireLeases)
	return s
}

// expireLeases ends leases; an outage gives each its full time again.
func (s *store) expireLeases() {
	if s.sim.now < s.downUntil {
		for g := range s.leases {
			s.leases[g] = s.downUntil.Add(s.leaseTTLs[g])
		}
	}
	for _, g := range slices.Sorted(maps.Keys(s.leases)) {
		if s.sim.now > s.leases[g] {
			s.endLease(g)
		}
	}
	s.sim.schedule(20*time.Millisecond, s.expireLeases)
}

func (s *store) endLease(leaseID uint64) {
	delete(s.leases, leaseID)
	var gone []kvstore.Mutation
	for k, e := range s.keys {
		if e.leaseID == leaseID {
			gone = append(gone, kvstore.Mutation{Delete: k})
		}
	}
	if len(gone) > 0 {
		sort.Slice(gone, func(i, k int) bool { return gone[i].Delete < gone[k].Delete })
		s.apply(gone)
	}
}

func (s *store) apply(changes []kvstore.Mutation) {
	s.revision++
	for _, c := range changes {
		n := kvstore.WatchEvent{Put: c.Put, Value: c.Value, Delete: c.Delete, Revision: ident.Revision(s.revision)}
		s.sim.checkMoveRecord(c)
		if c.Put != "" {
			s.keys[c.Put] = &entry{c.Value, ident.Revision(s.revision), c.LeaseID}
		} else {
			delete(s.keys, c.Delete)
		}
		s.history = append(s.history, n)
	}
	for _, w := range s.watchers {
		s.notify(w, false)
	}
}

// notify answers a watcher that has news, or whose time is over.
func (s *store) notify(w *watcher, over bool) {
	if w.done {
		return
	}
	out := kvstore.Response{Outcome: kvstore.OK, StoreRevision: s.revision}
	for _, n := range s.history {
		if uint64(n.Revision) > w.afterRevision && (strings.HasPrefix(n.Put, w.prefix) && n.Put != "" || strings.HasPrefix(n.Delete, w.prefix) && n.Delete != "") {
			out.Events = append(out.Events, n)
		}
	}
	if len(out.Events) > 0 || over {
		w.done = true
		w.reply(out)
	}
}

func (s *store) serve(from string, r kvstore.Request, reply func(any)) {
	if s.sim.now < s.downUntil || s.sim.now < s.rejectUntil[from] {
		reply(kvstore.Response{Outcome: kvstore.Unavailable})
		return
	}
	out := kvstore.Response{Outcome: kvstore.OK, StoreRevision: s.revision}
	switch r.Op {
	case kvstore.Get:
		e := s.keys[r.Key]
		if e == nil {
			out.Outcome = kvstore.NotFound
			break
		}
		out.Value, out.Revision, out.LeaseID = e.value, e.revision, e.leaseID
	case kvstore.List:
		var names []string
		for k := range s.keys {
			if strings.HasPrefix(k, r.Prefix) && k > r.StartAfter {
				names = append(names, k)
			}
		}
		sort.Strings(names)
		for _, k := range names {
			if len(out.KeyValues) == 7 { // small pages, so that paging is tested
				out.Truncated = true
				break
			}
			out.KeyValues = append(out.KeyValues, kvstore.KeyValue{Key: k, Value: s.keys[k].value, Revision: s.keys[k].revision})
		}
	case kvstore.Txn:
		if s.interceptTransaction(r, reply) {
			return
		}
		out = s.transact(r)
	case kvstore.GrantLease:
		s.lastLeaseID++
		s.leaseTTLs[s.lastLeaseID] = r.TTL
		s.leases[s.lastLeaseID] = s.sim.now.Add(r.TTL)
		out.LeaseID = s.lastLeaseID
	case kvstore.RenewLease:
		if _, ok := s.leases[r.LeaseID]; !ok {
			out.Outcome = kvstore.NotFound
			break
		}
		s.leases[r.LeaseID] = s.sim.now.Add(s.leaseTTLs[r.LeaseID])
	case kvstore.RevokeLease:
		if _, ok := s.leases[r.LeaseID]; ok {
			s.endLease(r.LeaseID)
		}
	case kvstore.Watch:
		w := &watcher{prefix: r.Prefix, afterRevision: r.Revision, reply: reply}
		s.watchers = append(s.watchers, w)
		s.notify(w, false)
		s.sim.schedule(r.Block, func() { s.notify(w, true) })
		if len(s.watchers) > 100 {
			s.watchers = s.watchers[50:]
		}
		return
	}
	reply(out)
}

// lowerLimits brings the announced limits into force.
func (s *store) lowerLimits() {
	s.limits = s.limits.Strictest()
	s.sim.logf("the state service has its new limits")
}

func (s *store) transact(r kvstore.Request) kvstore.Response {
	reject := func(format string, a ...any) kvstore.Response {
		s.sim.OversizedTransactions++
		s.sim.logf(format, a...)
		if s.limits == s.sim.settings.Store {
			s.sim.reportViolation(format, a...)
		}
		return kvstore.Response{Outcome: kvstore.Invalid, Error: "too large"}
	}
	if len(r.Mutations) > s.limits.TxnOps || len(r.Compares) > 4*s.limits.TxnOps {
		return reject("transaction over the limits: %d changes, %d conditions", len(r.Mutations), len(r.Compares))
	}
	size := 0
	for _, c := range r.Mutations {
		size += len(c.Value)
		if float64(len(c.Value)) > s.limits.ValueKB*1024 {
			return reject("value of %s over the limit: %d bytes", c.Put, len(c.Value))
		}
		if c.Put != "" && c.LeaseID != 0 {
			if _, ok := s.leases[c.LeaseID]; !ok {
				return kvstore.Response{Outcome: kvstore.Invalid, Error: "no such lease"}
			}
		}
	}
	if size > 64<<10 {
		s.sim.reportViolation("transaction of %d bytes", size)
	}
	election := r.Compares[0].Key == "leader" && len(r.Compares) == 2 && r.Compares[1].Key == "term"
	if s.sim.cfg.Mutation != IgnoreRevisions || election {
		var failed []string
		for _, c := range r.Compares {
			var have ident.Revision
			if e := s.keys[c.Key]; e != nil {
				have = e.revision
			}
			if have != c.Revision {
				failed = append(failed, c.Key)
			}
		}
		if failed != nil {
			return kvstore.Response{Outcome: kvstore.Conflict, FailedKeys: failed, StoreRevision: s.revision}
		}
	}
	s.apply(r.Mutations)
	return kvstore.Response{Outcome: kvstore.OK, StoreRevision: s.revision}
}

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

func newProvider(w *Simulation) *provider {
	return &provider{sim: w, provisioned: map[string][]ident.MachineID{}, models: []cloud.MachineType{{SKU: "m8", VCPUs: 8, MemoryGB: 32,
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

func (p *provider) serve(r cloud.Request, reply func(any)) {
	w := p.sim
	if w.now < p.downUntil {
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
		listLag := time.Duration(w.rng.IntN(int(2*w.settings.Cloud.ListLagS*1000))) * time.Millisecond
		at := ident.MonotonicTime(max(0, w.now.Sub(0)-listLag))
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
	w.schedule(50*time.Millisecond, func() { reply(out) })
}

func (p *provider) provision(r cloud.Request) ident.MachineID {
	w := p.sim
	m := &machine{id: ident.MachineID(fmt.Sprintf("host-%06d", len(p.machines)+1)), zone: r.Zone, spot: r.Spot, createdAt: w.now,
		neverBoots: w.rng.IntN(40) == 0}
	p.machines = append(p.machines, m)
	boot := time.Duration(3000+w.rng.IntN(6000)) * time.Millisecond
	if w.rng.IntN(15) == 0 {
		boot *= 4
	}
	if w.faultHits(w.fastBoots) {
		boot = time.Duration(300+w.rng.IntN(1500)) * time.Millisecond
	}
	switch {
	case w.faultHits(w.failedBoots):
		w.countEvent("machine never up")
		m.neverBoots = true
	case w.faultHits(w.slowBoots):
		w.countEvent("machine up late")
		boot *= 6
	}
	if !m.neverBoots {
		w.schedule(boot, func() {
			if m.terminatedAt == 0 {
				m.bootedAt = w.now
				newWorker(w, m)
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
	if k := p.sim.workers[m.id]; k != nil {
		k.dead = true
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
		if k := p.sim.workers[m.id]; k != nil && p.sim.rng.IntN(3) > 0 {
			d = time.Duration(4+p.sim.rng.IntN(8)) * time.Second
			k.announceReclaim(d)
		}
		p.sim.schedule(d, func() { p.terminate(m) })
	}
}
