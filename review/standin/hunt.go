package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// hunt plays random troubles. It is no case; it only looks for one.
func hunt(recordPath string, seed uint64, seconds int, gangs bool) int {
	rng := rand.New(rand.NewPCG(seed, 1))
	var rmu sync.Mutex
	rf := func() float64 { rmu.Lock(); defer rmu.Unlock(); return rng.Float64() }
	ri := func(n int) int { rmu.Lock(); defer rmu.Unlock(); return rng.IntN(n) }
	between := func(a, b float64) time.Duration { return secs(a + (b-a)*rf()) }
	opt := options{sites: []string{"east", "west"},
		teams:  []team{{"red", 24, 40, 0, 0}, {"blue", 12, 24, 0, 0}, {"guest", 0, 0, 0, 0}},
		report: 1, lease: 8, cancel: 20, gangWait: 15, gangPeer: 2,
		stateRPS: 300, writeRPS: 100, valueKB: 16, txnOps: 24, cloudRPS: 5, listLag: 2, cores: 0.3, memoryMB: 342, sockets: 3500, boundMS: 250,
		model:    model{SKU: "m8", VCPUs: 8, MemoryGB: 32, LocalGB: 20, PullGBPerS: 1, Hourly: 1, MarketPrice: 0.4, StartupS: 2, Sites: []string{"east", "west"}},
		capacity: map[pool]int{{"east", false}: 4, {"east", true}: 4, {"west", false}: 4, {"west", true}: 4},
		boot:     func() time.Duration { return between(0.2, 3) },
	}
	w := newWorld(recordPath, opt, 3)
	defer w.close()
	for i := range w.nodes {
		w.startNode(i)
	}
	w.waitLeader(10 * time.Second)
	time.Sleep(1500 * time.Millisecond)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	looks := func(j *job) {
		for range 3 {
			for i := range w.nodes {
				go w.get(i, j)
				if rf() < 0.2 {
					go w.submit(i, j)
				}
			}
			time.Sleep(between(0, 0.02))
		}
	}
	user := func(j *job, cancelAfter time.Duration) {
		defer wg.Done()
		begin := time.Now()
		ok := false
		for time.Since(begin) < 60*time.Second {
			r := w.submit(ri(3), j)
			if r.status == 200 || r.status == 201 {
				ok = true
				break
			}
			if r.status == 400 || r.status == 422 {
				w.violate("refused", "%s %d %s", j.spec.ID, r.status, r.Error)
				return
			}
			time.Sleep(time.Second)
		}
		if !ok {
			return
		}
		looks(j)
		cancelAt := time.Now().Add(cancelAfter)
		for {
			if cancelAfter >= 0 && time.Now().After(cancelAt) {
				for {
					r := w.cancel(ri(3), j)
					if r.status == 200 {
						break
					}
					select {
					case <-stop:
						return
					default:
					}
					time.Sleep(between(0.3, 1))
				}
				looks(j)
				return
			}
			r := w.get(ri(3), j)
			if r.status == 200 && (r.Status == "done" || r.Status == "cancelled") {
				looks(j)
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(between(0.2, 1.5)):
			}
			if cancelAfter >= 0 {
				continue
			}
		}
	}
	n := 0
	if os.Getenv("SLOW") != "" { // slow links to the machines all the time, and some late commands
		go func() {
			for {
				time.Sleep(200 * time.Millisecond)
				for _, k := range w.cloud.workers() {
					w.mu.Lock()
					if k.slowIn == 0 {
						k.slowIn, k.slowOut, k.slowReport = between(0, 0.2), between(0, 0.2), between(0, 0.3)
						k.lateCmd = func([]order) time.Duration {
							if rf() < 0.15 {
								return between(2, 6)
							}
							return 0
						}
					}
					w.mu.Unlock()
				}
			}
		}()
	}
	submitting := true
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(between(0.1, 0.9)):
			}
			if !submitting {
				return
			}
			n++
			s := spec{ID: fmt.Sprintf("j-%06d", n), Lane: "batch", Desk: []string{"red", "red", "blue", "guest"}[ri(4)], Shape: "batch", Rank: []string{"high", "standard", "best_effort"}[ri(3)],
				Pieces: 1 + ri(4), VCPUs: float64(1 + ri(4)), MemoryGB: 2, Bundle: fmt.Sprintf("img-%d", ri(4)), ImageGB: between(0.1, 1).Seconds(), Standby: rf() < 0.7, RuntimeS: 3}
			run := between(0.2, 8)
			cancelAfter := time.Duration(-1)
			switch x := rf(); {
			case x < 0.2:
				s.Shape, s.Rank, s.Lane, s.RuntimeS, s.Standby = "service", "critical", "svc", 0, false
				s.Apart = rf() < 0.5
				s.Pieces = 1 + ri(3)
				s.VCPUs = 1
				cancelAfter = between(1, 30)
			case x < 0.45:
				cancelAfter = between(0, 8)
				run = between(3, 20)
			case x < 0.55:
				run = between(10, 30)
			}
			if gangs && s.Shape == "batch" && rf() < 0.6 {
				s.Shape, s.Rank = "gang", []string{"high", "standard"}[ri(2)]
				s.Pieces = 2 + ri(4)
				s.OneZone = rf() < 0.6
				if rf() < 0.5 {
					s.SnapshotEveryS, s.SnapshotS = 2, 1
				}
			}
			if s.Shape == "batch" && rf() < 0.2 {
				s.OneZone = true
			}
			if s.Shape == "batch" && rf() < 0.15 {
				site := opt.model.Sites[ri(2)]
				s.Site = &site
			}
			if s.Shape == "batch" && rf() < 0.2 {
				s.SnapshotEveryS, s.SnapshotS = 2, 1
			}
			j := w.add(s, run)
			wg.Add(1)
			go user(j, cancelAfter)
		}
	}()
	go func() {
		for {
			time.Sleep(100 * time.Millisecond)
			w.checkCancelled()
		}
	}()
	busy := make([]bool, 3)
	var bmu sync.Mutex
	take := func() int { // a node without trouble, mostly the leader
		bmu.Lock()
		defer bmu.Unlock()
		i := ri(3)
		if rf() < 0.7 {
			if l := w.leader(); l >= 0 {
				i = l
			}
		}
		if busy[i] {
			return -1
		}
		busy[i] = true
		return i
	}
	free := func(i int) { bmu.Lock(); busy[i] = false; bmu.Unlock() }
	some := func() []*worker {
		var l []*worker
		share := rf()
		for _, k := range w.cloud.workers() {
			if rf() < share {
				l = append(l, k)
			}
		}
		return l
	}
	trouble := func() {
		switch ri(15) {
		case 0, 1:
			if i := take(); i >= 0 {
				w.killNode(i)
				time.Sleep(between(0.05, 5))
				w.startNode(i)
				free(i)
			}
		case 2:
			var l []int
			for range 3 {
				if i := take(); i >= 0 {
					l = append(l, i)
				}
			}
			for _, i := range l {
				w.killNode(i)
			}
			time.Sleep(between(0.05, 5))
			for _, i := range l {
				w.startNode(i)
				free(i)
			}
		case 3, 4:
			if i := take(); i >= 0 {
				w.signal(i, syscall.SIGSTOP)
				time.Sleep(between(0.5, 12))
				w.signal(i, syscall.SIGCONT)
				free(i)
			}
		case 5, 6:
			if i := take(); i >= 0 {
				m := []linkMode{refuse, hold, lose}[ri(3)]
				peers := rf() < 0.5
				w.rec.logf("trouble: state link of %d %v, peers %v", i, m, peers)
				w.state.links[i].set(m)
				if peers {
					for k := range 3 {
						if k != i {
							w.mesh[[2]int{i, k}].set(hold)
							w.mesh[[2]int{k, i}].set(hold)
						}
					}
				}
				time.Sleep(between(1, 15))
				w.state.links[i].set(up)
				for k := range 3 {
					if k != i {
						w.mesh[[2]int{i, k}].set(up)
						w.mesh[[2]int{k, i}].set(up)
					}
				}
				w.rec.logf("trouble over: state link of %d", i)
				free(i)
			}
		case 7:
			w.rec.logf("trouble: state outage")
			for _, l := range w.state.links {
				l.set(refuse)
			}
			time.Sleep(between(1, 14))
			w.state.restart()
			for _, l := range w.state.links {
				l.set(up)
			}
			w.rec.logf("trouble over: state outage")
		case 8:
			d := between(0.5, 11)
			for _, k := range some() {
				w.rec.logf("trouble: %s hangs %v", k.id, d)
				w.mu.Lock()
				k.hungUntil = time.Now().Add(d)
				w.mu.Unlock()
			}
		case 9, 10:
			l := some()
			kind := ri(3)
			for _, k := range l {
				w.rec.logf("trouble: %s deaf/mute/nocommands %d", k.id, kind)
				w.mu.Lock()
				k.noAnswers, k.noReports, k.noCommands = kind == 0, kind == 1, kind == 2
				w.mu.Unlock()
			}
			time.Sleep(between(1, 14))
			for _, k := range l {
				w.rec.logf("trouble over: %s", k.id)
				w.mu.Lock()
				k.noAnswers, k.noReports, k.noCommands = false, false, false
				w.mu.Unlock()
			}
		case 11:
			l := some()
			w.rec.logf("trouble: late commands and reports at %d machines", len(l))
			for _, k := range l {
				w.mu.Lock()
				k.lateCmd = func([]order) time.Duration {
					if rf() < 0.4 {
						return between(2, 16)
					}
					return 0
				}
				k.lateReport = func() time.Duration {
					if rf() < 0.4 {
						return between(0.3, 12)
					}
					return 0
				}
				w.mu.Unlock()
			}
			time.Sleep(between(3, 12))
			for _, k := range l {
				w.mu.Lock()
				k.lateCmd, k.lateReport = nil, nil
				w.mu.Unlock()
			}
			w.rec.logf("trouble over: late commands")
		case 12, 13:
			kind := ri(3)
			w.rec.logf("trouble: late writes %d", kind)
			w.state.mu.Lock()
			w.state.writes = func(int) writeFault {
				if rf() > 0.3 {
					return writeFault{}
				}
				switch kind {
				case 0:
					return writeFault{lose: true}
				case 1:
					return writeFault{delay: between(2, 12)}
				}
				return writeFault{slow: between(0.1, 1.4)}
			}
			w.state.mu.Unlock()
			time.Sleep(between(3, 12))
			w.state.mu.Lock()
			w.state.writes = nil
			w.state.mu.Unlock()
			w.rec.logf("trouble over: late writes")
		case 14:
			for _, k := range some() {
				if rf() < 0.5 {
					w.cloud.remove(k.id, "lost")
				}
			}
		}
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var tw sync.WaitGroup
	for time.Now().Before(end) && len(w.violations) < 5 {
		tw.Add(1)
		go func() { defer tw.Done(); trouble() }()
		time.Sleep(between(0.5, 6))
	}
	submitting = false
	tw.Wait()
	w.rec.logf("all troubles over")
	time.Sleep(30 * time.Second)
	w.mu.Lock()
	for id, j := range w.jobs {
		if j.accepted.IsZero() || !j.asked.IsZero() || !j.doneTold.IsZero() {
			continue
		}
		w.rec.logf("at the end: %s %s %s not done: %d of %d done, %d on, last start %v ago", id, j.spec.Desk, j.spec.Shape, len(j.doneTasks), j.spec.Pieces, len(j.on), time.Since(j.lastStart))
	}
	w.mu.Unlock()
	close(stop)
	fmt.Printf("seed %d: %d jobs, %d violations\n", seed, n, len(w.violations))
	for _, v := range w.violations {
		fmt.Println("   ", v)
	}
	return min(len(w.violations), 1)
}
