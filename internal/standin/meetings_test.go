package standin

import (
	"cmp"
	"testing"
	"time"

	"opaldale/internal/api"
)

// meeting is two or more troubles at once, in which schedulers have broken rules.
type meeting struct {
	name   string
	guards string // against what
	play   func(w *World)
	took   map[string]int // what must have come of it, so often at the least
	caught []Mutation     // safeguards without which some seed breaks a rule
	seeds  uint64         // 0: three
	crowd  bool
	length time.Duration // 0: 130 s
}

// meetings are those of the operators' page, in its order.
var meetings = []meeting{
	{
		name: "workers reach no controller, commands reach them", guards: "machines that answer commands being thought to keep their leases by that, and work started elsewhere before they are over",
		play: func(w *World) {
			w.load(6)
			w.when(60, func() {
				for i, k := range w.sortedWorkers() {
					if i%3 > 0 {
						w.silence(k, time.Duration(10+w.rng.IntN(22))*time.Second)
					}
				}
			})
			w.when(64, func() { w.cancelNow(3, 0) })
			w.when(70, func() { w.depose(4 * time.Second) })
		},
		took:   map[string]int{"command to a mute machine": 2, "cancelled while it ran": 1, "another leads": 1},
		caught: []Mutation{ForgetPlacements},
	},
	{
		name: "teams at their limit, cancelled machines away, leader changes", guards: "cancelled tasks that may still run not being counted by the next leader",
		play: func(w *World) {
			w.full()
			w.when(60, func() {
				for i, j := range w.running() {
					if i%2 == 1 {
						continue
					}
					for _, k := range w.hosts(j) {
						if w.cfg.Seed%2 == 0 {
							w.sever(string(k.host), "*", false, 14*time.Second)
						} else {
							k.hang(14 * time.Second)
						}
					}
					w.took("cancelled while it ran")
					w.callOff(j, nil)
				}
			})
			w.when(61, func() { w.depose(3 * time.Second) })
		},
		took:   map[string]int{"team at its limit": 2, "cancelled while it ran": 2, "another leads": 1},
		caught: []Mutation{ForgetPlacements},
	},
	{
		name: "hand-overs and back within a second", guards: "a term's unfinished acts, or a node's former key, being taken for the present one's",
		play: func(w *World) {
			w.load(6)
			for s := 50.0; s < 80; s += 6 {
				w.burst(s-0.4, s)
				w.when(s, func() { w.depose(200 * time.Millisecond) })
				w.when(s+0.9, func() { w.depose(100 * time.Millisecond) })
			}
			w.when(84, func() {
				for i, n := range w.nodes {
					if n.alive {
						n.kill(time.Duration(100+8000*i) * time.Millisecond)
					}
				}
				w.took("all end")
			})
		},
		took:   map[string]int{"new term": 6, "all end": 1},
		caught: []Mutation{LaunchFirst},
	},
	{
		name: "machines up at once while writes lag, and the leader ends", guards: "work on a machine that no successor knows of",
		play: func(w *World) {
			w.when(1, func() { w.quickBoots = spell{1, second(100)} })
			w.load(3)
			w.when(40, func() { w.lateWrites = spell{0.4, second(70)} })
			for s := 41.0; s < 60; s += 2 {
				w.when(s, func() { w.job(nil, 30*time.Second) })
			}
			w.when(45, func() { w.depose(2 * time.Second) })
			w.burst(44.5, 45)
			w.burst(56.5, 57)
			w.when(57, func() { w.depose(200 * time.Millisecond) })
			w.when(61, func() {
				for _, m := range w.cloud.machines {
					if k := w.workers[m.host]; k != nil && m.born > second(40) && m.up.Sub(m.born) < 2*time.Second && len(k.pieces) > 0 {
						w.took("new machine has work")
					}
				}
			})
		},
		took:   map[string]int{"new machine has work": 1, "new term": 2, "late write after newer ones": 1},
		caught: []Mutation{LaunchFirst},
	},
	{
		name: "old reports after newer ones", guards: "a copy of an earlier session or attempt proving that a task is gone",
		play: func(w *World) {
			w.load(5)
			w.when(30, func() { w.lateReports = spell{0.6, second(100)} })
			for s := 40.0; s < 100; s += 12 {
				w.when(s, func() {
					if k := w.anyWorker(); k != nil {
						k.restart()
					}
				})
				w.when(s+3, func() { w.job(nil, 20*time.Second) })
			}
			w.when(70, func() { w.depose(time.Second) })
		},
		took:   map[string]int{"copy after newer reports": 20, "copy of an earlier session": 3},
		caught: []Mutation{TrustCopies},
	},
	{
		name: "one-task jobs four a second, a quarter cancelled", guards: "the backlog of ends and cancellations, and elections with hundreds of ended jobs",
		play: func(w *World) {
			w.when(1, func() { w.closeLooks = spell{1, second(90)} })
			for s := 5.0; s < 105; s += 0.25 {
				w.when(s, func() {
					j := w.job(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 0.5 }, time.Duration(2+w.rng.IntN(6))*time.Second)
					if w.rng.IntN(4) == 0 {
						w.at(time.Duration(w.rng.IntN(9000))*time.Millisecond, func() {
							if j.accepted && !finalStatus(j.told) {
								w.took("one of many cancelled")
								w.callOff(j, nil)
							}
						})
					}
				})
			}
			w.when(60, func() { w.depose(4 * time.Second) })
		},
		took:   map[string]int{"one of many cancelled": 40, "another leads": 1, "close look": 1000},
		caught: []Mutation{CacheAnswers},
	},
	{
		name: "cancelled as the leader alone is refused, then an outage", guards: "a lease renewed by whoever doesn't know of a cancellation, for longer than that may take",
		play: gap, seeds: 12,
		took:   map[string]int{"another leads": 1, "confirmed by another": 1, "outage after a confirmation": 1},
		caught: []Mutation{RenewOn},
	},
	{
		name: "commands and answers held up, and the machine goes on", guards: "a command of before, carried out late, meeting what has replaced it; tokens are switched off in TestMutationsAreCaught, where more seeds show it",
		play: func(w *World) {
			w.load(6)
			w.when(30, func() { w.heldOrders = spell{0.7, second(100)} })
			for s := 39.5; s < 100; s += 7 {
				w.burst(s-0.5, s)
				w.when(s, func() {
					if k := w.anyWorker(); k != nil {
						k.hang(time.Duration(2+w.rng.IntN(6)) * time.Second)
					}
					w.cancelNow(1, 0)
					w.job(nil, 20*time.Second)
				})
			}
			for s := 46.5; s < 100; s += 14 {
				w.when(s, func() { w.depose(4 * time.Second) })
			}
		},
		took:   map[string]int{"held order": 50, "cancelled while it ran": 3, "another leads": 1},
		caught: []Mutation{ForgetPlacements},
	},
	{
		name: "leaders change ten times in two minutes, in an outage too", guards: "tasks and answers lost between terms",
		play: func(w *World) {
			w.load(2)
			for s := 20.0; s < 130; s += 9 {
				back := 150 * time.Millisecond
				if w.rng.IntN(2) == 0 {
					back = 3200 * time.Millisecond
				}
				w.when(s-0.2, func() {
					for i, k := range w.sortedWorkers() {
						if i%2 == 0 && len(k.pieces) > 0 {
							w.sever(string(k.host), "*", false, 6*time.Second)
						}
					}
				})
				w.when(s, func() { w.depose(back) })
				w.burst(s-0.4, s)
			}
			w.when(73, func() { w.store.downUntil = w.now.Add(12 * time.Second) })
			w.when(140, func() {
				if w.terms() >= 10 {
					w.took("ten terms")
				}
			})
		},
		length: 150 * time.Second,
		took:   map[string]int{"ten terms": 1, "new term": 8, "another leads": 1},
		caught: []Mutation{ForgetPlacements},
	},
	{
		name: "only the answers of transactions are lost, others read", guards: "a leader telling what it remembers while another node reads what is",
		play: func(w *World) {
			w.load(4)
			w.when(30, func() {
				w.lostAnswers, w.closeLooks = spell{0.6, second(100)}, spell{1, second(110)}
				if l := w.leader(); l != nil { // the others read for themselves
					w.others(l, func(n *node) { w.sever(l.name, n.name, false, 60*time.Second) })
				}
			})
			for s := 31.0; s < 90; s += 1.5 {
				w.when(s, func() {
					j := w.job(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, time.Duration(1+w.rng.IntN(8))*time.Second)
					if w.rng.IntN(2) == 0 {
						w.at(time.Duration(500+w.rng.IntN(6000))*time.Millisecond, func() {
							if j.accepted {
								w.callOff(j, nil)
							}
						})
					}
				})
			}
			for s := 31.0; s < 95; s += 0.1 { // in between as well: who reads first tells first
				w.when(s, func() {
					for _, id := range w.order[max(0, len(w.order)-6):] {
						if j := w.jobs[id]; j.accepted {
							w.pollAt(j, w.nodes[w.rng.IntN(3)])
						}
					}
				})
			}
		},
		took:   map[string]int{"lost answer": 10, "close look": 100},
		caught: []Mutation{CacheAnswers},
	},
	{
		name: "more work than room, urgent and not, over slow links", guards: "large jobs and teams without a guarantee never having their turn",
		crowd: true, length: 400 * time.Second, seeds: 1,
		play: func(w *World) {
			w.when(20, func() { w.slowLinks = spell{0.7, second(400)} })
			for s := 30.0; s < 400; s += 10 {
				w.when(s, func() {
					j := w.job(func(s *api.Spec) {
						s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs, s.Tasks, s.Team = api.Service, api.Critical, false, 0, 1, 1, "blue"
					}, 0)
					w.at(30*time.Second, func() { w.callOff(j, nil) })
				})
			}
		},
		took:   map[string]int{"slow link": 100},
		caught: []Mutation{NoMaxWait},
	},
	{
		name: "users ask at all nodes right after what they are told", guards: "a node being behind another",
		play: func(w *World) {
			w.when(5, func() { w.closeLooks = spell{1, second(125)} })
			w.load(3)
			for s := 20.0; s < 110; s += 1.2 {
				w.when(s, func() {
					j := w.job(func(s *api.Spec) { s.Tasks, s.VCPUs = 1+w.rng.IntN(2), 1 }, time.Duration(1+w.rng.IntN(5))*time.Second)
					switch w.rng.IntN(4) {
					case 0:
						w.at(time.Duration(w.rng.IntN(60))*time.Millisecond, func() { w.callOff(j, nil) })
					case 1:
						w.at(time.Duration(1000+w.rng.IntN(5000))*time.Millisecond, func() { w.callOff(j, nil) })
					}
				})
			}
			w.when(60, func() { w.depose(3 * time.Second) })
			w.when(80, func() { w.odd(second(110)) })
		},
		took:   map[string]int{"close look": 500, "another leads": 1, "odd request": 20, "other body": 1, "done job cancelled": 1},
		caught: []Mutation{CacheAnswers},
	},
	{
		name: "a leader keeps only workers and users, jobs cancelled through the next", guards: "the old leader keeping the leases of what the new one has cancelled",
		play: func(w *World) {
			w.load(8)
			w.when(60, func() {
				old := w.leader()
				if old == nil {
					return
				}
				hold := w.cfg.Seed%2 == 0
				for _, j := range w.running() {
					w.flock(j, old)
				}
				w.isolate(old, hold, 58*time.Second)
				w.next(old, func(n *node) {
					for _, j := range w.running() { // the new one's commands are lost
						for _, k := range w.hosts(j) {
							w.sever(n.name, string(k.host), false, 56*time.Second)
						}
					}
					w.serving(n, func() { w.confirm(n, 4) })
				})
			})
			w.when(70, func() {
				for _, k := range w.sortedWorkers() {
					if len(k.pieces) > 0 && w.now.Sub(k.leaseAt) < 4*time.Second {
						w.took("lease kept by the old leader")
					}
				}
			})
		},
		took:   map[string]int{"another leads": 1, "confirmed by another": 1, "lease kept by the old leader": 1},
		caught: []Mutation{RenewOn},
	},
	{
		name: "the leader ends while machines can't be reached or don't hear", guards: "a successor starting elsewhere what goes on there",
		play: func(w *World) {
			w.load(7)
			w.when(60, func() {
				for i, k := range w.sortedWorkers() {
					if len(k.pieces) == 0 {
						continue
					}
					switch i % 3 {
					case 0:
						w.took("machine away")
						w.sever(string(k.host), "*", w.cfg.Seed%2 == 0, time.Duration(8+w.rng.IntN(20))*time.Second)
					case 1:
						w.took("machine deaf")
						w.deaf[string(k.host)] = w.now.Add(time.Duration(8+w.rng.IntN(20)) * time.Second)
					}
				}
			})
			w.when(61, func() { w.depose(5 * time.Second) })
		},
		took:   map[string]int{"machine away": 1, "machine deaf": 1, "another leads": 1},
		caught: []Mutation{ForgetPlacements},
	},
	{
		name: "transactions are carried out late, after newer ones", guards: "something old being written over something new",
		play: func(w *World) {
			w.load(4)
			w.when(20, func() { w.lateWrites = spell{0.4, second(100)} })
			for s := 21.0; s < 100; s += 3 {
				w.when(s, func() {
					j := w.job(nil, time.Duration(5+w.rng.IntN(15))*time.Second)
					if w.rng.IntN(3) == 0 {
						w.at(time.Duration(1000+w.rng.IntN(9000))*time.Millisecond, func() { w.callOff(j, nil) })
					}
				})
			}
			w.when(70, func() { w.depose(4 * time.Second) })
		},
		took:   map[string]int{"late write after newer ones": 10, "another leads": 1},
		caught: []Mutation{IgnoreStamps},
	},
	{
		name: "a zone with workers and a controller is cut off for longer than a lease", guards: "leases kept inside for jobs cancelled outside",
		play: func(w *World) {
			w.load(8)
			w.when(60, func() {
				zone := w.nodes[1].zone
				w.cutZone(zone, w.cfg.Seed%2 == 0, 60*time.Second)
				w.took("zone cut off")
				w.at(4*time.Second, func() {
					for _, j := range w.running() {
						for _, k := range w.hosts(j) {
							if k.m.site == zone {
								w.took("cancelled inside")
								w.callOff(j, nil)
								break
							}
						}
					}
				})
			})
		},
		took:   map[string]int{"zone cut off": 1, "cancelled inside": 1},
		caught: []Mutation{KeepLeasesOn}, seeds: 4,
	},
	{
		name: "a job's tasks end far apart, across a change of leader", guards: "an end of the term before being forgotten, or a task that goes on started again",
		play: func(w *World) {
			w.when(5, func() {
				for range 6 {
					j := w.job(func(s *api.Spec) { s.Tasks, s.VCPUs = 2+w.rng.IntN(2), 2 }, 25*time.Second)
					j.step = 25 * time.Second
				}
			})
			w.when(51, func() {
				for i, k := range w.sortedWorkers() {
					if i%2 == 0 {
						w.sever(string(k.host), "*", false, 8*time.Second)
					}
				}
			})
			w.when(52, func() { w.depose(4 * time.Second) })
			w.when(56, func() {
				for _, j := range w.running() {
					for i, d := range j.done {
						if d && i < j.spec.Tasks {
							w.took("ended before, others go on")
							break
						}
					}
				}
			})
		},
		took:   map[string]int{"ended before, others go on": 1, "another leads": 1},
		caught: []Mutation{ForgetPlacements},
	},
	{
		name: "old reports reach every node as a new leader begins", guards: "the first report of a term being taken for the newest",
		play: func(w *World) {
			w.load(6)
			w.when(30, func() { w.keepReports(0.5, 60*time.Second) })
			for s := 45.0; s < 90; s += 15 {
				w.when(s, func() { w.depose(4 * time.Second) })
				w.when(s-5, func() { w.job(nil, 20*time.Second) })
			}
		},
		took:   map[string]int{"copy for the next leader": 20, "another leads": 2},
		caught: []Mutation{TrustCopies},
	},
	{
		name: "called off, asked and submitted again as the last task ends", guards: "a job being cancelled for one node and done for another",
		play: func(w *World) {
			w.when(5, func() { w.lastMoment, w.closeLooks = spell{0.7, second(120)}, spell{1, second(125)} })
			w.load(2)
			for s := 10.0; s < 110; s += 1 {
				w.when(s, func() {
					w.job(func(s *api.Spec) { s.Tasks, s.VCPUs = 1+w.rng.IntN(2), 1 }, time.Duration(1+w.rng.IntN(4))*time.Second)
				})
			}
		},
		took:   map[string]int{"called off at the end": 30, "close look": 300},
		caught: []Mutation{CacheAnswers},
	},
	{
		name: "the state service is slow, refuses the leader, then everybody", guards: "cancellations confirmed and questions answered on the way into an outage",
		play: func(w *World) {
			w.when(30, func() { w.slowState = spell{0.8, second(60)} })
			for s := 31.0; s < 60; s += 4 {
				w.when(s, func() { w.cancelNow(1, 0) })
			}
			gap(w)
			w.when(50, func() { w.job(nil, 60*time.Second); w.job(nil, 60*time.Second) })
		},
		took:   map[string]int{"slow state": 20, "another leads": 1, "confirmed by another": 1, "outage after a confirmation": 1},
		caught: []Mutation{RenewOn}, seeds: 6,
	},
	{
		name: "jobs bound to one zone lose machines", guards: "a lost task's place being chosen without the others",
		play: func(w *World) {
			w.when(3, func() {
				for range 4 {
					w.job(func(s *api.Spec) { s.OneZone, s.VCPUs, s.Tasks = true, 3, 4 }, 60*time.Second)
					w.job(func(s *api.Spec) { s.Zone, s.VCPUs = &w.set.Zones[1], 3 }, 60*time.Second)
				}
			})
			for s := 40.0; s < 70; s += 5 {
				w.when(s, func() {
					for _, j := range w.running() {
						if list := w.hosts(j); (j.spec.OneZone || j.spec.Zone != nil) && len(list) > 0 {
							w.took("machine lost")
							w.cloud.take(list[w.rng.IntN(len(list))].m)
							return
						}
					}
				})
			}
			w.when(52, func() { w.depose(4 * time.Second) })
		},
		took:   map[string]int{"machine lost": 3, "another leads": 1},
		caught: []Mutation{LoseZone},
	},
	{
		name: "cancelled while one controller's work changes hands", guards: "a cancellation that neither leader carries out",
		play: func(w *World) {
			w.load(8)
			w.when(60, func() { w.depose(4 * time.Second) })
			for s := 58.5; s < 64; s += 0.7 {
				w.when(s, func() { w.cancelNow(1, 0) })
			}
		},
		took:   map[string]int{"cancelled while it ran": 4, "another leads": 1},
		caught: []Mutation{NoKills},
	},
	{
		name: "reports held back until a new leader has acted", guards: "what a new leader has done being undone by an older report",
		play: func(w *World) {
			w.load(6)
			w.when(56, func() {
				for i, k := range w.sortedWorkers() {
					if i%2 == 0 {
						w.sever(string(k.host), "*", true, 9*time.Second)
						w.took("reports held back")
					}
				}
				w.keepReports(0.8, 10*time.Second)
			})
			w.when(59, func() { w.depose(5 * time.Second) })
			w.when(62, func() { w.cancelNow(2, 0); w.job(nil, 20*time.Second) })
		},
		took:   map[string]int{"reports held back": 2, "copy for the next leader": 1, "another leads": 1},
		caught: []Mutation{TrustCopies},
	},
	{
		name: "all controllers are away for longer than a lease", guards: "what may still be on machines being started elsewhere",
		play: func(w *World) {
			w.load(7)
			w.when(60, func() {
				back := time.Duration(14+4*w.cfg.Seed%24) * time.Second
				for i, k := range w.sortedWorkers() {
					if i%2 == 0 { // within its lease it goes on
						k.hang(back + time.Duration(w.rng.IntN(4))*time.Second)
					}
				}
				for _, n := range w.nodes {
					n.kill(back)
				}
				w.took("all away")
			})
		},
		took:   map[string]int{"all away": 1},
		caught: []Mutation{ForgetPlacements},
	},
	{
		name: "a team at its limit, machines not asked, leader changes, a cancellation", guards: "room of the limit given away before its machine is heard",
		play: func(w *World) {
			w.full()
			w.when(59, func() {
				for i, k := range w.sortedWorkers() {
					if i%2 == 0 && len(k.pieces) > 0 {
						w.took("machine deaf")
						w.deaf[string(k.host)] = w.now.Add(time.Duration(6+w.rng.IntN(12)) * time.Second)
					}
				}
			})
			w.when(60, func() { w.depose(3 * time.Second) })
			w.when(60.5, func() { w.cancelNow(2, 0) })
			w.when(63, func() { w.cancelNow(2, 5*time.Second) })
		},
		took:   map[string]int{"team at its limit": 2, "machine deaf": 2, "cancelled while it ran": 2, "another leads": 1},
		caught: []Mutation{ForgetPlacements},
	},
}

func (m *meeting) run(seed uint64, without Mutation) *World {
	length := cmp.Or(m.length, 130*time.Second)
	w := New(Config{Seed: seed, Mutation: without, Length: length, Quiet: !m.crowd, Crowd: m.crowd})
	m.play(w)
	w.Run()
	return w
}

// undone says whether anything was left undone. Where more is asked for than there is
// room, that is only whether the largest jobs began in time.
func (m *meeting) undone(w *World) bool {
	if !m.crowd {
		return len(w.Undone) > 0
	}
	ids, n := late(w)
	return len(ids) > 0 || n < 10
}

// TestMeetings plays the meetings of troubles, each from a few seeds: no rule breaks and
// every job comes to its end. A run in which the meeting did not take place fails. Each
// is played without the safeguards that it rests on as well, which some seed must notice.
func TestMeetings(t *testing.T) {
	for _, m := range meetings {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			seeds := cmp.Or(m.seeds, 3)
			for seed := range seeds {
				w := m.run(seed, None)
				if len(w.Broken) > 0 || m.undone(w) {
					t.Errorf("guards against %s; seed %d: %v %v\n%s", m.guards, seed, w.Broken, w.Undone, w.Tail(40))
				}
				for what, n := range m.took {
					if w.seen[what] < n {
						t.Errorf("seed %d: %q took place %d times, not %d: %v", seed, what, w.seen[what], n, w.seen)
					}
				}
			}
			for _, x := range m.caught {
				caught := false
				for seed := uint64(0); seed < 20 && !caught; seed++ {
					w := m.run(seed, x)
					caught = len(w.Broken) > 0 || x == NoMaxWait && m.undone(w)
				}
				if !caught {
					t.Errorf("no seed notices that safeguard %d is off", x)
				}
			}
		})
	}
}
