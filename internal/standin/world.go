// Package standin is a small world for tests, written from the protocol: a state
// service, a cloud, workers, users and a network with cuts, losses and late
// deliveries, all in simulated time and from a seed. It checks every rule at
// every step.
package standin

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

// Config sets a run up.
type Config struct {
	Seed     uint64
	Mutation Mutation
	Faults   bool
	Length   time.Duration // of the part with faults and arrivals
	Old      bool          // all nodes are of the version in production at first, and replaced one by one
	Gangs    bool          // more gangs than otherwise
	Crowd    bool          // small jobs of one team all the time, and large ones now and then
	Quiet    bool          // no jobs come by themselves
	Meet     bool          // the faults are those of the page on two at once as well
	Links    bool          // the nodes watch their links
	// Rebalance is what the nodes do about uneven load.
	Rebalance settings.Rebalance
	// Tune changes the tuning of each node; nil: nothing more.
	Tune     func(*settings.Tuning)
	Nodes    int // controllers; 0: three
	OldNodes int // so many of them are of the version in production, until they are replaced
	Capacity int // machines of each zone and kind that the cloud has; 0: by Fleet
	Fleet    int // machines that the cloud has in all, with limits of teams to match; 0: a small one
	// Slow is how many of the first machines are much slower than the others.
	Slow int
	// Teams are those of the cluster; nil: four of different kinds.
	Teams []settings.Team
	Calm  time.Duration // after the faults; 0: calm
	// Digest records what the controllers send; nil: nothing is recorded.
	Digest *Digest
}

// nodeCount returns how many controllers there are.
func (c Config) nodeCount() int {
	if c.Nodes > 0 {
		return c.Nodes
	}
	return 3
}

// World is one run.
type World struct {
	cfg   Config
	rng   *rand.Rand
	now   ident.Mono
	queue eventHeap
	seq   uint64

	set     settings.Cluster
	nodes   []*node
	store   *store
	cloud   *provider
	workers map[ident.HostID]*worker
	jobs    map[ident.JobID]*userJob
	gangs   map[gangKey]*gangRun
	order   []ident.JobID
	cuts    map[[2]string]*cut
	oneWay  map[[2]string]*cut    // links broken in one direction, from the first to the second
	sorted  []*worker             // the workers by name, nil when they have changed
	zones   map[string]*cut       // zones cut off from everything outside
	deaf    map[string]ident.Mono // machines that nothing reaches until then
	nextJob int
	troubles
	linkEvents

	// Broken lists the rules broken, in words; Undone what was not brought to its
	// end in the calm; Log what happened.
	Broken []string
	Undone []string
	Log    []string
	Starts int
	// GangRuns and GangStops count what gangs did.
	GangRuns, GangStops int
	// lostOneWay counts the messages that a link broken in one direction has held up.
	lostOneWay int
	// LeasesLost counts the tasks that ended with their machines' leases.
	LeasesLost int
	study      study
	slowUp     int // machines that are slow, so far
	// Moves counts the moves of running tasks that were recorded.
	Moves int
	// TooLarge counts the transactions that the state service refused for its limits.
	TooLarge int
}

type event struct {
	at  ident.Mono
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// New makes a world of three controllers in two zones.
func New(cfg Config) *World {
	w := &World{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), workers: map[ident.HostID]*worker{},
		jobs: map[ident.JobID]*userJob{}, gangs: map[gangKey]*gangRun{}, cuts: map[[2]string]*cut{}, oneWay: map[[2]string]*cut{}, zones: map[string]*cut{}, deaf: map[string]ident.Mono{},
		linkEvents: linkEvents{announced: map[ident.Term]bool{}, newest: map[string]uint64{}, yields: map[string]int{}, sentBefore: map[string]bool{}},
		troubles:   troubles{mute: map[string]ident.Mono{}, seen: map[string]int{}}}
	w.set = settings.Cluster{
		Nodes: cfg.nodeCount(), Zones: []string{"east", "west"}, TimeBoundMS: 200,
		Teams: []settings.Team{{Name: "red", CPUs: 12, CPUsMax: 28}, {Name: "blue", CPUs: 8, CPUsMax: 20},
			{Name: "grey", CPUs: 0, CPUsMax: 16}, {Name: "guest"}},
		Workers: settings.Workers{ReportS: 3, LeaseS: 20, CancelS: 42, GangWaitS: 20, GangPeerS: 4},
		State: settings.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16,
			Next: &settings.NextState{WriteRPS: 60, ValueKB: 2, TxnOps: 5}},
		Cloud:     settings.Cloud{RPS: 5, ListLagS: 4},
		Resources: settings.Resources{Cores: 1, MemoryMB: 256, Sockets: 1000},
	}
	if cfg.Fleet > 0 {
		w.enlarge()
	}
	if cfg.Teams != nil {
		w.set.Teams = cfg.Teams
	}
	w.store = newStore(w)
	w.cloud = newProvider(w)
	for i := range w.set.Nodes {
		n := &node{w: w, old: cfg.Old || i >= w.set.Nodes-cfg.OldNodes, name: fmt.Sprintf("agent-%d", i), zone: w.set.Zones[i%2]}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

// enlarge sets the cluster up for a large fleet: as on the operators' largest, reports come
// less often.
func (w *World) enlarge() {
	for i := range w.set.Teams {
		w.set.Teams[i].CPUs *= float64(w.cfg.Fleet)
		w.set.Teams[i].CPUsMax *= float64(w.cfg.Fleet)
	}
	w.set.Workers.ReportS, w.set.Workers.LeaseS, w.set.Workers.CancelS = 8, 36, 70
}

func (w *World) at(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, f})
}

func (w *World) logf(format string, a ...any) {
	w.Log = append(w.Log, fmt.Sprintf("%8.3f ", w.now.Sub(0).Seconds())+fmt.Sprintf(format, a...))
}

func (w *World) broken(format string, a ...any) {
	w.logf("BROKEN: "+format, a...)
	w.Broken = append(w.Broken, fmt.Sprintf("%.3f: ", w.now.Sub(0).Seconds())+fmt.Sprintf(format, a...))
}

// Run plays the world: cfg.Length with arrivals and faults, then a while of calm
// in which everything must come to its end.
func (w *World) Run() {
	switch {
	case w.cfg.Crowd:
		w.crowd()
	case !w.cfg.Quiet:
		w.arrive()
	}
	w.idleBeside()
	if w.cfg.Faults {
		w.at(10*time.Second, w.fault)
	}
	lower := limitsAt
	if w.cfg.Old {
		w.at(rollAt, func() { w.rollout(0) })
		lower += rollAt
	}
	w.at(lower, w.store.lower)
	quiet := calm
	if w.cfg.Calm > 0 {
		quiet = w.cfg.Calm
	}
	end := ident.Mono(w.cfg.Length + quiet)
	for len(w.queue) > 0 && len(w.Broken) == 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > end {
			break
		}
		w.now = e.at
		e.run()
	}
	if len(w.Broken) == 0 {
		w.finish()
	}
}

const (
	rollAt    = 40 * time.Second
	rollEvery = 20 * time.Second
	// limitsAt is when the state service lowers its limits, or so long after an upgrade
	// has begun.
	limitsAt = 90 * time.Second
)

// leader returns the node that surely leads, nil if none does.
func (w *World) leader() *node {
	for _, n := range w.nodes {
		if n.alive && n.ctl.Election().Valid() {
			return n
		}
	}
	return nil
}

func (w *World) sortedWorkers() []*worker {
	if w.sorted == nil {
		w.sorted = make([]*worker, 0, len(w.workers))
		for _, k := range w.workers {
			w.sorted = append(w.sorted, k)
		}
		sort.Slice(w.sorted, func(i, k int) bool { return w.sorted[i].host < w.sorted[k].host })
	}
	return w.sorted
}

func (w *World) anyWorker() *worker {
	all := w.sortedWorkers()
	if len(all) == 0 {
		return nil
	}
	return all[w.rng.IntN(len(all))]
}

// Tail returns the end of the log.
func (w *World) Tail(n int) string {
	return strings.Join(w.Log[max(0, len(w.Log)-n):], "\n")
}
