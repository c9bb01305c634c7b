package renewal

import (
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/ident"
)

const grace = 20 * time.Second

// peerProcess is a sibling's process in the test below.
type peerProcess struct {
	SentHeartbeats
	Renewer
	startedAt ident.MonotonicTime // in the leader's time
	clockRate float64
}

func (n *peerProcess) now(at ident.MonotonicTime) ident.MonotonicTime {
	return ident.MonotonicTime(float64(at-n.startedAt) * n.clockRate)
}

// TestRegistry plays beats that are lost, held up and late, and a sibling that is
// restarted and keeps leases whenever it may: the leader's bound is never below what it
// did, and it never does so later than the grace after a moment of sure leadership.
func TestRegistry(t *testing.T) {
	type heartbeat struct {
		at   ident.MonotonicTime
		f    func(now ident.MonotonicTime)
		seen bool
	}
	renewals, tightBounds := 0, 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		registry := NewRegistry(grace)
		var leaderHeartbeats SentHeartbeats
		var inTransit []heartbeat
		startPeer := func(at ident.MonotonicTime) *peerProcess {
			return &peerProcess{startedAt: at, clockRate: 1 + (rng.Float64()-0.5)*0.001}
		}
		peer := startPeer(0)
		var lastAtPeer, lastAtLeader uint64 // newest beats received, of the leader's and of the sibling's
		lastRenewed, lastID := ident.MonotonicTime(0), uint64(0)
		cutUntil := ident.MonotonicTime(0)
		for now := ident.MonotonicTime(time.Second); now < ident.MonotonicTime(5*time.Minute); now = now.Add(100 * time.Millisecond) {
			if rng.IntN(400) == 0 {
				cutUntil = now.Add(time.Duration(rng.IntN(40)) * time.Second)
			}
			if rng.IntN(500) == 0 {
				peer, lastAtPeer = startPeer(now), 0
			}
			send := func(f func(ident.MonotonicTime)) {
				d := time.Duration(rng.IntN(5)) * time.Millisecond
				if now < cutUntil || rng.IntN(20) == 0 {
					if rng.IntN(2) == 0 {
						return
					}
					d = max(cutUntil.Sub(now), 0) + time.Duration(rng.IntN(2000))*time.Millisecond
				}
				inTransit = append(inTransit, heartbeat{at: now.Add(d), f: f})
			}
			if int64(now)%int64(700*time.Millisecond) == 0 {
				lastID++
				id, echo := lastID, lastAtLeader
				leaderHeartbeats.Record(id, now)
				process := peer
				send(func(at ident.MonotonicTime) {
					if peer != process {
						return
					}
					lastAtPeer = id
					if sent, ok := peer.SentAt(echo); ok {
						peer.Permit(1, sent, grace)
					}
				})
				lastID++
				peerHeartbeatID, echoOfLeader := lastID, lastAtPeer
				peerNow := peer.now(now)
				peer.Record(peerHeartbeatID, peerNow)
				status := PeerStatus{ProcessAge: peerNow.Sub(0), SinceLeader: time.Hour}
				if age, ok := peer.SinceLeader(peerNow); ok {
					status.SinceLeader = age
				}
				status.SinceRenewal, status.HasRenewed = peer.SinceRenewal(peerNow)
				send(func(at ident.MonotonicTime) {
					lastAtLeader = peerHeartbeatID
					sent, ok := leaderHeartbeats.SentAt(echoOfLeader)
					if ok {
						registry.ObserveEcho("s", at, sent, status)
					} else {
						registry.ObserveHeartbeat("s", at)
					}
				})
			}
			for i := range inTransit {
				if b := &inTransit[i]; !b.seen && b.at <= now {
					b.seen = true
					b.f(now)
				}
			}
			if peerNow := peer.now(now); peer.MayRenew(peerNow, ident.MakeFencingToken(1, 0)) {
				peer.RecordRenewal(peerNow)
				lastRenewed = now
				renewals++
			}
			bound := registry.LatestRenewal(now)
			if bound < lastRenewed.Add(-10*time.Millisecond) && lastRenewed > 0 {
				t.Fatalf("seed %d, %v: kept at %v, bound %v", seed, now.Sub(0), lastRenewed.Sub(0), bound.Sub(0))
			}
			if bound < now.Add(-time.Minute) {
				tightBounds++
			}
		}
	}
	if renewals == 0 || tightBounds == 0 {
		t.Errorf("kept %d times, bound a minute back %d times: the test shows nothing", renewals, tightBounds)
	}
}

// TestMayRenew: not while the leader is heard, not beyond what it allowed, not for a
// worker that knows a successor, and never without a leader.
func TestMayRenew(t *testing.T) {
	var renewer Renewer
	token := ident.MakeFencingToken(7, 2)
	if renewer.MayRenew(ident.MonotonicTime(time.Hour), token) {
		t.Error("without a leader")
	}
	at := ident.MonotonicTime(time.Minute)
	renewer.Permit(7, at, grace)
	renewer.Permit(6, at.Add(time.Minute), grace) // an earlier term's, late
	for _, tc := range []struct {
		after time.Duration
		epoch ident.FencingToken
		may   bool
	}{{3 * time.Second, token, false}, {5 * time.Second, token, true}, {19 * time.Second, token, true}, {20 * time.Second, token, false},
		{5 * time.Second, ident.MakeFencingToken(8, 0), false}, {5 * time.Second, ident.MakeFencingToken(6, 9), true}, {5 * time.Second, 0, false}} {
		if renewer.MayRenew(at.Add(tc.after), tc.epoch) != tc.may {
			t.Errorf("after %v with %d: %v", tc.after, tc.epoch, !tc.may)
		}
	}
}
