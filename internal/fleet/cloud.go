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

// take spends a request of the cloud's rate.
func (m *Manager) take() bool {
	now := m.port.Now()
	m.tokens = min(m.cfg.Cloud.RPS, m.tokens+0.8*m.cfg.Cloud.RPS*now.Sub(m.filled).Seconds())
	m.filled = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// Return gives a machine back. Its tasks count on it until the cloud has
// answered.
func (m *Manager) Return(w *workers.Worker, why string) {
	if w.State == workers.Terminating || w.State == workers.Terminated {
		return
	}
	slog.Info("returning machine", "host", string(w.ID), "why", why, "tasks", len(w.Tasks))
	m.machine.MarkTerminating(w, why)
	m.leaving = append(m.leaving, w)
}

const maxReturn = 100

// flush sends the returns that are due.
func (m *Manager) flush() {
	for len(m.leaving) > 0 && m.take() {
		n := min(len(m.leaving), maxReturn)
		batch := m.leaving[:n:n]
		m.leaving = m.leaving[n:]
		m.giveBack(batch, 300*time.Millisecond)
	}
}

func (m *Manager) giveBack(batch []*workers.Worker, wait time.Duration) {
	r := cloud.Request{Op: cloud.Terminate}
	for _, w := range batch {
		r.MachineIDs = append(r.MachineIDs, w.ID)
	}
	m.port.Cloud(r, func(a cloud.Response) {
		if m.dead {
			return
		}
		if a.Outcome != cloud.OK {
			slog.Info("return failed", "machines", len(batch), "err", a.Error)
			m.port.After(m.jitter(wait), func() {
				if !m.dead {
					m.giveBack(batch, min(2*wait, 5*time.Second))
				}
			})
			return
		}
		for _, w := range batch {
			m.Returned++
			m.machine.MarkTerminated(w, "returned")
		}
	})
}

func (m *Manager) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d)))
}

// listTime is how long an answer with a list may take.
const listTime = 5 * time.Second

// list reads the cloud's list now and then, and adopts what nobody expected.
func (m *Manager) list() {
	now := m.port.Now()
	every := max(5*time.Second, settings.Seconds(m.cfg.Cloud.ListLagS))
	if m.listing || now.Sub(m.listed) < every || !m.take() {
		return
	}
	m.listing = true
	m.page("")
}

func (m *Manager) page(since ident.MachineID) {
	m.port.Cloud(cloud.Request{Op: cloud.List, StartAfter: since}, func(a cloud.Response) {
		if m.dead {
			return
		}
		if a.Outcome != cloud.OK {
			m.listing, m.listed = false, m.port.Now()
			return
		}
		// A page is a request as well.
		m.tokens--
		last := since
		for _, l := range a.Machines {
			last = l.ID
			m.adopt(l)
		}
		if a.Truncated && last > since {
			m.page(last)
			return
		}
		m.listing, m.listed = false, m.port.Now()
	})
}

func (m *Manager) adopt(l cloud.ListedMachine) {
	w := m.machine.Workers[l.ID]
	if w == nil {
		// A list may be older than this term, and show what the leader before has
		// returned: such a machine would count as room to come. What is real is
		// listed again, or reports.
		if m.port.Now().Sub(m.started) < 2*settings.Seconds(m.cfg.Cloud.ListLagS)+listTime {
			return
		}
		slog.Info("adopting machine", "host", string(l.ID), "status", l.Status, "age_s", l.AgeS)
		w = m.machine.Add(l.ID, l.Model, l.Zone, l.Spot, m.port.Now().Add(-settings.Seconds(l.AgeS)))
		if w.Addr == "" {
			w.Addr = l.Addr
		}
	}
	// A failed machine has stopped, and nothing runs on it; but what proves it
	// is the answer to its return.
	if l.Status == "failed" {
		m.Return(w, "failed")
	}
}

// rent asks for n machines of a pool, unless that is over the cloud's rate.
func (m *Manager) rent(p pool, n int) bool {
	if !m.take() {
		return false
	}
	// The term makes the name ours alone; names are never used again.
	m.hires++
	r := cloud.Request{Op: cloud.Provision, RequestID: fmt.Sprintf("opaldale-%d-%d", m.cfg.Term, m.hires),
		Model: p.model, Zone: p.site, Spot: p.standby, Count: n}
	slog.Info("renting", "model", p.model, "site", p.site, "standby", p.standby, "number", n)
	m.market(p).pending += n
	m.hire(p, r, 500*time.Millisecond, 0)
	return true
}

func (m *Manager) hire(p pool, r cloud.Request, wait time.Duration, tries int) {
	began := m.port.Now()
	m.port.Cloud(r, func(a cloud.Response) {
		if m.dead {
			return
		}
		mk := m.market(p)
		switch a.Outcome {
		case cloud.OK:
			mk.pending -= r.Count
			for _, h := range a.Provisioned {
				m.Rented++
				m.machine.Add(h, p.model, p.site, p.standby, began)
			}
			mk.backoff = 0
			if len(a.Provisioned) < r.Count {
				m.close(mk)
			}
		case cloud.NoCapacity:
			mk.pending -= r.Count
			m.NoCapacity++
			m.close(mk)
		case cloud.Invalid:
			slog.Error("rental refused", "err", a.Error)
			mk.pending -= r.Count
			m.close(mk)
		default:
			// The same name again: what a lost request rented is answered then.
			if tries > 20 {
				mk.pending -= r.Count
				m.close(mk)
				return
			}
			m.port.After(m.jitter(wait), func() {
				if !m.dead {
					m.hire(p, r, min(2*wait, 4*time.Second), tries+1)
				}
			})
		}
	})
}

// close stops renting from a pool for a while.
func (m *Manager) close(mk *market) {
	mk.backoff = min(max(2*mk.backoff, 4*time.Second), 16*time.Second)
	mk.closed = m.port.Now().Add(m.jitter(mk.backoff))
}
