package renewal

import (
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/ident"
)

const grace = 20 * time.Second

// node is a sibling's process in the test below.
type node struct {
	Heartbeats
	Renewer
	born ident.Mono // in the leader's time
	rate float64
}

func (n *node) now(at ident.Mono) ident.Mono { return ident.Mono(float64(at-n.born) * n.rate) }

// TestRegistry plays beats that are lost, held up and late, and a sibling that is
// restarted and keeps leases whenever it may: the leader's bound is never below what it
// did, and it never does so later than the grace after a moment of sure leadership.
func TestRegistry(t *testing.T) {
	type beat struct {
		at   ident.Mono
		f    func(now ident.Mono)
		seen bool
	}
	kept, sharp := 0, 0
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 3))
		l := NewRegistry(grace)
		var own Heartbeats
		var way []beat
		begin := func(at ident.Mono) *node { return &node{born: at, rate: 1 + (r.Float64()-0.5)*0.001} }
		s := begin(0)
		var toS, toL uint64 // newest beats received, of the leader's and of the sibling's
		last, ids := ident.Mono(0), uint64(0)
		down := ident.Mono(0)
		for now := ident.Mono(time.Second); now < ident.Mono(5*time.Minute); now = now.Add(100 * time.Millisecond) {
			if r.IntN(400) == 0 {
				down = now.Add(time.Duration(r.IntN(40)) * time.Second)
			}
			if r.IntN(500) == 0 {
				s, toS = begin(now), 0
			}
			send := func(f func(ident.Mono)) {
				d := time.Duration(r.IntN(5)) * time.Millisecond
				if now < down || r.IntN(20) == 0 {
					if r.IntN(2) == 0 {
						return
					}
					d = max(down.Sub(now), 0) + time.Duration(r.IntN(2000))*time.Millisecond
				}
				way = append(way, beat{at: now.Add(d), f: f})
			}
			if int64(now)%int64(700*time.Millisecond) == 0 {
				ids++
				id, echo := ids, toL
				own.Sent(id, now)
				proc := s
				send(func(at ident.Mono) {
					if s != proc {
						return
					}
					toS = id
					if sent, ok := s.When(echo); ok {
						s.Permit(1, sent, grace)
					}
				})
				ids++
				mine, heard := ids, toS
				n := s.now(now)
				s.Sent(mine, n)
				w := Claim{ProcessAge: n.Sub(0), SinceLeader: time.Hour}
				if age, ok := s.Age(n); ok {
					w.SinceLeader = age
				}
				w.SinceRenewal, w.HasRenewed = s.Newest(n)
				send(func(at ident.Mono) {
					toL = mine
					sent, ok := own.When(heard)
					l.Heard("s", at, sent, ok, w)
				})
			}
			for i := range way {
				if b := &way[i]; !b.seen && b.at <= now {
					b.seen = true
					b.f(now)
				}
			}
			if n := s.now(now); s.May(n, ident.MakeEpoch(1, 0)) {
				s.Note(n)
				last = now
				kept++
			}
			bound := l.Renewed(now)
			if bound < last.Add(-10*time.Millisecond) && last > 0 {
				t.Fatalf("seed %d, %v: kept at %v, bound %v", seed, now.Sub(0), last.Sub(0), bound.Sub(0))
			}
			if bound < now.Add(-time.Minute) {
				sharp++
			}
		}
	}
	if kept == 0 || sharp == 0 {
		t.Errorf("kept %d times, bound a minute back %d times: the test shows nothing", kept, sharp)
	}
}

// TestMay: not while the leader is heard, not beyond what it allowed, not for a
// worker that knows a successor, and never without a leader.
func TestMay(t *testing.T) {
	var v Renewer
	e := ident.MakeEpoch(7, 2)
	if v.May(ident.Mono(time.Hour), e) {
		t.Error("without a leader")
	}
	at := ident.Mono(time.Minute)
	v.Permit(7, at, grace)
	v.Permit(6, at.Add(time.Minute), grace) // an earlier term's, late
	for _, c := range []struct {
		after time.Duration
		epoch ident.Epoch
		may   bool
	}{{3 * time.Second, e, false}, {5 * time.Second, e, true}, {19 * time.Second, e, true}, {20 * time.Second, e, false},
		{5 * time.Second, ident.MakeEpoch(8, 0), false}, {5 * time.Second, ident.MakeEpoch(6, 9), true}, {5 * time.Second, 0, false}} {
		if v.May(at.Add(c.after), c.epoch) != c.may {
			t.Errorf("after %v with %d: %v", c.after, c.epoch, !c.may)
		}
	}
}
