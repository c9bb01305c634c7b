package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/mesh"
	"opaldale/internal/statesvc"
	"opaldale/internal/workers"
)

// worker is a machine's worker.
type worker struct {
	w       *World
	m       *rented
	host    ident.MachineID
	dead    bool
	hung    ident.MonotonicTime
	tenure  ident.Incarnation
	serial  ident.SequenceNumber
	epoch   ident.FencingToken
	leaseAt ident.MonotonicTime
	doomed  ident.MonotonicTime
	node    int
	pieces  map[ident.TaskID]map[ident.Attempt]*piece
	images  map[string]bool
	flying  bool // a report is under way
	last    ident.MonotonicTime
	faulty  bool
	pace    float64 // how many times as long arrays' tasks take
}

type piece struct {
	id     ident.TaskID
	try    ident.Attempt
	status api.TaskStatus
	cause  api.Cause
	stored bool
	alike  bool // of the mutation OneTry
	gen    int
	began  ident.MonotonicTime // when it started to run
}

// slowPace is that of slow machines.
const slowPace = 4

func newWorker(w *World, m *rented) *worker {
	k := &worker{w: w, m: m, host: m.host, tenure: 1, leaseAt: w.now, node: w.rng.IntN(len(w.nodes)),
		pieces: map[ident.TaskID]map[ident.Attempt]*piece{}, images: map[string]bool{}, faulty: w.cfg.Faults && w.rng.IntN(25) == 0, pace: 1}
	if len(w.workers) < w.cfg.Slow && w.slowUp < w.cfg.Slow {
		w.slowUp++
		k.pace = slowPace
	}
	w.workers[m.host] = k
	w.sorted = nil
	k.tick()
	return k
}

// when runs f once the machine doesn't hang.
func (k *worker) when(f func()) {
	if k.dead {
		return
	}
	if k.w.now < k.hung {
		k.w.at(k.hung.Sub(k.w.now)+time.Millisecond, func() { k.when(f) })
		return
	}
	k.lease()
	f()
}

func (k *worker) hang(d time.Duration) {
	k.w.logf("%s hangs for %v", k.host, d)
	k.hung = max(k.hung, k.w.now.Add(d))
}

func (k *worker) doom(d time.Duration) { k.doomed = k.w.now.Add(d) }

// lease ends the session when its time is over.
func (k *worker) lease() {
	if k.w.now.Sub(k.leaseAt) > time.Duration(k.w.set.Workers.LeaseS*float64(time.Second)) {
		k.w.logf("%s: lease over, with %d tasks", k.host, len(k.pieces))
		k.w.LeasesLost += len(k.pieces)
		k.session()
	}
}

// tick reports now and then.
func (k *worker) tick() {
	if k.dead {
		return
	}
	k.when(func() {
		if !k.flying && k.w.now.Sub(k.last) >= time.Duration(k.w.set.Workers.HeartbeatS*900)*time.Millisecond {
			k.report()
		}
	})
	k.w.at(250*time.Millisecond, k.tick)
}

// changed brings the next report forward.
func (k *worker) changed() { k.last = min(k.last, k.w.now.Add(-2500*time.Millisecond)) }

func (k *worker) message() *api.Heartbeat {
	k.serial++
	r := &api.Heartbeat{MachineID: k.host, Addr: string(k.host), Model: "m8", Zone: k.m.site, Spot: k.m.standby,
		Incarnation: k.tenure, SequenceNumber: k.serial, FencingToken: k.epoch}
	if k.doomed > 0 {
		s := k.doomed.Sub(k.w.now).Seconds()
		r.ReclaimNoticeS = &s
	}
	for _, tries := range k.pieces {
		for _, p := range tries {
			if k.w.cfg.Mutation == HideGathering && p.status == api.Gathering {
				continue
			}
			r.Tasks = append(r.Tasks, api.TaskReport{TaskID: p.id, Attempt: p.try, Status: p.status, Cause: p.cause, CheckpointStored: p.stored})
		}
	}
	slices.SortFunc(r.Tasks, func(a, b api.TaskReport) int {
		return cmp.Or(cmp.Compare(a.TaskID.Job, b.TaskID.Job), cmp.Compare(a.TaskID.Index, b.TaskID.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	return r
}

func (k *worker) report() {
	k.flying = true
	k.last = k.w.now
	sent, tenure := k.w.now, k.tenure
	n := k.w.nodes[k.node]
	m := k.message()
	k.copied(m)
	k.w.copyReport(m)
	k.w.request(string(k.host), n, mesh.WorkerHeartbeat, "", api.JSON(m), 4*time.Second, func(r *controller.Response) {
		if k.dead {
			return
		}
		// A hanging machine comes back to the answer later.
		k.when(func() {
			if r != nil && r.Status == 200 && k.w.now.Sub(sent) <= 4*time.Second {
				k.flying = false
				var o api.HeartbeatResponse
				if json.Unmarshal(r.Body, &o) != nil || tenure != k.tenure || !k.entitled(o.FencingToken) {
					return
				}
				k.leaseAt = sent
				k.obey(o.Commands)
				return
			}
			if r != nil && r.Status == 421 {
				var home struct {
					Home string `json:"home"`
				}
				json.Unmarshal(r.Body, &home)
				for i, o := range k.w.nodes {
					if o.name == home.Home && i != k.node {
						k.node = i
						k.flying = false
						k.last = 0
						return
					}
				}
			}
			k.w.at(time.Second, func() {
				k.node = (k.node + 1) % len(k.w.nodes)
				k.flying = false
				k.last = 0
			})
		})
	})
}

// copied has a copy of a report come late now and then, up to twice the lease,
// whatever has become of the machine. Nobody waits for its answer.
func (k *worker) copied(m *api.Heartbeat) {
	w := k.w
	if !w.cfg.Faults || w.now > ident.MonotonicTime(w.cfg.Length) || w.rng.IntN(30) > 0 {
		return
	}
	late := time.Duration(w.rng.Float64() * 2 * w.set.Workers.LeaseS * float64(time.Second))
	w.at(late, func() { w.resend(m, w.nodes[w.rng.IntN(len(w.nodes))]) })
}

// restart ends the worker with all its tasks; it is back at once, in its next
// session.
func (k *worker) restart() {
	k.w.logf("%s restarts", k.host)
	k.session()
	k.last = 0
}

// session begins the next one, without any task.
func (k *worker) session() {
	k.pieces = map[ident.TaskID]map[ident.Attempt]*piece{}
	k.images = map[string]bool{}
	k.tenure++
	k.serial = 0
	k.leaseAt = k.w.now
}

// entitled checks and notes a token.
func (k *worker) entitled(e ident.FencingToken) bool {
	if e < k.epoch && k.w.cfg.Mutation != IgnoreEpochs {
		return false
	}
	if e > k.epoch {
		k.epoch = e
		k.changed()
	}
	return true
}

func (k *worker) commands(c api.CommandRequest, reply func(any)) {
	if k.w.now < k.w.mute[string(k.host)] {
		k.w.took("command to a mute machine")
	}
	if c.Incarnation != k.tenure || !k.entitled(c.FencingToken) {
		reply(workers.CommandResult{Status: 409, Heartbeat: k.message()})
		return
	}
	k.obey(c.Commands)
	reply(workers.CommandResult{Status: 200, Heartbeat: k.message()})
}

func (k *worker) obey(orders []api.Command) {
	for _, o := range orders {
		p := k.pieces[o.TaskID][o.Attempt]
		switch o.Verb {
		case api.Launch:
			if j := k.w.jobs[o.TaskID.Job]; k.w.cfg.Mutation == OneTry && j != nil && j.spec.Shape == api.Gang {
				k.obeyOneTry(o)
				continue
			}
			if p == nil {
				k.launch(o.TaskID, o.Attempt)
			}
		case api.Kill:
			if p != nil && p.status != api.Ended {
				k.kill(p, o.GracePeriodS)
			}
		case api.Clear:
			if p != nil && p.status == api.Ended {
				delete(k.pieces[o.TaskID], o.Attempt)
				if len(k.pieces[o.TaskID]) == 0 {
					delete(k.pieces, o.TaskID)
				}
			}
		}
		k.changed()
	}
}

// kill stops a task; one that saves is ended by a second kill without time for it.
func (k *worker) kill(p *piece, windDown *float64) {
	j := k.w.jobs[p.id.Job]
	d := 0.0
	if windDown != nil {
		d = *windDown
	}
	if j == nil || j.spec.Shape != api.Gang {
		k.stop(p, j, d)
		return
	}
	if p.status == api.Flushing && d > 0 {
		return // it saves already
	}
	if k.w.cfg.Mutation == StopPart && d > 0 && p.id.Index > 0 {
		return
	}
	k.w.gang(j, p.try).kill(k, p, d)
}

// stop ends a task of an array or a service; one of an array that has the time for it saves
// its progress first.
func (k *worker) stop(p *piece, j *userJob, windDown float64) {
	if j != nil {
		j.noteStop(p)
	}
	if j == nil || j.spec.Shape != api.Batch || !j.spec.CanCheckpoint() || windDown < j.spec.CheckpointS || p.status == api.Pulling {
		if j != nil && p.status == api.Running {
			j.lost += k.w.now.Sub(p.began)
		}
		k.end(p, api.CauseStopped)
		return
	}
	if p.status == api.Flushing {
		return // it saves already
	}
	ran := time.Duration(float64(k.w.now.Sub(p.began)) / k.pace)
	p.status = api.Flushing
	p.gen++
	k.changed()
	k.step(p, seconds(j.spec.CheckpointS), func() {
		j.kept[p.id.Index] += ran
		p.stored = true
		k.end(p, api.CauseStopped)
	})
}

func (k *worker) end(p *piece, c api.Cause) {
	p.status, p.cause = api.Ended, c
	p.gen++
	k.changed()
}

// taken returns the CPUs of the tasks that have not exited.
func (k *worker) taken() float64 {
	cpus := 0.0
	for _, tries := range k.pieces {
		for _, o := range tries {
			if o.status != api.Ended {
				cpus += k.w.jobs[o.id.Job].spec.VCPUs
			}
		}
	}
	return cpus
}

func (k *worker) launch(id ident.TaskID, try ident.Attempt) {
	p := &piece{id: id, try: try, status: api.Pulling}
	busy := false
	for _, o := range k.pieces[id] {
		busy = busy || o.status != api.Ended
	}
	cpus := k.taken()
	if k.pieces[id] == nil {
		k.pieces[id] = map[ident.Attempt]*piece{}
	}
	k.pieces[id][try] = p
	j := k.w.jobs[id.Job]
	switch {
	case j == nil || id.Index >= j.spec.Tasks:
		k.end(p, api.CauseUnknown)
	case busy:
		k.end(p, api.CauseBusy)
	case cpus+j.spec.VCPUs > k.w.cloud.models[0].VCPUs+1e-6:
		k.end(p, api.CauseNoCapacity)
	default:
		d := time.Millisecond
		if !k.images[j.spec.Image] {
			d = time.Duration(500+k.w.rng.IntN(3000)) * time.Millisecond
		}
		k.step(p, d, func() {
			k.images[j.spec.Image] = true
			if j.spec.Shape == api.Gang && !k.faulty {
				try := p.try
				if p.alike {
					try = 1
				}
				k.w.gang(j, try).join(k, p)
				return
			}
			p.status, p.began = api.Running, k.w.now
			k.changed()
			k.w.started(k, p)
			if j.done[id.Index] {
				k.step(p, time.Millisecond, func() { k.end(p, api.CauseDone) })
				return
			}
			if k.faulty || j.mistaken {
				j.tries++
				k.step(p, time.Second, func() { k.end(p, api.CauseError) })
				return
			}
			if j.spec.Shape == api.Batch {
				left := float64(j.runOf(id.Index) - j.kept[id.Index])
				k.step(p, max(time.Millisecond, time.Duration(left*k.pace)), func() {
					j.done[id.Index] = true
					k.end(p, api.CauseDone)
					k.w.ended(j)
				})
			}
		})
	}
}

// obeyOneTry is the mutation that numbers every attempt of a gang alike.
func (k *worker) obeyOneTry(o api.Command) {
	if p := k.pieces[o.TaskID][o.Attempt]; p != nil {
		return
	}
	k.launch(o.TaskID, o.Attempt)
	if p := k.pieces[o.TaskID][o.Attempt]; p != nil && p.status != api.Ended {
		p.alike = true
	}
}

// step does something with a task later, unless it or its session ends before.
func (k *worker) step(p *piece, d time.Duration, f func()) {
	gen, tenure := p.gen, k.tenure
	k.w.at(d, func() {
		k.when(func() {
			if !k.dead && k.tenure == tenure && p.gen == gen && p.status != api.Ended {
				f()
			}
		})
	})
}

// count returns how many tasks of a job are on the machine.
func (k *worker) count(id ident.JobID) int {
	n := 0
	for p, tries := range k.pieces {
		for _, o := range tries {
			if p.Job == id && o.onMachine() {
				n++
			}
		}
	}
	return n
}

// onMachine is the protocol's word: from the image until the exit.
func (p *piece) onMachine() bool {
	return p.status == api.Running || p.status == api.Flushing || p.status == api.Gathering
}

// launchPlaced is the mutation that launches what a transaction is only about to
// make durable.
func (w *World) launchPlaced(from string, r statesvc.Request) {
	for _, c := range r.Mutations {
		var v struct {
			Text string `json:"t"`
		}
		if !strings.HasPrefix(c.Put, commit.LogPrefix) || json.Unmarshal(c.Value, &v) != nil {
			continue
		}
		commit.ParseText(v.Text, func(id, line string) error {
			var i int
			var try ident.Attempt
			var tenure ident.Incarnation
			f := strings.Split(line, ",")
			if len(f) != 4 {
				return nil
			}
			fmt.Sscan(f[0]+" "+f[1]+" "+f[3], &i, &try, &tenure)
			k := w.workers[ident.MachineID(f[2])]
			if k == nil {
				return nil
			}
			w.deliver(from, f[2], func() {
				k.when(func() {
					piece := ident.TaskID{Job: ident.JobID(id), Index: i}
					if k.tenure == tenure && k.pieces[piece][try] == nil {
						k.launch(piece, try)
					}
				})
			})
			return nil
		})
	}
}
