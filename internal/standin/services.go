package standin

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
	"opaldale/internal/settings"
	"opaldale/internal/statesvc"
)

// store is the state service.
type store struct {
	w         *World
	ledger    uint64
	keys      map[string]*entry
	leases    map[uint64]ident.MonotonicTime // when each ends
	ttl       map[uint64]time.Duration
	lastGrant uint64
	watchers  []*watcher
	news      []statesvc.WatchEvent
	downUntil ident.MonotonicTime
	refuses   map[string]ident.MonotonicTime
	limits    settings.StoreLimits
}

type entry struct {
	value json.RawMessage
	stamp ident.Revision
	grant uint64
}

type watcher struct {
	prefix string
	since  uint64
	reply  func(any)
	done   bool
}

func newStore(w *World) *store {
	s := &store{w: w, keys: map[string]*entry{}, leases: map[uint64]ident.MonotonicTime{}, ttl: map[uint64]time.Duration{},
		refuses: map[string]ident.MonotonicTime{}, limits: w.set.Store}
	w.at(0, s.expire)
	return s
}

// expire ends leases; an outage gives each its full time again.
func (s *store) expire() {
	if s.w.now < s.downUntil {
		for g := range s.leases {
			s.leases[g] = s.downUntil.Add(s.ttl[g])
		}
	}
	for _, g := range slices.Sorted(maps.Keys(s.leases)) {
		if s.w.now > s.leases[g] {
			s.end(g)
		}
	}
	s.w.at(20*time.Millisecond, s.expire)
}

func (s *store) end(g uint64) {
	delete(s.leases, g)
	var gone []statesvc.Mutation
	for k, e := range s.keys {
		if e.grant == g {
			gone = append(gone, statesvc.Mutation{Delete: k})
		}
	}
	if len(gone) > 0 {
		sort.Slice(gone, func(i, k int) bool { return gone[i].Delete < gone[k].Delete })
		s.apply(gone)
	}
}

func (s *store) apply(changes []statesvc.Mutation) {
	s.ledger++
	for _, c := range changes {
		n := statesvc.WatchEvent{Put: c.Put, Value: c.Value, Delete: c.Delete, Revision: ident.Revision(s.ledger)}
		s.w.checkMoves(c)
		if c.Put != "" {
			s.keys[c.Put] = &entry{c.Value, ident.Revision(s.ledger), c.LeaseID}
		} else {
			delete(s.keys, c.Delete)
		}
		s.news = append(s.news, n)
	}
	for _, w := range s.watchers {
		s.tell(w, false)
	}
}

// tell answers a watcher that has news, or whose time is over.
func (s *store) tell(w *watcher, over bool) {
	if w.done {
		return
	}
	out := statesvc.Response{Outcome: statesvc.OK, StoreRevision: s.ledger}
	for _, n := range s.news {
		if uint64(n.Revision) > w.since && (strings.HasPrefix(n.Put, w.prefix) && n.Put != "" || strings.HasPrefix(n.Delete, w.prefix) && n.Delete != "") {
			out.Events = append(out.Events, n)
		}
	}
	if len(out.Events) > 0 || over {
		w.done = true
		w.reply(out)
	}
}

func (s *store) serve(from string, r statesvc.Request, reply func(any)) {
	if s.w.now < s.downUntil || s.w.now < s.refuses[from] {
		reply(statesvc.Response{Outcome: statesvc.Unavailable})
		return
	}
	out := statesvc.Response{Outcome: statesvc.OK, StoreRevision: s.ledger}
	switch r.Op {
	case statesvc.Get:
		e := s.keys[r.Key]
		if e == nil {
			out.Outcome = statesvc.NotFound
			break
		}
		out.Value, out.Revision, out.LeaseID = e.value, e.stamp, e.grant
	case statesvc.List:
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
			out.KeyValues = append(out.KeyValues, statesvc.KeyValue{Key: k, Value: s.keys[k].value, Revision: s.keys[k].stamp})
		}
	case statesvc.Txn:
		if s.lateTxn(r, reply) {
			return
		}
		out = s.txn(r)
	case statesvc.GrantLease:
		s.lastGrant++
		s.ttl[s.lastGrant] = r.TTL
		s.leases[s.lastGrant] = s.w.now.Add(r.TTL)
		out.LeaseID = s.lastGrant
	case statesvc.RenewLease:
		if _, ok := s.leases[r.LeaseID]; !ok {
			out.Outcome = statesvc.NotFound
			break
		}
		s.leases[r.LeaseID] = s.w.now.Add(s.ttl[r.LeaseID])
	case statesvc.RevokeLease:
		if _, ok := s.leases[r.LeaseID]; ok {
			s.end(r.LeaseID)
		}
	case statesvc.Watch:
		w := &watcher{prefix: r.Prefix, since: r.Revision, reply: reply}
		s.watchers = append(s.watchers, w)
		s.tell(w, false)
		s.w.at(r.Block, func() { s.tell(w, true) })
		if len(s.watchers) > 100 {
			s.watchers = s.watchers[50:]
		}
		return
	}
	reply(out)
}

// lower brings the announced limits into force.
func (s *store) lower() {
	s.limits = s.limits.Strictest()
	s.w.logf("the state service has its new limits")
}

func (s *store) txn(r statesvc.Request) statesvc.Response {
	large := func(format string, a ...any) statesvc.Response {
		s.w.TooLarge++
		s.w.logf(format, a...)
		if s.limits == s.w.set.Store {
			s.w.broken(format, a...)
		}
		return statesvc.Response{Outcome: statesvc.Invalid, Error: "too large"}
	}
	if len(r.Mutations) > s.limits.TxnOps || len(r.Compares) > 4*s.limits.TxnOps {
		return large("transaction over the limits: %d changes, %d conditions", len(r.Mutations), len(r.Compares))
	}
	size := 0
	for _, c := range r.Mutations {
		size += len(c.Value)
		if float64(len(c.Value)) > s.limits.ValueKB*1024 {
			return large("value of %s over the limit: %d bytes", c.Put, len(c.Value))
		}
		if c.Put != "" && c.LeaseID != 0 {
			if _, ok := s.leases[c.LeaseID]; !ok {
				return statesvc.Response{Outcome: statesvc.Invalid, Error: "no such lease"}
			}
		}
	}
	if size > 64<<10 {
		s.w.broken("transaction of %d bytes", size)
	}
	election := r.Compares[0].Key == "leader" && len(r.Compares) == 2 && r.Compares[1].Key == "term"
	if s.w.cfg.Mutation != IgnoreStamps || election {
		var failed []string
		for _, c := range r.Compares {
			var have ident.Revision
			if e := s.keys[c.Key]; e != nil {
				have = e.stamp
			}
			if have != c.Revision {
				failed = append(failed, c.Key)
			}
		}
		if failed != nil {
			return statesvc.Response{Outcome: statesvc.Conflict, FailedKeys: failed, StoreRevision: s.ledger}
		}
	}
	s.apply(r.Mutations)
	return statesvc.Response{Outcome: statesvc.OK, StoreRevision: s.ledger}
}

// provider is the cloud.
type provider struct {
	w         *World
	models    []cloud.MachineType
	machines  []*rented
	hires     map[string][]ident.MachineID
	downUntil ident.MonotonicTime
	soldOut   bool // no machine is to be had
}

type rented struct {
	host    ident.MachineID
	site    string
	standby bool
	born    ident.MonotonicTime
	up      ident.MonotonicTime // 0: not yet
	gone    ident.MonotonicTime
	never   bool
}

func newProvider(w *World) *provider {
	return &provider{w: w, hires: map[string][]ident.MachineID{}, models: []cloud.MachineType{{SKU: "m8", VCPUs: 8, MemoryGB: 32,
		LocalDiskGB: 4, PullGBPerS: 1, HourlyPrice: 1, SpotPrice: 0.4, StartupS: 6, Zones: []string{"east", "west"}}}}
}

// capacity returns how many machines of a zone and kind there are.
func (p *provider) capacity() int {
	const small = 6
	if p.w.cfg.Capacity > 0 {
		return p.w.cfg.Capacity
	}
	return max(small, p.w.cfg.Fleet/(2*len(p.w.set.Zones)))
}

func (p *provider) serve(r cloud.Request, reply func(any)) {
	w := p.w
	if w.now < p.downUntil {
		reply(cloud.Response{Outcome: cloud.Unavailable})
		return
	}
	out := cloud.Response{Outcome: cloud.OK}
	switch r.Op {
	case cloud.Catalog:
		out.MachineTypes = append(out.MachineTypes, p.models...)
	case cloud.Provision:
		if got, ok := p.hires[r.RequestID]; ok {
			out.Provisioned = got
			break
		}
		have := 0
		for _, m := range p.machines {
			if m.gone == 0 && m.site == r.Zone && m.standby == r.Spot {
				have++
			}
		}
		n := min(r.Count, p.capacity()-have)
		if n <= 0 || p.soldOut {
			reply(cloud.Response{Outcome: cloud.NoCapacity})
			return
		}
		for range n {
			out.Provisioned = append(out.Provisioned, p.rent(r))
		}
		p.hires[r.RequestID] = out.Provisioned
	case cloud.Terminate:
		for _, h := range r.MachineIDs {
			for _, m := range p.machines {
				if m.host == h {
					p.take(m)
				}
			}
		}
	case cloud.List:
		lag := time.Duration(w.rng.IntN(int(2*w.set.Cloud.ListLagS*1000))) * time.Millisecond
		at := ident.MonotonicTime(max(0, w.now.Sub(0)-lag))
		for _, m := range p.machines {
			if m.host <= r.StartAfter || m.born > at || m.gone > 0 && m.gone <= at {
				continue
			}
			st := "booting"
			if m.up > 0 && m.up <= at {
				st = "running"
			}
			out.Machines = append(out.Machines, cloud.ListedMachine{ID: m.host, Addr: string(m.host), Model: "m8", Zone: m.site,
				Spot: m.standby, Status: st, AgeS: at.Sub(m.born).Seconds()})
		}
	}
	w.at(50*time.Millisecond, func() { reply(out) })
}

func (p *provider) rent(r cloud.Request) ident.MachineID {
	w := p.w
	m := &rented{host: ident.MachineID(fmt.Sprintf("host-%06d", len(p.machines)+1)), site: r.Zone, standby: r.Spot, born: w.now,
		never: w.rng.IntN(40) == 0}
	p.machines = append(p.machines, m)
	boot := time.Duration(3000+w.rng.IntN(6000)) * time.Millisecond
	if w.rng.IntN(15) == 0 {
		boot *= 4
	}
	if w.hits(w.quickBoots) {
		boot = time.Duration(300+w.rng.IntN(1500)) * time.Millisecond
	}
	switch {
	case w.hits(w.neverBoots):
		w.took("machine never up")
		m.never = true
	case w.hits(w.lateBoots):
		w.took("machine up late")
		boot *= 6
	}
	if !m.never {
		w.at(boot, func() {
			if m.gone == 0 {
				m.up = w.now
				newWorker(w, m)
			}
		})
	}
	return m.host
}

// take ends a machine with all that is on it.
func (p *provider) take(m *rented) {
	if m.gone != 0 {
		return
	}
	m.gone = p.w.now
	if k := p.w.workers[m.host]; k != nil {
		k.dead = true
		delete(p.w.workers, m.host)
		p.w.sorted = nil
	}
}

// wave takes back a share of the spot machines, with notice or without.
func (p *provider) wave(share float64) {
	p.w.logf("spot wave")
	for _, m := range p.machines {
		if m.gone != 0 || !m.standby || p.w.rng.Float64() > share {
			continue
		}
		d := time.Duration(0)
		if k := p.w.workers[m.host]; k != nil && p.w.rng.IntN(3) > 0 {
			d = time.Duration(4+p.w.rng.IntN(8)) * time.Second
			k.doom(d)
		}
		p.w.at(d, func() { p.take(m) })
	}
}
