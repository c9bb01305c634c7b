package main

import (
	"sync"
	"time"
)

// nyati is a small deployment with the settings of nyati-quotes.
func nyati() options {
	sites := []string{"westlands", "mombasa-road"}
	return options{sites: []string{"westlands", "mombasa-road", "westlands"},
		teams:  []team{{"pricing-desk-00", 24, 88, 0, 0}, {"pricing-desk-01", 24, 88, 0, 0}},
		report: 3, lease: 36, cancel: 61, gangWait: 50, gangPeer: 5, stateRPS: 200, writeRPS: 80, valueKB: 16, txnOps: 24,
		cloudRPS: 5, listLag: 5, cores: 0.144, memoryMB: 342, sockets: 3500, boundMS: 250,
		model: model{SKU: "kifaru-16", VCPUs: 16, MemoryGB: 32, LocalGB: 25, PullGBPerS: 0.3, Hourly: 1, MarketPrice: 0.45, StartupS: 25, Sites: sites},
		objectives: "[[cluster.objectives]]\nkind = \"finished\"\nclass = \"rate-sweep\"\nwithin_s = 90.0\nshare = 0.82\n\n" +
			"[[cluster.objectives]]\nkind = \"finished\"\nclass = \"rate-sweep\"\nwithin_s = 350.0\nshare = 0.97\n\n" +
			"[[cluster.objectives]]\nkind = \"wait\"\nclass = \"quote-api\"\nwithin_s = 1.0\nshare = 0.96\n\n" +
			"[[cluster.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.97\n\n",
		boot: func() time.Duration { return 1500 * time.Millisecond },
	}
}

func sweep(id string, cpus float64, site string, pieces int) spec {
	s := spec{ID: id, Lane: "rate-sweep", Desk: "pricing-desk-00", Shape: "batch", Rank: "standard", Pieces: pieces, VCPUs: cpus,
		MemoryGB: 1, Bundle: "img-sweep", ImageGB: 0.1, Standby: true, RuntimeS: 120}
	if site != "" {
		s.Site = &site
	}
	return s
}

func quote(id string, cpus float64, site string) spec {
	s := sweep(id, cpus, site, 1)
	s.Lane, s.Shape, s.Rank, s.Bundle, s.RuntimeS = "quote-api", "service", "critical", "img-quote", 0
	return s
}

// until waits for a condition, with the world's mutex held while it is checked.
func (w *world) until(limit time.Duration, what string, ok func() bool) {
	for end := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		done := ok()
		w.mu.Unlock()
		if done {
			return
		}
		if time.Now().After(end) {
			w.giveUp("no %s within %v", what, limit)
		}
	}
}

func (w *world) running(j *job) func() bool {
	return func() bool { return len(j.on) == j.spec.Pieces }
}

// twice: commands to one machine are held up while a job there is cancelled and an urgent one arrives.
func twice(recordPath string, trouble bool) int {
	opt := nyati()
	opt.capacity = map[pool]int{{"mombasa-road", true}: 1}
	w := newWorld(recordPath, opt, 3)
	defer w.close()
	for i := range w.nodes {
		w.startNode(i)
	}
	leader := w.waitLeader(15 * time.Second)
	if leader < 0 {
		w.giveUp("no leader")
	}
	time.Sleep(2 * time.Second)
	// The first machine, in mombasa-road, keeps 2 CPUs free until a sweep there ends.
	ending := w.add(sweep("j-000001", 14, "mombasa-road", 1), 300*time.Second)
	w.submit(leader, ending)
	w.until(25*time.Second, "start of "+ending.spec.ID, w.running(ending))
	// The second one, in westlands, has a replica and two sweeps, and keeps 4 CPUs free.
	w.cloud.mu.Lock()
	w.cloud.capacity[pool{"westlands", true}] = 1
	w.cloud.mu.Unlock()
	first := w.add(quote("j-000002", 2, "westlands"), 0)
	a := w.add(sweep("j-000003", 2, "westlands", 1), 300*time.Second)
	b := w.add(sweep("j-000004", 8, "westlands", 1), 300*time.Second)
	for _, j := range []*job{first, a, b} {
		w.submit(leader, j)
	}
	for _, j := range []*job{first, a, b} {
		w.until(25*time.Second, "start of "+j.spec.ID, w.running(j))
	}
	k := w.cloud.workers()[1]
	sweepJob := w.add(sweep("j-000005", 4, "", 1), 60*time.Second)
	urgent := w.add(quote("j-000006", 8, "westlands"), 0)
	w.mu.Lock()
	k.period, k.slowIn, k.slowOut, k.slowReport = 3600*time.Millisecond, 100*time.Millisecond, 100*time.Millisecond, 200*time.Millisecond
	reported := make(chan struct{}, 1)
	k.onReport = func() {
		select {
		case reported <- struct{}{}:
		default:
		}
	}
	var once, twice, thrice sync.Once
	k.lateCmd = func(list []order) time.Duration {
		has := func(verb string, j *job) bool {
			for _, o := range list {
				if o.Verb == verb && o.Piece == j.spec.ID+"/0" {
					return true
				}
			}
			return false
		}
		late := time.Duration(0)
		switch {
		case has("kill", a):
			first := false
			once.Do(func() { first = true })
			if first && trouble {
				late = 3 * time.Second
			} else {
				twice.Do(func() { go w.submit(leader, sweepJob) })
			}
		case has("launch", sweepJob):
			thrice.Do(func() {
				go w.submit(leader, urgent)
				w.finish(ending)
				if trouble {
					late = 2050 * time.Millisecond
				}
			})
		}
		return late
	}
	w.mu.Unlock()
	time.Sleep(5 * time.Second)
	select {
	case <-reported:
	default:
	}
	<-reported
	time.Sleep(100 * time.Millisecond)
	go w.cancel(leader, a)
	time.Sleep(12 * time.Second)
	return w.verdict()
}

// verdict returns the exit code: 1 if a rule was broken, 0 if all held.
func (w *world) verdict() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) == 0 {
		w.rec.logf("the rules held")
		return 0
	}
	return 1
}

// finish lets the running tasks of a job complete now.
func (w *world) finish(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, k := range j.on {
		k.pieces[key].finishAt = time.Now()
	}
}
