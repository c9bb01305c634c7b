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
	// maxProvisionBatch bounds the number of machines in one provisioning request.
	maxProvisionBatch = 50
	// maxProvisionRetries bounds the retries of a request that gets no response.
	maxProvisionRetries = 20
	// A request that gets no response is retried with exponential backoff between these bounds.
	minProvisionBackoff = 500 * time.Millisecond
	maxProvisionBackoff = 4 * time.Second
	// After the provider has rejected or only partly fulfilled a request, provisioning from its pool is
	// suspended, with exponential backoff between these bounds.
	minPoolBackoff = 4 * time.Second
	maxPoolBackoff = 16 * time.Second
)

// pool identifies the machines that one request can provision: those of a model in a zone, either spot
// or on-demand.
type pool struct {
	model, zone string
	spot        bool
}

// poolOf returns the pool that a machine belongs to.
func poolOf(w *workers.Worker) pool { return pool{w.Model, w.Zone, w.Spot} }

// eachPool calls visit for each pool of a catalog, in a fixed order.
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

// sortedPools returns the pools of a map, ordered by model and zone, with on-demand before spot.
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

// poolState is the state of the provisioning requests for a pool.
type poolState struct {
	pending          int                 // number of machines requested in requests without a response yet
	unavailableUntil ident.MonotonicTime // provisioning from the pool is suspended until then
	backoff          time.Duration       // last suspension without jitter; reset when a request succeeds
}

// provisioner requests new machines from the provider.
type provisioner struct {
	term      ident.Term
	requester *requester
	machines  *workers.Table
	counters  *Counters

	requestCount uint64 // number of requests in this term; part of their identifiers
	pools        map[pool]*poolState
}

func newProvisioner(term ident.Term, r *requester, machines *workers.Table, counters *Counters) *provisioner {
	return &provisioner{term: term, requester: r, machines: machines, counters: counters, pools: map[pool]*poolState{}}
}

// state returns the state of a pool. It creates the state if the pool is new.
func (prov *provisioner) state(p pool) *poolState {
	state := prov.pools[p]
	if state == nil {
		state = &poolState{}
		prov.pools[p] = state
	}
	return state
}

// available reports whether machines may be requested from a pool, because it is not suspended.
func (prov *provisioner) available(p pool, now ident.MonotonicTime) bool {
	return prov.state(p).unavailableUntil <= now
}

// pendingIn returns the number of machines in a zone whose requests have no response yet.
func (prov *provisioner) pendingIn(zone string) int {
	count := 0
	for p, state := range prov.pools {
		if p.zone == zone {
			count += state.pending
		}
	}
	return count
}

// provision requests machines from a pool. It returns false, without a request, if the rate limit is
// reached.
func (prov *provisioner) provision(p pool, count int) bool {
	if !prov.requester.acquire() {
		return false
	}
	prov.requestCount++
	slog.Info("provisioning machines", "model", p.model, "zone", p.zone, "spot", p.spot, "count", count)
	prov.state(p).pending += count
	r := &provisionRequest{
		provisioner: prov,
		pool:        p,
		request: cloud.Request{
			Op: cloud.Provision,
			// The term distinguishes the requests of different leaders, and the count those within a term.
			RequestID: fmt.Sprintf("opaldale-%d-%d", prov.term, prov.requestCount),
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

// suspend suspends provisioning from a pool. The duration doubles with each suspension, up to
// maxPoolBackoff, until a request succeeds.
func (prov *provisioner) suspend(state *poolState) {
	state.backoff = min(max(2*state.backoff, minPoolBackoff), maxPoolBackoff)
	state.unavailableUntil = prov.requester.port.Now().Add(prov.requester.jitter(state.backoff))
}

// provisionRequest is an idempotent provisioning request, together with the state of its retries.
type provisionRequest struct {
	provisioner *provisioner
	pool        pool
	request     cloud.Request
	backoff     time.Duration // delay before the next retry, without jitter
	retries     int           // number of retries so far
}

// send sends the request. If an earlier attempt has provisioned machines, the provider responds to a
// retry with these machines and provisions no others.
func (r *provisionRequest) send() {
	requestedAt := r.provisioner.requester.port.Now()
	r.provisioner.requester.call(r.request, func(response cloud.Response) {
		switch response.Outcome {
		case cloud.OK:
			r.provisioned(response.Provisioned, requestedAt)
		case cloud.NoCapacity:
			slog.Info("provider has no capacity in pool", "model", r.pool.model, "zone", r.pool.zone, "spot", r.pool.spot)
			r.provisioner.counters.NoCapacity++
			r.fail()
		case cloud.Invalid:
			slog.Error("provider rejected provisioning request as invalid",
				"model", r.pool.model, "zone", r.pool.zone, "spot", r.pool.spot, "err", response.Error)
			r.fail()
		default:
			r.retry()
		}
	})
}

// provisioned adds the machines that the request has provisioned to the machine table. If these are
// fewer than requested, it suspends the pool.
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

// fail ends the request without any machines, and suspends its pool.
func (r *provisionRequest) fail() {
	state := r.provisioner.state(r.pool)
	state.pending -= r.request.Count
	r.provisioner.suspend(state)
}

// retry sends the request again after its backoff, or ends it when the retries are exhausted.
func (r *provisionRequest) retry() {
	if r.retries > maxProvisionRetries {
		slog.Warn("no response to provisioning request, retries exhausted",
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
