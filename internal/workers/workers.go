// Package workers owns what is known of the machines: which sessions they are
// in, which tasks count on them, which orders are under way, and what proves
// that a task is gone.
package workers

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"sort"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// State is a machine's course.
type State uint8

// The states of a machine.
const (
	Booting   State = iota // rented or listed, its worker was not heard of in this term
	Up                     // its worker reports
	Silent                 // its worker has not reported for a while
	Returning              // is being returned; nothing is placed on it
	Gone                   // returned, with everything that was on it
)

func (s State) String() string {
	return [...]string{"booting", "up", "silent", "returning", "gone"}[s]
}

// Image is a cached image.
type Image struct {
	Bundle string
	GB     float64
}

// attempt names one try of a task.
type attempt struct {
	piece ident.Piece
	try   ident.Try
}

// Worker is a machine and the worker on it.
type Worker struct {
	Host    ident.HostID
	Addr    string
	Model   string
	Kind    *cloud.Model // nil while the catalog doesn't list it
	Site    string
	Standby bool
	State   State

	Since    ident.Mono // when it entered its state
	Born     ident.Mono // when it was rented, as far as known
	IdleFrom ident.Mono // when its last task left it
	Doomed   ident.Mono // when the cloud takes it; 0: not announced
	Shun     ident.Mono // nothing is placed on it earlier
	Cordoned bool       // being emptied, to be returned
	Errors   int        // tasks of different jobs that failed on it in a row
	lastErr  ident.JobID

	Tenure   ident.Tenure
	serial   ident.Serial
	told     ident.Epoch // token in the newest answer to a report of this term
	fence    uint32
	heard    ident.Mono // newest report or answer
	answered ident.Mono // last time a report was answered
	everAns  bool

	Tasks   map[ident.Piece]*jobs.Task
	Plan    []*jobs.Task // of the current round
	images  []Image      // newest last
	orphans map[ident.Piece]ident.Try
	unclear map[attempt]bool // ended, and not yet durably so

	flying  []api.Order // of the command under way
	busy    bool
	queue   []api.Order
	dull    bool // a command was not answered; wait for its report
	probing bool
	misses  int        // commands and probes without an answer since it last showed that it hears us
	deaf    ident.Mono // since when its reports show that our answers don't arrive; 0: they do

	VCPUs, Cards, MemoryGB float64 // taken by Tasks
	Arrays, Replicas       float64 // CPUs of them, by the shape of their jobs; gangs count as replicas
	ranks                  [ranks]int

	Group    *Group // that it is on record with
	Recorded bool   // its record is durable
}

// Group is a few machines whose records share one key: with a key each, a fleet
// of a thousand machines takes all puts of half a minute before anything can be
// placed.
type Group struct {
	Doc     *commit.Doc
	Members []*Worker
	Leaving []*Worker // on record here until their next group is durable
	Dropped bool      // its key is deleted
}

// Fits says whether a task would find room now, and Could whether it would on
// the empty machine.
func (w *Worker) Fits(s *api.Spec) bool { return w.Room(jobs.NeedOf(s)) }

// Places returns how many tasks of a job would find room now.
func (w *Worker) Places(s *api.Spec) int {
	if w.Kind == nil {
		return 0
	}
	free := jobs.Need{VCPUs: w.Kind.VCPUs - w.VCPUs, Cards: w.Kind.Cards - w.Cards, MemoryGB: w.Kind.MemoryGB - w.MemoryGB}
	return max(0, min(s.Pieces, free.Places(s)))
}

// Room says whether as much is free.
func (w *Worker) Room(n jobs.Need) bool {
	return w.Kind != nil && w.VCPUs+n.VCPUs <= w.Kind.VCPUs+slack && w.Cards+n.Cards <= w.Kind.Cards+slack &&
		w.MemoryGB+n.MemoryGB <= w.Kind.MemoryGB+slack
}

// Images returns what the machine surely or probably has cached.
func (w *Worker) Images() []Image { return w.images }

// ranks is the number of priorities.
const ranks = 4

func lesser(counts *[ranks]int, r api.Rank) int {
	n := 0
	for _, k := range counts[r.Level()+1:] {
		n += k
	}
	return n
}

// Lesser returns how many tasks of a lower priority count on the machine.
func (w *Worker) Lesser(r api.Rank) int { return lesser(&w.ranks, r) }

// Lesser returns how many tasks of a lower priority count on any machine.
func (tb *Table) Lesser(r api.Rank) int { return lesser(&tb.ranks, r) }

// slack forgives rounding in sums of amounts.
const slack = 1e-6

// Allows says whether the job may use the machine at all.
func (w *Worker) Allows(s *api.Spec) bool {
	if s.Site != nil && *s.Site != w.Site || w.Standby && !s.Standby || w.Kind == nil {
		return false
	}
	return AllowsModel(s, w.Model) && Could(w.Kind, s)
}

// AllowsModel says whether the job may run on a type of machine.
func AllowsModel(s *api.Spec, model string) bool {
	for _, m := range s.Models {
		if m == model {
			return true
		}
	}
	return s.Models == nil
}

// Could says whether a task fits an empty machine.
func Could(m *cloud.Model, s *api.Spec) bool {
	return s.VCPUs <= m.VCPUs+slack && s.Cards <= m.Cards+slack && s.MemoryGB <= m.MemoryGB+slack
}

// Open says whether tasks may be placed on the machine now.
func (w *Worker) Open(now ident.Mono) bool {
	return w.State == Up && w.Doomed == 0 && !w.Cordoned && now >= w.Shun && !w.dull && w.Tenure != 0 &&
		w.Recorded // a successor must know every machine that tasks may be on
}

// Holds says whether the machine surely or probably has an image.
func (w *Worker) Holds(bundle string) bool {
	for _, im := range w.images {
		if im.Bundle == bundle {
			return true
		}
	}
	return false
}

// Deaf returns for how long the worker's reports have shown that our answers to
// them don't arrive.
func (w *Worker) Deaf() time.Duration {
	if w.deaf == 0 {
		return 0
	}
	return w.heard.Sub(w.deaf)
}

// Hears says whether a machine is up, was heard within d, and answers commands as far
// as is known.
func (tb *Table) Hears(h ident.HostID, d time.Duration) bool {
	w := tb.Workers[h]
	return w != nil && w.State == Up && !w.dull && w.misses == 0 && w.deaf == 0 && w.Reported() && tb.port.Now().Sub(w.heard) <= d
}

// Misses counts the commands and probes that went without an answer since the
// worker last showed that it hears us.
func (w *Worker) Misses() int { return w.misses }

// Reported says whether the worker was heard of in this term.
func (w *Worker) Reported() bool { return w.serial > 0 }

// Heard returns when the worker was last heard of.
func (w *Worker) Heard() ident.Mono { return w.heard }

// cache notes that an image was used: the workers keep the most recently used
// ones, as far as their disk reaches.
func (w *Worker) cache(bundle string, gb float64) {
	n := len(w.images)
	i := slices.IndexFunc(w.images, func(im Image) bool { return im.Bundle == bundle })
	if i >= 0 && i == n-1 {
		return
	}
	if i >= 0 {
		// The others keep their order.
		im := w.images[i]
		copy(w.images[i:], w.images[i+1:])
		w.images[n-1] = im
		return
	}
	w.images = append(w.images, Image{bundle, gb})
	sum := 0.0
	for _, im := range w.images {
		sum += im.GB
	}
	drop := 0
	for w.Kind != nil && drop < len(w.images)-1 && sum > w.Kind.LocalGB {
		sum -= w.images[drop].GB
		drop++
	}
	w.images = slices.Delete(w.images, 0, drop)
}

// Port is what the table needs of the world.
type Port interface {
	Now() ident.Mono
	After(time.Duration, func())
	Worker(Command, func(Answer))
}

// Command is a call of a worker's POST /commands.
type Command struct {
	Addr string
	Body api.Commands
	// NotAfter is the time, by this node's clock, from which the call must not be sent
	// any more; 0: none.
	NotAfter ident.Mono
}

// Launches says whether the command starts a task.
func (c Command) Launches() bool { return api.Launches(c.Body.Orders) }

// Answer is what came of a Command.
type Answer struct {
	Status int // 0: none
	Report *api.Report
	// Unsent says that the command was surely not sent: its time was over.
	Unsent bool
}

// Config holds the workers' times and the term.
type Config struct {
	Term    ident.Term
	LeaseS  time.Duration
	Grace   time.Duration // for which an earlier leader may have answered on
	Catalog func(model string) *cloud.Model
	// Deposed is called when a worker has seen a later term.
	Deposed func()
	// Changed is called when room or tasks have changed.
	Changed func()
	// Failed is called for a task that ended for another cause than done.
	Failed func(t *jobs.Task, w *Worker, c api.Cause)
	// Commit makes the machine's document.
	Commit func(w *Worker)
	// Renewed returns the latest time at which another node may have renewed a lease.
	Renewed func() ident.Mono
	// Asked is called when a command was answered, or was not in its time.
	Asked func(w *Worker, answered bool)
}

// Table holds all machines. It lives for one term.
type Table struct {
	Workers map[ident.HostID]*Worker
	sorted  []*Worker           // in the order of their names
	orphans map[ident.Piece]int // on how many machines
	ranks   [ranks]int          // tasks that count on a machine, by priority
	cfg     Config
	port    Port
	jobs    *jobs.Table
	began   ident.Mono
	dead    bool
	asked   map[ident.HostID]bool // unknown machines that reported

	Relocated uint64 // tasks proven gone without having ended
	Fences    uint64
	Stale     uint64
}

// NewTable makes the machines' table of a term.
func NewTable(port Port, j *jobs.Table, cfg Config) *Table {
	return &Table{Workers: map[ident.HostID]*Worker{}, orphans: map[ident.Piece]int{}, asked: map[ident.HostID]bool{}, cfg: cfg, port: port, jobs: j, began: port.Now()}
}

// Close ends the table with its term.
func (tb *Table) Close() { tb.dead = true }

// Sorted returns the machines in the order of their names, which is that of
// their creation. The slice must not be changed.
func (tb *Table) Sorted() []*Worker { return tb.sorted }

// place finds a name in the sorted machines.
func (tb *Table) place(h ident.HostID) int {
	return sort.Search(len(tb.sorted), func(i int) bool { return tb.sorted[i].Host >= h })
}

// to is the one place where a machine changes its state.
func (tb *Table) to(w *Worker, s State, why string) {
	if w.State == s {
		return
	}
	slog.Debug("machine", "host", string(w.Host), "from", w.State.String(), "to", s.String(), "why", why)
	w.State, w.Since = s, tb.port.Now()
}

// Restore takes in a machine that an earlier term has put on record. One with an
// address had come up.
func (tb *Table) Restore(h ident.HostID, model, site string, standby bool, born ident.Mono, addr string, g *Group) *Worker {
	w := tb.insert(h, model, site, standby, born)
	w.Group, w.Recorded = g, true
	tb.CameUp(w, addr)
	return w
}

// CameUp takes in an address that is on record, if none was known: the machine had come
// up by then.
func (tb *Table) CameUp(w *Worker, addr string) {
	if w.Addr == "" && addr != "" {
		w.Addr = addr
		tb.to(w, Up, "on record")
	}
}

// Add takes in a machine that was rented, loaded, listed or that reports.
func (tb *Table) Add(h ident.HostID, model, site string, standby bool, born ident.Mono) *Worker {
	if w := tb.Workers[h]; w != nil {
		return w
	}
	w := tb.insert(h, model, site, standby, born)
	tb.cfg.Commit(w)
	return w
}

func (tb *Table) insert(h ident.HostID, model, site string, standby bool, born ident.Mono) *Worker {
	now := tb.port.Now()
	w := &Worker{Host: h, Model: model, Site: site, Standby: standby, Kind: tb.cfg.Catalog(model),
		Born: born, Since: now, IdleFrom: now, heard: now, Tasks: map[ident.Piece]*jobs.Task{},
		orphans: map[ident.Piece]ident.Try{}, unclear: map[attempt]bool{}}
	tb.Workers[h] = w
	// A copy: somebody may be walking over the old one.
	tb.sorted = slices.Insert(slices.Clone(tb.sorted), tb.place(h), w)
	return w
}

// epoch is the token for a worker: the term, and how often we fenced off
// commands of our own.
func (tb *Table) epoch(w *Worker) ident.Epoch { return ident.MakeEpoch(tb.cfg.Term, w.fence) }

// Hold counts a task on its machine.
func (tb *Table) Hold(w *Worker, t *jobs.Task) {
	w.Tasks[t.Piece()] = t
	// A report of an earlier session than the placement's is a late one.
	w.Tenure = max(w.Tenure, t.Tenure)
	tb.count(w, t.Job.Spec, 1)
}

// Release stops counting it.
func (tb *Table) Release(w *Worker, t *jobs.Task) {
	if w.Tasks[t.Piece()] != t {
		return
	}
	delete(w.Tasks, t.Piece())
	tb.count(w, t.Job.Spec, -1)
	if len(w.Tasks) == 0 {
		w.VCPUs, w.Cards, w.MemoryGB, w.Arrays, w.Replicas = 0, 0, 0, 0, 0
		w.IdleFrom = tb.port.Now()
	}
	tb.cfg.Changed()
}

func (tb *Table) count(w *Worker, s *api.Spec, sign float64) {
	w.VCPUs += sign * s.VCPUs
	w.Cards += sign * s.Cards
	w.MemoryGB += sign * s.MemoryGB
	// Rounded, so that the order of the sums can't change what is decided by them.
	part := &w.Arrays
	if s.Shape != api.Batch {
		// Tasks that end by themselves, and that others wait for: users miss them at once.
		part = &w.Replicas
	}
	*part = math.Round((*part+sign*s.VCPUs)*1e6) / 1e6
	w.ranks[s.Rank.Level()] += int(sign)
	tb.ranks[s.Rank.Level()] += int(sign)
}

// Orphan says whether a piece is on some machine in a try that we don't know
// of. Then it must not start elsewhere.
func (tb *Table) Orphan(p ident.Piece) bool { return tb.orphans[p] > 0 }

// orphan notes a piece in a try that we don't know of.
func (tb *Table) orphan(w *Worker, p ident.Piece, try ident.Try) {
	if _, ok := w.orphans[p]; !ok {
		tb.orphans[p]++
	}
	w.orphans[p] = try
}

// clearOrphans forgets a machine's orphans.
func (tb *Table) clearOrphans(w *Worker) {
	for p := range w.orphans {
		if tb.orphans[p]--; tb.orphans[p] <= 0 {
			delete(tb.orphans, p)
		}
	}
	clear(w.orphans)
}

// Checkin takes a worker's report and returns the answer to it, nil for a
// report that is not newer than what is known.
func (tb *Table) Checkin(r *api.Report) *api.Orders {
	w := tb.Workers[r.Host]
	if w == nil || w.State == Gone {
		if w != nil {
			// Held up on its way while its machine was being returned.
			return nil
		}
		return tb.stranger(r)
	}
	if !tb.take(w, r) {
		// No effect, but its lease is renewed by any answer, and so each must end what
		// has to be gone.
		if tb.dead || r.Tenure < w.Tenure {
			return nil
		}
		return tb.renew(w, r, unwanted(w, r))
	}
	o := tb.renew(w, r, tb.reconcile(w, r))
	if o != nil {
		w.told = o.Epoch
	}
	return o
}

// stranger answers a report of a machine that we don't know. It may be a late
// copy, from one long returned; so the machine is asked before it counts.
func (tb *Table) stranger(r *api.Report) *api.Orders {
	if r.Epoch.Term() > tb.cfg.Term {
		tb.cfg.Deposed()
		return nil
	}
	epoch := ident.MakeEpoch(tb.cfg.Term, 0)
	if !tb.asked[r.Host] && len(tb.asked) < maxStrangers {
		tb.asked[r.Host] = true
		tb.port.Worker(Command{Addr: r.Addr, Body: api.Commands{Epoch: epoch, Tenure: r.Tenure, Orders: []api.Order{}}}, func(a Answer) {
			if tb.dead {
				return
			}
			delete(tb.asked, r.Host)
			if a.Report == nil || a.Report.Host != r.Host {
				return
			}
			slog.Info("unexpected machine", "host", string(r.Host))
			w := tb.Add(r.Host, r.Model, r.Site, r.Standby, tb.port.Now())
			if w.State != Gone && tb.take(w, a.Report) && !tb.dead {
				tb.stopUnwanted(w, a.Report)
			}
		})
	}
	return &api.Orders{Epoch: epoch, Orders: []api.Order{}}
}

// maxStrangers bounds the unknown machines that are asked at a time.
const maxStrangers = 100

// Renew answers a report without taking anything from it, for a leader that may not be
// one any more, but whose workers had better keep their tasks. Nothing starts by that;
// what must be gone is stopped.
func (tb *Table) Renew(r *api.Report) *api.Orders {
	w := tb.Workers[r.Host]
	if w == nil || w.State == Gone || r.Epoch > tb.epoch(w) || r.Tenure < w.Tenure {
		// One that has seen a successor's token would have to drop our answer, and
		// stay with us until its lease is over.
		return nil
	}
	o := tb.renew(w, r, unwanted(w, r))
	if o != nil {
		w.heard = w.answered
	}
	return o
}

// renew answers a report, which renews the worker's lease, unless a task of a job that
// was cancelled longer ago than the grace may yet come to run there, from a command that
// is still on its way: that must be over with the lease. The worker is then told the
// newest token, with which its next report shows that nothing can come any more.
func (tb *Table) renew(w *Worker, r *api.Report, orders []api.Order) *api.Orders {
	// With the newest token, and no command under way, nothing can come late.
	if r.Epoch != tb.epoch(w) || w.busy || r.Serial < w.serial {
		for _, t := range w.Tasks {
			j := t.Job
			if j.Phase == jobs.Cancelled && tb.port.Now().Sub(j.Ended) > tb.cfg.Grace && !listed(r, attempt{t.Piece(), t.Try}) {
				tb.Probe(w)
				return nil
			}
		}
	}
	w.answered, w.everAns = tb.port.Now(), true
	return &api.Orders{Epoch: tb.epoch(w), Orders: orders}
}

// listed says whether a report has an attempt.
func listed(r *api.Report, a attempt) bool {
	return slices.ContainsFunc(r.Pieces, func(p api.PieceReport) bool { return p.Piece == a.piece && p.Try == a.try })
}

// unwanted returns the orders that stop the tasks in a report which nobody wants any
// more: those of cancelled jobs, and what doesn't count on the machine. A kill is safe
// at any time, whoever leads.
func unwanted(w *Worker, r *api.Report) []api.Order {
	orders := []api.Order{}
	for _, p := range r.Pieces {
		t := w.Tasks[p.Piece]
		if p.Status != api.Ended && (t == nil || t.Try != p.Try || t.Job.Phase == jobs.Cancelled) {
			orders = append(orders, Kill(p.Piece, p.Try))
		}
	}
	return orders
}

// take notes what a report says of the worker itself. It returns false for a
// report that is not newer than the newest seen.
func (tb *Table) take(w *Worker, r *api.Report) bool {
	if r.Tenure < w.Tenure || r.Tenure == w.Tenure && r.Serial <= w.serial {
		tb.Stale++
		return false
	}
	now := tb.port.Now()
	if r.Epoch.Term() > tb.cfg.Term {
		tb.cfg.Deposed()
		return false
	}
	if r.Epoch > tb.epoch(w) {
		// A token of ours that we don't remember: not possible within a term.
		slog.Error("worker has seen a token from the future", "host", string(w.Host))
		w.fence = uint32(r.Epoch-ident.MakeEpoch(tb.cfg.Term, 0)) + 1
	}
	if w.Addr != r.Addr || w.Kind == nil {
		w.Addr = r.Addr
		w.Kind = tb.cfg.Catalog(w.Model)
		tb.cfg.Commit(w)
	}
	if r.Tenure > w.Tenure {
		// The worker has killed and forgotten all tasks of earlier sessions, and
		// orders for them are refused.
		w.Tenure = r.Tenure
		w.queue = nil
		w.images = nil
		tb.clearOrphans(w)
		// Its lease has its full time from when the session began, which was not
		// after this: nobody need have answered it yet. (A placement learned of by
		// a probe was thought lost with the lease before, and ran twice.)
		w.answered, w.everAns = now, true
		for _, t := range tb.TasksOf(w) {
			if t.Tenure < r.Tenure {
				tb.lose(w, t, "newer tenure")
			}
		}
	}
	w.serial, w.heard = r.Serial, now
	// To hear a machine is no proof that it hears us: our answers and commands may
	// be lost on the way there. A token that we gave it is.
	switch {
	case r.Epoch >= w.told:
		w.misses, w.deaf = 0, 0
	case w.deaf == 0:
		w.deaf = now
	}
	if r.Epoch == tb.epoch(w) {
		w.dull = false
	}
	if w.State == Booting || w.State == Silent {
		tb.to(w, Up, "reports")
		w.probing = false
		tb.cfg.Changed()
	}
	if r.WarningS == nil {
		w.Doomed = 0
	} else {
		at := now.Add(time.Duration(*r.WarningS * float64(time.Second)))
		if w.Doomed == 0 {
			slog.Info("machine will be taken", "host", string(w.Host), "in_s", *r.WarningS)
			tb.cfg.Changed()
		}
		w.Doomed = max(at, 1)
	}
	tb.clearOrphans(w)
	for _, p := range r.Pieces {
		t := w.Tasks[p.Piece]
		if p.Status != api.Ended && (t == nil || t.Try != p.Try) {
			tb.orphan(w, p.Piece, p.Try)
			continue
		}
		if t == nil || t.Try != p.Try {
			continue
		}
		if p.Status == api.Running || p.Status == api.Flushing || p.Status == api.Gathering || p.Cause == api.CauseDone {
			w.cache(t.Job.Spec.Bundle, t.Job.Spec.ImageGB)
		}
		if p.Status != api.Ended {
			tb.jobs.Observe(t, p.Status)
			continue
		}
		tb.ended(w, t, p)
	}
	return true
}

// ended handles a task that exited. Its attempt is cleared from the worker only
// when that is durable: else a successor would start it again.
func (tb *Table) ended(w *Worker, t *jobs.Task, p api.PieceReport) {
	a := attempt{p.Piece, p.Try}
	if now := tb.port.Now(); t.RunsAt > 0 {
		slog.Debug("task ended", "piece", p.Piece.String(), "cause", string(p.Cause), "host", string(w.Host),
			"ran_s", now.Sub(t.RunsAt).Seconds(), "job_age_s", now.Sub(t.Job.Arrived).Seconds(), "runtime_s", t.Job.Spec.RuntimeS)
	}
	w.unclear[a] = true
	durable := func() {
		if tb.dead {
			return
		}
		delete(w.unclear, a)
		tb.Push(w, api.Order{Verb: api.Clear, Piece: a.piece, Try: a.try})
	}
	if p.Cause == api.CauseDone {
		if w.lastErr != t.Job.Spec.ID {
			w.Errors = 0
		}
		tb.jobs.Complete(t, durable)
		return
	}
	tb.cfg.Failed(t, w, p.Cause)
	if p.Cause == api.CauseError && !t.Job.Suspect && w.lastErr != t.Job.Spec.ID {
		w.Errors++
		w.lastErr = t.Job.Spec.ID
	}
	tb.jobs.Gone(t, durable)
}

// reconcile finds what the report of a checkin proves to be gone, and the
// orders that are missing on the worker.
func (tb *Table) reconcile(w *Worker, r *api.Report) []api.Order {
	orders := []api.Order{}
	// What a command under way or queued names is left to it: a launch repeated
	// here could be carried out, end and be cleared before the command's own
	// comes and starts the task again.
	flying := func(a attempt) bool {
		named := func(o api.Order) bool { return o.Piece == a.piece && o.Try == a.try }
		return slices.ContainsFunc(w.flying, named) || slices.ContainsFunc(w.queue, named)
	}
	for _, p := range r.Pieces {
		a := attempt{p.Piece, p.Try}
		t := w.Tasks[p.Piece]
		known := t != nil && t.Try == p.Try
		switch {
		case known && t.State == jobs.Stopping && t.Job.Phase == jobs.Cancelled && p.Status != api.Ended:
			// A command that says so may be lost, and this answer renews the lease.
			orders = append(orders, kill(a, 0))
		case flying(a):
		case p.Status == api.Ended:
			if !known && !w.unclear[a] {
				orders = append(orders, api.Order{Verb: api.Clear, Piece: p.Piece, Try: p.Try})
			}
		case !known:
			orders = append(orders, kill(a, 0))
		case t.State == jobs.Stopping:
			orders = append(orders, kill(a, tb.windDown(t)))
		}
	}
	// Without the newest token, a command of before may still be on its way to
	// the worker, so what is missing is not proven to be gone. Reports follow one
	// another: an order in the answer to an earlier one was carried out before
	// this report was sent, or never will be.
	fresh := r.Epoch == tb.epoch(w)
	for _, t := range tb.TasksOf(w) {
		a := attempt{t.Piece(), t.Try}
		if listed(r, a) || flying(a) {
			continue
		}
		switch {
		case t.State == jobs.Assigned && t.Seen == "":
			if w.State == Up && t.Job.Phase == jobs.Open && t.Job.Ready() {
				orders = append(orders, launch(t))
			}
		case t.State == jobs.Assigned && fresh:
			tb.lose(w, t, "not in the report")
		case t.State == jobs.Stopping && fresh:
			tb.lose(w, t, "stopped before it started")
		}
	}
	return orders
}

// TasksOf returns a copy in a fixed order: what follows changes the map, and
// seeded runs must repeat.
func (tb *Table) TasksOf(w *Worker) []*jobs.Task {
	out := make([]*jobs.Task, 0, len(w.Tasks))
	for _, t := range w.Tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *jobs.Task) int {
		return cmp.Or(cmp.Compare(a.Job.Seq, b.Job.Seq), cmp.Compare(a.Index, b.Index))
	})
	return out
}

// windDown gives a stopping task the rest of its time to save.
func (tb *Table) windDown(t *jobs.Task) time.Duration {
	left := t.WindDown - tb.port.Now().Sub(t.Since)
	if t.WindDown == 0 || left <= 0 {
		return 0
	}
	return t.WindDown
}

func launch(t *jobs.Task) api.Order {
	return api.Order{Verb: api.Launch, Piece: t.Piece(), Try: t.Try}
}

// Kill is the order that ends an attempt at once.
func Kill(p ident.Piece, t ident.Try) api.Order { return kill(attempt{p, t}, 0) }

func kill(a attempt, windDown time.Duration) api.Order {
	s := windDown.Seconds()
	return api.Order{Verb: api.Kill, Piece: a.piece, Try: a.try, WindDownS: &s}
}

// lose notes that a task is proven not to be on its machine.
func (tb *Table) lose(w *Worker, t *jobs.Task, why string) {
	slog.Info("task is gone", "piece", t.Piece().String(), "try", uint64(t.Try), "host", string(w.Host), "why", why)
	tb.Relocated++
	tb.jobs.Gone(t, nil)
}

// Launch sends a durable placement to its machine.
func (tb *Table) Launch(w *Worker, t *jobs.Task) { tb.Push(w, launch(t)) }

// StopTask stops a task. One whose placement is not yet durable was never sent.
func (tb *Table) StopTask(w *Worker, t *jobs.Task, windDown time.Duration) {
	switch t.State {
	case jobs.Placing:
		tb.jobs.Gone(t, nil)
	case jobs.Assigned:
		tb.jobs.Stop(t, windDown)
		if w != nil {
			tb.Push(w, kill(attempt{t.Piece(), t.Try}, windDown))
		}
	case jobs.Stopping:
		if windDown < t.WindDown {
			t.WindDown = windDown
			if w != nil {
				tb.Push(w, kill(attempt{t.Piece(), t.Try}, windDown))
			}
		}
	}
}

// Push sends an order to a worker at once. One command is under way at a time,
// so that orders keep their order; what gets lost is repeated by the answer to
// the worker's next report.
func (tb *Table) Push(w *Worker, o api.Order) {
	if w.State == Gone || w.Addr == "" || w.Tenure == 0 || w.dull {
		return
	}
	w.queue = append(w.queue, o)
	if !w.busy {
		w.busy = true
		// After the present event, so that orders of one moment go together.
		tb.port.After(0, func() { tb.send(w) })
	}
}

// Probe asks a worker for its state, unless a command is under way.
func (tb *Table) Probe(w *Worker) bool {
	if w.busy || w.Addr == "" || w.State == Gone {
		return false
	}
	w.busy = true
	w.probing = true
	tb.send(w)
	return true
}

func (tb *Table) send(w *Worker) {
	if tb.dead || w.State == Gone || len(w.queue) == 0 && !w.probing {
		w.busy = false
		return
	}
	w.probing = false
	w.flying, w.queue = w.queue, nil
	epoch, tenure := tb.epoch(w), max(w.Tenure, 1)
	orders := w.flying
	if orders == nil {
		orders = []api.Order{}
	}
	tb.port.Worker(Command{Addr: w.Addr, Body: api.Commands{Epoch: epoch, Tenure: tenure, Orders: orders}}, func(a Answer) {
		if tb.dead {
			return
		}
		w.flying, w.busy = nil, false
		if a.Unsent {
			// What it named is repeated by the answer to the worker's next report, if
			// this node still leads then.
			w.queue = nil
			return
		}
		if tb.cfg.Asked(w, a.Status != 0); tb.dead {
			return
		}
		if w.State == Gone {
			// Returned meanwhile, with everything: what its answer lists is there no more.
			// (It was noted as on a machine all the same, and never started again.)
			return
		}
		if a.Status != 200 && a.Status != 409 || a.Report == nil || a.Report.Host != w.Host {
			// It may be carried out at any later time, until the worker has seen
			// a higher token.
			w.fence++
			w.misses++
			tb.Fences++
			w.queue = nil
			w.dull = true
			return
		}
		w.misses = 0
		if tb.take(w, a.Report) && !tb.dead {
			tb.stopUnwanted(w, a.Report)
		}
		if len(w.queue) > 0 {
			w.busy = true
			tb.send(w)
		}
	})
}

// stopUnwanted stops what the answer to a command shows and nobody wants. (A new leader
// asked a machine, heard of a cancelled task, and told it only at its next report; by
// then the state service was down and it had no orders to give any more.)
func (tb *Table) stopUnwanted(w *Worker, r *api.Report) {
	for _, o := range unwanted(w, r) {
		if !slices.ContainsFunc(w.queue, func(q api.Order) bool { return q.Verb == o.Verb && q.Piece == o.Piece && q.Try == o.Try }) {
			tb.Push(w, o)
		}
	}
}

// Absolve takes back what a job's failures have said of machines: it fails on all of
// them. (Jobs submitted with a mistake had machines returned as faulty, and others not
// counted as room, for which more were rented.)
func (tb *Table) Absolve(j *jobs.Job) {
	for _, w := range tb.sorted {
		if w.lastErr == j.Spec.ID && w.Errors > 0 {
			w.Errors--
			w.lastErr = ""
		}
	}
}

// Away makes a machine one that is being returned.
func (tb *Table) Away(w *Worker, why string) { tb.to(w, Returning, why) }

// Drop notes that a machine is gone, and all that was on it.
func (tb *Table) Drop(w *Worker, why string) {
	tb.to(w, Gone, why)
	for _, t := range tb.TasksOf(w) {
		tb.lose(w, t, why)
	}
	tb.clearOrphans(w)
	w.queue, w.Plan = nil, nil
	tb.cfg.Commit(w)
	tb.cfg.Changed()
}

// Forget removes a machine that is gone from the table.
func (tb *Table) Forget(w *Worker) {
	delete(tb.Workers, w.Host)
	i := tb.place(w.Host)
	tb.sorted = slices.Delete(slices.Clone(tb.sorted), i, i+1)
}

// Silence returns for how long a worker has not been heard of; a new leader
// gives everybody a little time to come.
func (tb *Table) Silence(w *Worker) time.Duration { return tb.port.Now().Sub(w.heard) }

// Uncordoned notes that a machine takes work again.
func (tb *Table) Uncordoned() { tb.cfg.Changed() }

// Quiet marks a silent machine.
func (tb *Table) Quiet(w *Worker) { tb.to(w, Silent, "no reports") }

// leaseDrift covers clocks that run up to 0.05% apart, twice over.
const leaseDrift = 1.002

// Expired says whether the worker's lease is surely over, and with it its
// tasks: no report sent after the last answer can have been answered, by us or,
// in its grace, by the leader before us, or by a sibling that vouched for either.
func (tb *Table) Expired(w *Worker) bool {
	from := max(tb.began.Add(tb.cfg.Grace), tb.cfg.Renewed())
	if w.everAns {
		from = max(from, w.answered)
	}
	return tb.port.Now() > from.Add(time.Duration(float64(tb.cfg.LeaseS)*leaseDrift)+time.Second)
}

// Expire drops the tasks of a worker whose lease is surely over.
func (tb *Table) Expire(w *Worker) {
	for _, t := range tb.TasksOf(w) {
		tb.lose(w, t, "lease over")
	}
	tb.clearOrphans(w)
}

// Pulls says whether a task on the machine waits for an image.
func (w *Worker) Pulls(bundle string) bool {
	for _, t := range w.Tasks {
		if t.Job.Spec.Bundle == bundle {
			return true
		}
	}
	return false
}
