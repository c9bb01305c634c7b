package fleet

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// shrink empties and returns machines that neither the waiting work nor the
// headroom needs. A machine is seldom idle by itself: tasks come and go on it,
// and replicas stay. So the one that is easiest to empty is cordoned: its tasks
// end, its replicas move, and nothing new is placed there.
func (m *Manager) shrink(bins []*bin, services map[string]float64, arrays float64, now ident.Mono) {
	total := 0.0
	free := map[string]float64{}
	var cand []*bin
	for _, b := range bins {
		if b.rent || b.w == nil || b.w.State == workers.Booting {
			continue
		}
		if b.w.Cordoned {
			total -= b.w.VCPUs
			m.empty(b.w, now)
			continue
		}
		total += b.v
		if !b.pool.standby {
			free[b.pool.site] += b.v + borrowed(b.w)
		}
		if b.w.State == workers.Up {
			cand = append(cand, b)
		}
	}
	sort.SliceStable(cand, func(i, k int) bool {
		a, b := cand[i], cand[k]
		if x, y := m.price(a), m.price(b); x != y {
			return x > y
		}
		if x, y := replicas(a.w), replicas(b.w); x != y {
			return x < y
		}
		return a.v > b.v
	})
	all := 0.0
	for _, v := range services {
		all += v
	}
	excess := false
	for _, b := range cand {
		// Its replicas move, and its arrays end where they are; but while work goes
		// on as it does, others come in their place. (Counting only what was free
		// on it cordoned most of a fleet within a second of the end of a peak, and
		// rented it again.)
		moving := replicas(b.w)
		keep := arrays
		if b.pool.standby {
			keep *= spotKeep
		}
		if total-b.v-b.w.VCPUs < all+keep {
			continue
		}
		if !b.pool.standby && free[b.pool.site]-b.v-borrowed(b.w)-moving < services[b.pool.site] {
			continue
		}
		excess = true
		if m.excess == 0 {
			m.excess = now
		}
		if now.Sub(m.excess) < m.cfg.Tuning.IdleKeep {
			return
		}
		total -= b.v + b.w.VCPUs
		if !b.pool.standby {
			free[b.pool.site] -= b.v + borrowed(b.w) + moving
		}
		slog.Info("cordoning machine", "host", string(b.w.Host), "tasks", len(b.w.Tasks), "replicas_cpus", moving)
		b.w.Cordoned = true
		m.empty(b.w, now)
	}
	if !excess {
		m.excess = 0
	}
}

// spotKeep is how many times the room for arrays is kept before a spot machine is
// returned: idle they cost little, and a boot is paid for as well.
const spotKeep = 1.7

// price is what a bin's machine costs at present.
func (m *Manager) price(b *bin) float64 {
	if b.pool.standby {
		return b.kind.MarketPrice
	}
	return b.kind.Hourly
}

// replicas returns the CPUs of the services on a machine.
func replicas(w *workers.Worker) float64 { return shaped(w, api.Service) }

// borrowed returns the CPUs of the arrays on a machine, nil for one to come.
func borrowed(w *workers.Worker) float64 { return shaped(w, api.Batch) }

func shaped(w *workers.Worker, shape api.Shape) float64 {
	sum := 0.0
	if w != nil {
		for _, t := range w.Tasks {
			if t.Job.Spec.Shape == shape {
				sum += t.Job.Spec.VCPUs
			}
		}
	}
	// Rounded, so that the order of the sum can't change what is decided by it.
	return math.Round(sum*1e6) / 1e6
}

// settled is how long a start must last to count for the aims.
const settled = 35 * time.Second

// empty moves the replicas off a cordoned machine, once its arrays have ended,
// and returns it when nothing is left.
func (m *Manager) empty(w *workers.Worker, now ident.Mono) {
	if w.State != workers.Up {
		return
	}
	if len(w.Tasks) == 0 {
		m.Return(w, "not needed")
		return
	}
	for _, t := range m.machine.TasksOf(w) {
		if t.Job.Spec.Shape != api.Service {
			return
		}
		if t.State != jobs.Assigned || t.RunsAt == 0 || now.Sub(t.RunsAt) < settled {
			return
		}
	}
	// One replica each time, and only while there is room for it where its image
	// is: it is gone for no longer than a command and a transaction take.
	for _, t := range m.machine.TasksOf(w) {
		if m.cfg.Movable(t, w) {
			slog.Info("moving replica", "piece", t.Piece().String(), "host", string(w.Host))
			m.machine.StopTask(w, t, 0)
			return
		}
	}
}
