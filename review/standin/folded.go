package main

import (
	"encoding/json"
	"time"
)

// folded: a submission carries a field of its client's own, whose name differs from a known one by its first letter.
func folded(recordPath string, trouble bool) int {
	opt := nyati()
	opt.capacity = map[pool]int{}
	for _, s := range opt.model.Sites {
		opt.capacity[pool{s, true}], opt.capacity[pool{s, false}] = 5, 10
	}
	w := newWorld(recordPath, opt, 3)
	defer w.close()
	for i := range w.nodes {
		w.startNode(i)
	}
	if w.waitLeader(15*time.Second) < 0 {
		w.giveUp("no leader")
	}
	time.Sleep(1500 * time.Millisecond)
	j := w.add(sweep("j-000412", 4, "", 6), 3*time.Second)
	body, _ := json.Marshal(j.spec)
	if trouble {
		body = append(body[:len(body)-1], `,"Pieces":2}`...)
	}
	w.rec.logf("user: POST /v2/runs %s", body)
	for i := 0; ; i++ {
		if r := w.submitBody(i%3, j, body); r.status/100 == 2 {
			break
		}
		if i > 10 {
			w.giveUp("the job is not accepted")
		}
		time.Sleep(time.Second)
	}
	for i := 0; time.Since(w.rec.start) < 100*time.Second; i++ {
		r := w.get(i%3, j)
		if r.Status == "done" {
			w.mu.Lock()
			w.rec.logf("user: %s is called done, %d done; %d of its %d tasks have completed", j.spec.ID, r.Done, len(j.doneTasks), j.spec.Pieces)
			w.mu.Unlock()
			return w.verdict()
		}
		time.Sleep(time.Second)
	}
	w.giveUp("the job has not ended")
	return 2
}
