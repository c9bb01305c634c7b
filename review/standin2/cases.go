package main

import (
	"fmt"
	"strings"
	"time"
)

func init() {
	scenarios["late-launch"] = scenario{setUp: delta, nodes: 3, play: playLateLaunch}
	scenarios["older-answer"] = scenario{setUp: delta, nodes: 3, play: playOlderAnswer}
}

// playLateLaunch: a machine hangs for a second while a command is under way to it. Meanwhile a job is placed there and
// cancelled. No task of the job may be started by a command that is sent after the user was told.
func playLateLaunch(w *world) ([]string, error) {
	leader, err := w.awaitLeader(20 * time.Second)
	if err != nil {
		return nil, err
	}
	// A long job keeps the machine, and its image is on it.
	if err := w.accept(leader, batch("j-000001", 1, 2, 4, "img-1", 100*time.Second)); err != nil {
		return nil, err
	}
	if !await(30*time.Second, func() bool { return w.count(w.starts, "j-000001") > 0 }) {
		return nil, fmt.Errorf("the first job did not start")
	}
	time.Sleep(7 * time.Second) // two reports
	for i := range 3 {
		first, second := fmt.Sprintf("j-0001%02d", i), fmt.Sprintf("j-0002%02d", i)
		if w.trouble {
			for _, k := range w.cloud.workers() {
				k.hang(time.Second)
			}
		}
		if r := w.submit(leader, batch(first, 1, 2, 4, "img-1", 100*time.Second)); r.status != 201 {
			return nil, fmt.Errorf("%s was not accepted", first)
		}
		time.Sleep(150 * time.Millisecond) // its command is under way
		if r := w.submit(leader, batch(second, 1, 2, 4, "img-1", 100*time.Second)); r.status != 201 {
			return nil, fmt.Errorf("%s was not accepted", second)
		}
		time.Sleep(200 * time.Millisecond) // it is placed
		if r := w.cancelJob(leader, second); r.status != 200 || r.Status != "cancelled" {
			return nil, fmt.Errorf("%s was not cancelled", second)
		}
		time.Sleep(8 * time.Second)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.lateStart) == 0 {
		return nil, nil
	}
	return []string{"tasks were started by commands that were sent after their users were told that the job is cancelled: " +
		strings.Join(w.lateStart, ", ")}, nil
}

// playOlderAnswer: the state service answers transactions slowly. A job is submitted and cancelled, and users ask two
// nodes. After a node has told that the job is cancelled, none may tell something else.
func playOlderAnswer(w *world) ([]string, error) {
	leader, err := w.awaitLeader(20 * time.Second)
	if err != nil {
		return nil, err
	}
	follower := w.followers(leader)[0]
	if err := w.accept(leader, batch("j-000001", 1, 2, 4, "img-1", time.Second)); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	const slow = 1200 * time.Millisecond
	if w.trouble {
		w.store.mu.Lock()
		w.store.holdAnswer = func([]string) time.Duration { return slow }
		w.store.mu.Unlock()
		w.rec.add("the state service answers transactions after %v", slow)
	}
	var breaches []string
	for round := range 5 {
		applied := make(chan struct{}, 1)
		target := fmt.Sprintf("j-0003%02d", round)
		w.store.mu.Lock()
		w.store.onTxn = func(puts, _ []string) {
			for _, p := range puts {
				if p == "over/"+target {
					w.rec.add("the state service carries out the transaction that puts over/%s", target)
					select {
					case applied <- struct{}{}:
					default:
					}
				}
			}
		}
		w.store.mu.Unlock()
		// Three transactions are under way, so that the next submission waits.
		for i := range 4 {
			go w.submit(leader, batch(fmt.Sprintf("j-0004%d%d", round, i), 1, 2, 4, "img-1", time.Second))
			time.Sleep(100 * time.Millisecond)
		}
		go w.submit(leader, batch(target, 1, 2, 4, "img-1", time.Second))
		time.Sleep(50 * time.Millisecond)
		go w.cancelJob(leader, target)
		select {
		case <-applied:
		case <-time.After(5 * time.Second):
			return nil, fmt.Errorf("the job was not cancelled in the state service")
		}
		r := w.get(follower, target)
		if r.status == 200 && r.Status == "cancelled" {
			later := w.get(leader, target)
			if later.status == 200 && later.Status != "cancelled" {
				breaches = append(breaches, fmt.Sprintf("%s told that %s is cancelled; asked after that, %s told %q",
					follower.name, target, leader.name, later.Status))
			}
		}
		time.Sleep(4 * time.Second)
	}
	return breaches, nil
}

// playManyTasks: one vast array of small tasks arrives beside a service. Messages to and from the workers may not exceed
// 64 KiB, and accepted work must run.
func playManyTasks(w *world) ([]string, error) {
	leader, err := w.awaitLeader(20 * time.Second)
	if err != nil {
		return nil, err
	}
	service := batch("j-000001", 4, 2, 4, "img-1", 0)
	service.Shape, service.Rank, service.RuntimeS = "service", "critical", 0
	if err := w.accept(leader, service); err != nil {
		return nil, err
	}
	if !await(30*time.Second, func() bool { return w.count(w.starts, "j-000001") >= 4 }) {
		return nil, fmt.Errorf("the service did not start")
	}
	pieces := 200
	if w.trouble {
		pieces = 2000
	}
	vast := batch("j-000002", pieces, 0.05, 0.1, "img-1", 50*time.Second)
	vast.Desk, vast.Rank = "guest", "best_effort"
	if err := w.accept(leader, vast); err != nil {
		return nil, err
	}
	finished := false
	for end := time.Now().Add(80 * time.Second); !finished && time.Now().Before(end); time.Sleep(2 * time.Second) {
		finished = w.get(w.nodes[0], "j-000002").Status == "done"
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.add("finished %v: %d of %d tasks of the array done, %d starts; %d tasks, %d of them of the service, were killed since "+
		"their worker's lease expired", finished, w.done["j-000002"], pieces, w.starts["j-000002"], w.byLease, w.serviceByLease)
	if w.byLease == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("%d running tasks, %d of them of the service, were killed although nothing failed: their machine "+
		"can't report so many tasks in 64 KiB, and its lease expired; %d of %d tasks of the array are done",
		w.byLease, w.serviceByLease, w.done["j-000002"], pieces)}, nil
}

func init() {
	scenarios["many-tasks"] = scenario{setUp: func(w *world) {
		delta(w)
		w.quiet = true
		w.limits = smallLimits(oneTeam+guestTeam, 3, 26, 56)
		w.model = machineType{SKU: "g8", VCPUs: 96, Memory: 768, Local: 200, Pull: 1, Hourly: 12, Market: 4.5, Startup: 2,
			Sites: []string{"memphis-dc"}}
	}, nodes: 3, play: playManyTasks}
}
