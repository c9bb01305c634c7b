package fleet

import (
	"fmt"
	"log/slog"
	"sort"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

const (
	// maxProvisionBatch bounds the machines of one request.
	maxProvisionBatch = 50
	// maxProvisionRetries bounds the retries of a request without a response.
	maxProvisionRetries = 20
	// Requests without a response are retried with a delay that grows between these bounds.
	minProvisionBackoff = 500 * time.Millisecond
	maxProvisionBackoff = 4 * time.Second
	// A pool without capacity is suspended for a time that grows between these bounds.
	minPoolBackoff = 4 * time.Second
	maxPoolBackoff = 16 * time.Second
)

// pool is the kind of machines that one request can provision.
type pool struct {
	model, zone string
	spot        bool
}

// poolOf returns the pool that a machine belongs to.
func poolOf(w *workers.Worker) pool { return pool{w.Model, w.Zone, w.Spot} }

// eachPool visits the pools of a catalog in a fixed order.
func eachPool(catalog []cloud.MachineType, visit func(*cloud.MachineType, pool)) {
	for i := range catalog {
		machineType := &catalog[i]
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				visit(machineType, pool{machineType.SKU, zone, spot})
			}
		}
	}
}

// sortedPools returns the keys of a map in a fixed order.
func sortedPools(counts map[pool]int) []pool {
	pools := make([]pool, 0, len(counts))
	for p := range counts {
		pools = append(pools, p)
	}
	sort.Slice(pools, func(i, k int) bool {
		a, b := pools[i], pools[k]
		if a.model != b.model {
			return a.model < b.model
		}
		if a.zone != b.zone {
			return a.zone < b.zone
		}
		return !a.spot && b.spot
	})
	return pools
}

// poolState is the state of the requests to a pool.
type poolState struct {
	pending          int                 // machines requested, without a response yet
	unavailableUntil ident.MonotonicTime // no capacity until then
	backoff          time.Duration
}

// provisioner has the provider start machines.
type provisioner struct {
	term      ident.Term
	requester *requester
	machines  *workers.Table
	counters  *Counters

	requestCount uint64
	pools        map[pool]*poolState
}

func newProvisioner(term ident.Term, r *requester, machines *workers.Table, counters *Counters) *provisioner {
	return &provisioner{term: term, requester: r, machines: machines, counters: counters, pools: map[pool]*poolState{}}
}

// state returns the state of a pool, and adds it if it is new.
func (v *provisioner) state(p pool) *poolState {
	state := v.pools[p]
	if state == nil {
		state = &poolState{}
		v.pools[p] = state
	}
	return state
}

// available reports whether a pool may have capacity: it is not suspended.
func (v *provisioner) available(p pool, now ident.MonotonicTime) bool {
	return v.state(p).unavailableUntil <= now
}

// pendingIn counts the machines of a zone that were requested, without a response yet.
func (v *provisioner) pendingIn(zone string) int {
	count := 0
	for p, state := range v.pools {
		if p.zone == zone {
			count += state.pending
		}
	}
	return count
}

// provision requests machines from a pool. It returns false if the rate limit doesn't allow it.
func (v *provisioner) provision(p pool, count int) bool {
	if !v.requester.acquire() {
		return false
	}
	v.requestCount++
	slog.Info("provisioning machines", "model", p.model, "zone", p.zone, "spot", p.spot, "count", count)
	v.state(p).pending += count
	r := &provisionRequest{
		provisioner: v,
		pool:        p,
		request: cloud.Request{
			Op: cloud.Provision,
			// The term makes the identifier unique among leaders, and the count within the term.
			RequestID: fmt.Sprintf("opaldale-%d-%d", v.term, v.requestCount),
			Model:     p.model,
			Zone:      p.zone,
			Spot:      p.spot,
			Count:     count,
		},
		backoff: minProvisionBackoff,
	}
	r.send()
	return true
}

// suspend stops provisioning from a pool for a while.
func (v *provisioner) suspend(state *poolState) {
	state.backoff = min(max(2*state.backoff, minPoolBackoff), maxPoolBackoff)
	state.unavailableUntil = v.requester.port.Now().Add(v.requester.jitter(state.backoff))
}

// provisionRequest is an idempotent request for machines, with its retries.
type provisionRequest struct {
	provisioner *provisioner
	pool        pool
	request     cloud.Request
	backoff     time.Duration // until the next retry
	retries     int
}

// send sends the request. The provider responds to a retry with the machines that the first attempt
// has provisioned.
func (r *provisionRequest) send() {
	requestedAt := r.provisioner.requester.port.Now()
	r.provisioner.requester.call(r.request, func(response cloud.Response) {
		switch response.Outcome {
		case cloud.OK:
			r.provisioned(response.Provisioned, requestedAt)
		case cloud.NoCapacity:
			slog.Info("no capacity in pool", "model", r.pool.model, "zone", r.pool.zone, "spot", r.pool.spot)
			r.provisioner.counters.NoCapacity++
			r.fail()
		case cloud.Invalid:
			slog.Error("provisioning request rejected",
				"model", r.pool.model, "zone", r.pool.zone, "spot", r.pool.spot, "err", response.Error)
			r.fail()
		default:
			r.retry()
		}
	})
}

// provisioned adds the machines of a request to the table.
func (r *provisionRequest) provisioned(ids []ident.MachineID, requestedAt ident.MonotonicTime) {
	state := r.provisioner.state(r.pool)
	state.pending -= r.request.Count
	for _, id := range ids {
		r.provisioner.counters.Provisioned++
		r.provisioner.machines.Add(workers.MachineInfo{
			ID:        id,
			Model:     r.pool.model,
			Zone:      r.pool.zone,
			Spot:      r.pool.spot,
			CreatedAt: requestedAt,
		})
	}
	state.backoff = 0
	if len(ids) < r.request.Count {
		r.provisioner.suspend(state)
	}
}

// fail ends the request and suspends its pool.
func (r *provisionRequest) fail() {
	state := r.provisioner.state(r.pool)
	state.pending -= r.request.Count
	r.provisioner.suspend(state)
}

// retry sends a request without a response again after its backoff, up to maxProvisionRetries.
func (r *provisionRequest) retry() {
	if r.retries > maxProvisionRetries {
		slog.Warn("provisioning request abandoned",
			"model", r.pool.model, "zone", r.pool.zone, "spot", r.pool.spot, "count", r.request.Count)
		r.fail()
		return
	}
	r.provisioner.requester.retryAfter(r.backoff, func() {
		r.backoff = min(2*r.backoff, maxProvisionBackoff)
		r.retries++
		r.send()
	})
}
