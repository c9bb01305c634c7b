package simulator

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/settings"
)

// store simulates the key-value store.
type store struct {
	sim         *Simulation
	revision    ident.Revision
	keys        map[string]*entry
	leases      map[uint64]ident.MonotonicTime // expiry times by lease id
	leaseTTLs   map[uint64]time.Duration
	lastLeaseID uint64
	watchers    []*watcher
	history     []kvstore.WatchEvent
	downUntil   ident.MonotonicTime
	rejectUntil map[string]ident.MonotonicTime
	limits      settings.StoreLimits
}

// entry is the value of a key with its metadata.
type entry struct {
	value    json.RawMessage
	revision ident.Revision
	leaseID  uint64
}

// watcher is a watch request that waits for changes.
type watcher struct {
	prefix        string
	afterRevision ident.Revision
	reply         func(kvstore.Response)
	done          bool
}

func newStore(sim *Simulation) *store {
	s := &store{
		sim:         sim,
		keys:        map[string]*entry{},
		leases:      map[uint64]ident.MonotonicTime{},
		leaseTTLs:   map[uint64]time.Duration{},
		rejectUntil: map[string]ident.MonotonicTime{},
		limits:      sim.settings.Store,
	}
	sim.schedule(0, s.expireLeases)
	return s
}

// expireLeases ends expired leases periodically. An outage renews every lease, so that its full TTL starts when the outage
// ends.
func (s *store) expireLeases() {
	if s.sim.now < s.downUntil {
		for id := range s.leases {
			s.leases[id] = s.downUntil.Add(s.leaseTTLs[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.sim.now > s.leases[id] {
			s.endLease(id)
		}
	}
	s.sim.schedule(20*time.Millisecond, s.expireLeases)
}

// endLease deletes a lease and all keys attached to it.
func (s *store) endLease(leaseID uint64) {
	delete(s.leases, leaseID)
	var deletions []kvstore.Mutation
	for k, e := range s.keys {
		if e.leaseID == leaseID {
			deletions = append(deletions, kvstore.Mutation{Delete: k})
		}
	}
	if len(deletions) > 0 {
		sort.Slice(deletions, func(i, k int) bool { return deletions[i].Delete < deletions[k].Delete })
		s.apply(deletions)
	}
}

// apply executes mutations as one revision and notifies the watchers.
func (s *store) apply(mutations []kvstore.Mutation) {
	s.revision++
	for _, c := range mutations {
		n := kvstore.WatchEvent{Put: c.Put, Value: c.Value, Delete: c.Delete, Revision: s.revision}
		s.sim.checkMoveRecord(c)
		if c.Put != "" {
			s.keys[c.Put] = &entry{c.Value, s.revision, c.LeaseID}
		} else {
			delete(s.keys, c.Delete)
		}
		s.history = append(s.history, n)
	}
	for _, w := range s.watchers {
		s.notify(w, false)
	}
}

// notify replies to a watcher if there are changes for it or if it timed out.
func (s *store) notify(w *watcher, timedOut bool) {
	if w.done {
		return
	}
	out := s.ok()
	for _, e := range s.history {
		if e.Revision > w.afterRevision && strings.HasPrefix(e.Put+e.Delete, w.prefix) {
			out.Events = append(out.Events, e)
		}
	}
	if len(out.Events) > 0 || timedOut {
		w.done = true
		w.reply(out)
	}
}

// serve handles a request from a node. The reply to a watch may come later.
func (s *store) serve(from string, r kvstore.Request, reply func(kvstore.Response)) {
	if s.sim.now < s.downUntil || s.sim.now < s.rejectUntil[from] {
		reply(kvstore.Response{Outcome: kvstore.Unavailable})
		return
	}
	switch r.Op {
	case kvstore.Get:
		reply(s.get(r))
	case kvstore.List:
		reply(s.list(r))
	case kvstore.Txn:
		if !s.interceptTransaction(r) {
			s.sim.delayTransactionReply(s.transact(r), reply)
		}
	case kvstore.GrantLease:
		reply(s.grantLease(r))
	case kvstore.RenewLease:
		reply(s.renewLease(r))
	case kvstore.RevokeLease:
		out := s.ok() // with the revision before the deletions
		if _, ok := s.leases[r.LeaseID]; ok {
			s.endLease(r.LeaseID)
		}
		reply(out)
	case kvstore.Watch:
		s.watch(r, reply)
	default:
		reply(s.ok())
	}
}

// ok returns the response to a successful request, with the current revision.
func (s *store) ok() kvstore.Response {
	return kvstore.Response{Outcome: kvstore.OK, StoreRevision: s.revision}
}

func (s *store) get(r kvstore.Request) kvstore.Response {
	out := s.ok()
	e := s.keys[r.Key]
	if e == nil {
		out.Outcome = kvstore.NotFound
		return out
	}
	out.Value, out.Revision, out.LeaseID = e.value, e.revision, e.leaseID
	return out
}

// listPageSize is the largest number of keys per page of a list. Pages are small so that the clients have to paginate.
const listPageSize = 7

func (s *store) list(r kvstore.Request) kvstore.Response {
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, r.Prefix) && k > r.StartAfter {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	out := s.ok()
	out.Truncated = len(names) > listPageSize
	for _, k := range names[:min(len(names), listPageSize)] {
		out.KeyValues = append(out.KeyValues, kvstore.KeyValue{Key: k, Value: s.keys[k].value, Revision: s.keys[k].revision})
	}
	return out
}

func (s *store) grantLease(r kvstore.Request) kvstore.Response {
	s.lastLeaseID++
	s.leaseTTLs[s.lastLeaseID] = r.TTL
	s.leases[s.lastLeaseID] = s.sim.now.Add(r.TTL)
	out := s.ok()
	out.LeaseID = s.lastLeaseID
	return out
}

func (s *store) renewLease(r kvstore.Request) kvstore.Response {
	out := s.ok()
	if _, ok := s.leases[r.LeaseID]; !ok {
		out.Outcome = kvstore.NotFound
		return out
	}
	s.leases[r.LeaseID] = s.sim.now.Add(s.leaseTTLs[r.LeaseID])
	return out
}

// maxWatchers bounds the list of watchers. Beyond it, the oldest half is dropped.
const maxWatchers = 100

// watch replies as soon as there is a change under the prefix, or once the request times out.
func (s *store) watch(r kvstore.Request, reply func(kvstore.Response)) {
	w := &watcher{prefix: r.Prefix, afterRevision: r.Revision, reply: reply}
	s.watchers = append(s.watchers, w)
	s.notify(w, false)
	s.sim.schedule(r.Block, func() { s.notify(w, true) })
	if len(s.watchers) > maxWatchers {
		s.watchers = s.watchers[maxWatchers/2:]
	}
}

// applyAnnouncedLimits makes the announced limits effective.
func (s *store) applyAnnouncedLimits() {
	s.limits = s.limits.Strictest()
	s.sim.logf("key-value store applies its announced limits")
}

// maxTransactionBytes bounds the total size of the values in a transaction.
const maxTransactionBytes = 64 << 10

// transact executes a transaction if it is within the limits and the revisions that it requires match.
func (s *store) transact(r kvstore.Request) kvstore.Response {
	if rejected, ok := s.checkLimits(r); !ok {
		return rejected
	}
	if failed := s.failedCompares(r); failed != nil {
		return kvstore.Response{Outcome: kvstore.Conflict, FailedKeys: failed, StoreRevision: s.revision}
	}
	s.apply(r.Mutations)
	return s.ok()
}

// checkLimits rejects a transaction that exceeds a limit or refers to a lease that does not exist.
func (s *store) checkLimits(r kvstore.Request) (rejected kvstore.Response, ok bool) {
	if len(r.Mutations) > s.limits.TxnOps || len(r.Compares) > 4*s.limits.TxnOps {
		return s.rejectOversized("transaction exceeds the limits: %d mutations (limit %d), %d compares (limit %d)",
			len(r.Mutations), s.limits.TxnOps, len(r.Compares), 4*s.limits.TxnOps), false
	}
	size := 0
	for _, m := range r.Mutations {
		size += len(m.Value)
		if float64(len(m.Value)) > s.limits.ValueKB*1024 {
			return s.rejectOversized("value of %s exceeds the limit: %d bytes, limit %v KiB", m.Put, len(m.Value),
				s.limits.ValueKB), false
		}
		if m.Put == "" || m.LeaseID == 0 {
			continue
		}
		if _, ok := s.leases[m.LeaseID]; !ok {
			return kvstore.Response{Outcome: kvstore.Invalid, Error: "no such lease"}, false
		}
	}
	if size > maxTransactionBytes {
		s.sim.reportViolation("transaction of %d bytes exceeds the limit of %d", size, maxTransactionBytes)
	}
	return kvstore.Response{}, true
}

// rejectOversized rejects a transaction that exceeds a limit. That is a violation as long as the limits are the initial
// ones; after they were lowered, a node may not know the new limits yet.
func (s *store) rejectOversized(format string, a ...any) kvstore.Response {
	s.sim.OversizedTransactions++
	s.sim.logf(format, a...)
	if s.limits == s.sim.settings.Store {
		s.sim.reportViolation(format, a...)
	}
	return kvstore.Response{Outcome: kvstore.Invalid, Error: "too large"}
}

// failedCompares returns the keys whose revision differs from the one that a transaction requires.
func (s *store) failedCompares(r kvstore.Request) (failed []string) {
	election := r.Compares[0].Key == "leader" && len(r.Compares) == 2 && r.Compares[1].Key == "term"
	if s.sim.mutates(IgnoreRevisions) && !election {
		return nil
	}
	for _, c := range r.Compares {
		var have ident.Revision
		if e := s.keys[c.Key]; e != nil {
			have = e.revision
		}
		if have != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	return failed
}
