package fleet

import (
	"fmt"
	"log/slog"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// takeRateToken spends a request of the cloud's rate.
func (m *Manager) takeRateToken() bool {
	now := m.port.Now()
	m.rateTokens = min(m.cfg.Cloud.RPS, m.rateTokens+0.8*m.cfg.Cloud.RPS*now.Sub(m.rateRefilled).Seconds())
	m.rateRefilled = now
	if m.rateTokens < 1 {
		return false
	}
	m.rateTokens--
	return true
}

// Terminate gives a machine back. Its tasks count on it until the cloud has
// answered.
func (m *Manager) Terminate(w *workers.Worker, reason workers.Reason) {
	if w.State == workers.Terminating || w.State == workers.Terminated {
		return
	}
	slog.Info("returning machine", "host", string(w.ID), "reason", string(reason), "tasks", len(w.Tasks))
	m.machines.MarkTerminating(w, reason)
	m.terminating = append(m.terminating, w)
}

const maxTerminateBatch = 100

// flushTerminations sends the returns that are due.
func (m *Manager) flushTerminations() {
	for len(m.terminating) > 0 && m.takeRateToken() {
		n := min(len(m.terminating), maxTerminateBatch)
		batch := m.terminating[:n:n]
		m.terminating = m.terminating[n:]
		m.sendTerminate(batch, 300*time.Millisecond)
	}
}

func (m *Manager) sendTerminate(batch []*workers.Worker, backoff time.Duration) {
	request := cloud.Request{Op: cloud.Terminate}
	for _, w := range batch {
		request.MachineIDs = append(request.MachineIDs, w.ID)
	}
	m.port.Cloud(request, func(reply cloud.Response) {
		if m.closed {
			return
		}
		if reply.Outcome != cloud.OK {
			slog.Info("return failed", "machines", len(batch), "err", reply.Error)
			m.port.After(m.jitter(backoff), func() {
				if !m.closed {
					m.sendTerminate(batch, min(2*backoff, 5*time.Second))
				}
			})
			return
		}
		for _, w := range batch {
			m.Terminated++
			m.machines.MarkTerminated(w, workers.ReasonTerminated)
		}
	})
}

func (m *Manager) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d)))
}

// listTimeout is how long an answer with a list may take.
const listTimeout = 5 * time.Second

// listMachines reads the cloud's list now and then, and adopts what nobody expected.
func (m *Manager) listMachines() {
	now := m.port.Now()
	interval := max(5*time.Second, settings.Seconds(m.cfg.Cloud.ListLagS))
	if m.listInProgress || now.Sub(m.lastListed) < interval || !m.takeRateToken() {
		return
	}
	m.listInProgress = true
	m.listPage("")
}

func (m *Manager) listPage(after ident.MachineID) {
	m.port.Cloud(cloud.Request{Op: cloud.List, StartAfter: after}, func(reply cloud.Response) {
		if m.closed {
			return
		}
		if reply.Outcome != cloud.OK {
			m.listInProgress, m.lastListed = false, m.port.Now()
			return
		}
		// A page is a request as well.
		m.rateTokens--
		last := after
		for _, listed := range reply.Machines {
			last = listed.ID
			m.adopt(listed)
		}
		if reply.Truncated && last > after {
			m.listPage(last)
			return
		}
		m.listInProgress, m.lastListed = false, m.port.Now()
	})
}

func (m *Manager) adopt(listed cloud.ListedMachine) {
	w := m.machines.Workers[listed.ID]
	if w == nil {
		// A list may be older than this term, and show what the leader before has
		// returned: such a machine would count as room to come. What is real is
		// listed again, or reports.
		if m.port.Now().Sub(m.termStarted) < 2*settings.Seconds(m.cfg.Cloud.ListLagS)+listTimeout {
			return
		}
		slog.Info("adopting machine", "host", string(listed.ID), "status", listed.Status, "age_s", listed.AgeS)
		w = m.machines.Add(workers.MachineInfo{ID: listed.ID, Model: listed.Model, Zone: listed.Zone, Spot: listed.Spot,
			CreatedAt: m.port.Now().Add(-settings.Seconds(listed.AgeS))})
		if w.Addr == "" {
			w.Addr = listed.Addr
		}
	}
	// A failed machine has stopped, and nothing runs on it; but what proves it
	// is the answer to its return.
	if listed.Status == "failed" {
		m.Terminate(w, workers.ReasonFailedToStart)
	}
}

// provision asks for n machines of a pool, unless that is over the cloud's rate.
func (m *Manager) provision(p pool, count int) bool {
	if !m.takeRateToken() {
		return false
	}
	// The term makes the name ours alone; names are never used again.
	m.requestCount++
	request := cloud.Request{Op: cloud.Provision, RequestID: fmt.Sprintf("opaldale-%d-%d", m.cfg.Term, m.requestCount),
		Model: p.model, Zone: p.zone, Spot: p.spot, Count: count}
	slog.Info("renting", "model", p.model, "site", p.zone, "standby", p.spot, "number", count)
	m.poolState(p).pending += count
	m.sendProvision(p, request, 500*time.Millisecond, 0)
	return true
}

func (m *Manager) sendProvision(p pool, request cloud.Request, backoff time.Duration, attempt int) {
	requested := m.port.Now()
	m.port.Cloud(request, func(reply cloud.Response) {
		if m.closed {
			return
		}
		state := m.poolState(p)
		switch reply.Outcome {
		case cloud.OK:
			state.pending -= request.Count
			for _, id := range reply.Provisioned {
				m.Provisioned++
				m.machines.Add(workers.MachineInfo{ID: id, Model: p.model, Zone: p.zone, Spot: p.spot, CreatedAt: requested})
			}
			state.backoff = 0
			if len(reply.Provisioned) < request.Count {
				m.suspendPool(state)
			}
		case cloud.NoCapacity:
			state.pending -= request.Count
			m.NoCapacity++
			m.suspendPool(state)
		case cloud.Invalid:
			slog.Error("rental refused", "err", reply.Error)
			state.pending -= request.Count
			m.suspendPool(state)
		default:
			// The same name again: what a lost request rented is answered then.
			if attempt > 20 {
				state.pending -= request.Count
				m.suspendPool(state)
				return
			}
			m.port.After(m.jitter(backoff), func() {
				if !m.closed {
					m.sendProvision(p, request, min(2*backoff, 4*time.Second), attempt+1)
				}
			})
		}
	})
}

// suspendPool stops renting from a pool for a while.
func (m *Manager) suspendPool(state *poolState) {
	state.backoff = min(max(2*state.backoff, 4*time.Second), 16*time.Second)
	state.unavailableUntil = m.port.Now().Add(m.jitter(state.backoff))
}
