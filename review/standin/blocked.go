package main

import (
	"time"
)

// delta is a small deployment with the settings of delta-press.
func delta() options {
	sites := []string{"memphis-dc"}
	return options{sites: sites,
		teams:  []team{{"newsroom-ops", 240, 600, 0, 0}, {"ad-production", 304, 544, 0, 0}, {"circulation", 600, 1800, 0, 0}},
		report: 3, lease: 26, cancel: 56, gangWait: 30, gangPeer: 6, stateRPS: 150, writeRPS: 50, valueKB: 16, txnOps: 16,
		cloudRPS: 6, listLag: 10, cores: 0.18, memoryMB: 234, sockets: 2500, boundMS: 1000,
		model: model{SKU: "magnolia-32", VCPUs: 32, MemoryGB: 128, LocalGB: 60, PullGBPerS: 0.6, Hourly: 1.57, MarketPrice: 0.36, StartupS: 35, Sites: sites},
		objectives: "[[cluster.objectives]]\nkind = \"finished\"\nclass = \"page-render\"\nwithin_s = 120.0\nshare = 0.9\n\n" +
			"[[cluster.objectives]]\nkind = \"finished\"\nclass = \"page-render\"\nwithin_s = 180.0\nshare = 0.94\n\n" +
			"[[cluster.objectives]]\nkind = \"wait\"\nclass = \"wire-ingest\"\nwithin_s = 1.0\nshare = 0.94\n\n" +
			"[[cluster.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.975\n\n",
		capacity: map[pool]int{{"memphis-dc", false}: 30, {"memphis-dc", true}: 18},
		boot:     func() time.Duration { return 1500 * time.Millisecond },
	}
}

func ingest(id, desk string) spec {
	return spec{ID: id, Lane: "wire-ingest", Desk: desk, Shape: "service", Rank: "critical", Pieces: 1, VCPUs: 2, MemoryGB: 4.3,
		Bundle: "img-ingest", ImageGB: 0.6}
}

// blocked: a gang that can never be placed waits, and a replica of another team is submitted.
func blocked(recordPath string, trouble bool) int {
	w := newWorld(recordPath, delta(), 3)
	defer w.close()
	for i := range w.nodes {
		w.startNode(i)
	}
	if w.waitLeader(15*time.Second) < 0 {
		w.giveUp("no leader")
	}
	time.Sleep(1500 * time.Millisecond)
	base := w.add(ingest("j-000001", "ad-production"), 0)
	w.submit(0, base)
	w.until(15*time.Second, "start of "+base.spec.ID, w.running(base))
	if trouble {
		gang := w.add(spec{ID: "j-000002", Lane: "election-tally", Desk: "newsroom-ops", Shape: "gang", Rank: "high", Pieces: 4, VCPUs: 2,
			MemoryGB: 6.4, Bundle: "img-tally", ImageGB: 1, Apart: true, RuntimeS: 30, SnapshotEveryS: 20, SnapshotS: 2}, 30*time.Second)
		for i := 0; ; i++ {
			r := w.submit(1, gang)
			if r.status == 201 || r.status == 200 {
				break
			}
			if r.status == 422 {
				w.rec.logf("the gang is refused, as it can never run")
				break
			}
			if i > 10 {
				w.giveUp("gang: %d", r.status)
			}
			time.Sleep(time.Second)
		}
	}
	time.Sleep(16500 * time.Millisecond)
	late := w.add(ingest("j-000003", "circulation"), 0)
	for w.submit(2, late).status/100 != 2 {
		time.Sleep(time.Second)
	}
	// From here on nothing disturbs the deployment.
	since := time.Now()
	for i := 0; time.Since(since) < 91*time.Second; i++ {
		if i%20 == 0 {
			w.get(i/20%3, late)
		}
		time.Sleep(500 * time.Millisecond)
		w.mu.Lock()
		started := !late.firstStart.IsZero()
		w.mu.Unlock()
		if started {
			w.rec.logf("%s started after %v", late.spec.ID, time.Since(since))
			return w.verdict()
		}
		room := w.roomFor(late.spec)
		if room == "" {
			w.giveUp("no machine has room")
		}
		if waited := time.Since(since); waited > 90*time.Second {
			w.get(0, late)
			w.mu.Lock()
			w.violate("left waiting", "%s has waited %v, %s has had room for it all that time", late.spec.ID, waited, room)
			w.mu.Unlock()
		}
	}
	return w.verdict()
}

// roomFor returns a machine on which a task of the job may run and fits, or "".
func (w *world) roomFor(s spec) string {
	for _, k := range w.cloud.workers() {
		w.mu.Lock()
		cpus, memory := w.cloud.model.VCPUs, w.cloud.model.MemoryGB
		for key, p := range k.pieces {
			if p.status != "ended" {
				cpus -= w.jobs[key.job].spec.VCPUs
				memory -= w.jobs[key.job].spec.MemoryGB
			}
		}
		fits := !k.removed && (s.Standby || !k.pool.standby) && (s.Site == nil || *s.Site == k.pool.site) && cpus >= s.VCPUs && memory >= s.MemoryGB
		w.mu.Unlock()
		if fits {
			return k.id
		}
	}
	return ""
}
