package standin

import (
	"fmt"
	"testing"
	"time"
)

// oneWayLinks are the directed links of a leader.
func oneWayLinks(leader string, others []string) [][2]string {
	links := [][2]string{{leader, "state"}, {"state", leader}, {leader, "cloud"}, {"cloud", leader},
		{leader, machines}, {machines, leader}}
	for _, o := range others {
		links = append(links, [2]string{leader, o}, [2]string{o, leader})
	}
	return links
}

// TestOneWayFlaps: each directed link of the leader breaks for a part of every few seconds,
// for minutes. No rule is broken, and all work ends.
func TestOneWayFlaps(t *testing.T) {
	t.Parallel()
	for i := range 10 {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("link %d, seed %d", i, seed), func(t *testing.T) {
				t.Parallel()
				w := New(Config{Seed: seed, Length: 200 * time.Second})
				w.when(40, func() {
					l := w.leader()
					if l == nil {
						return
					}
					var others []string
					w.others(l, func(n *node) { others = append(others, n.name) })
					k := oneWayLinks(l.name, others)[i]
					period := time.Duration(1+(i+int(seed)*2)%5) * time.Second
					w.flap(k[0], k[1], period*6/10, period, 120*time.Second)
					w.took("flap")
				})
				w.Run()
				if len(w.Broken) > 0 || len(w.Undone) > 0 {
					t.Fatalf("%v %v\n%s", w.Broken, w.Undone, w.Tail(40))
				}
				if w.seen["flap"] == 0 || w.lostOneWay == 0 {
					t.Errorf("the link did not flap: %v, %d messages lost", w.seen, w.lostOneWay)
				}
			})
		}
	}
}

// TestAnswersLost: the leader's renewals reach the state service, and their answers don't
// come back. Somebody else leads within seconds. (The renewals were carried out, so that the
// lease lived on with a leader that could not be sure of it, for as long as the break.)
func TestAnswersLost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := New(Config{Seed: seed, Length: 150 * time.Second})
		var old *node
		w.when(60, func() {
			old = w.leader()
			w.severWay("state", old.name, false, 60*time.Second)
		})
		w.when(66, func() {
			if n := w.leader(); n == nil || n == old {
				t.Errorf("seed %d: nobody else leads 6 s after the answers were cut off", seed)
			}
		})
		w.Run()
		if len(w.Broken) > 0 || len(w.Undone) > 0 {
			t.Errorf("seed %d: %v %v\n%s", seed, w.Broken, w.Undone, w.Tail(40))
		}
		keptLeases(t, w)
	}
}
