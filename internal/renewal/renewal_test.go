package renewal

import (
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/ident"
)

const grace = 20 * time.Second

// peerProcess is one process of the simulated peer.
type peerProcess struct {
	SentHeartbeats
	Renewer
	startedAt        ident.MonotonicTime // on the leader's clock
	clockRate        float64             // relative to the leader's clock
	newestReceivedID uint64              // newest heartbeat received from the leader
}

// now converts a time on the leader's clock to the clock of the process.
func (p *peerProcess) now(at ident.MonotonicTime) ident.MonotonicTime {
	return ident.MonotonicTime(float64(at-p.startedAt) * p.clockRate)
}

// delivery is a heartbeat in transit.
type delivery struct {
	at      ident.MonotonicTime
	receive func(at ident.MonotonicTime)
}

const (
	registryStep      = 100 * time.Millisecond
	heartbeatInterval = 700 * time.Millisecond
)

// registryRun simulates a leader and a peer that exchange heartbeats over a link that loses and delays
// some of them. All times are on the leader's clock.
type registryRun struct {
	rng       *rand.Rand
	now       ident.MonotonicTime
	cutUntil  ident.MonotonicTime // the link is down until this time
	inTransit []delivery
	newestID  uint64

	registry         *Registry
	sent             SentHeartbeats // heartbeats sent by the leader
	newestReceivedID uint64         // newest heartbeat that the leader has received from the peer

	peer        *peerProcess
	lastRenewal ident.MonotonicTime // last renewal of a lease by the peer, 0 if there was none

	// tightBounds counts the steps at which the bound is more than a minute old.
	renewals, tightBounds int
}

func newRegistryRun(seed uint64) *registryRun {
	r := &registryRun{rng: rand.New(rand.NewPCG(seed, 3)), registry: NewRegistry(grace)}
	r.restartPeer()
	r.now = ident.MonotonicTime(time.Second)
	return r
}

func (r *registryRun) restartPeer() {
	r.peer = &peerProcess{startedAt: r.now, clockRate: 1 + (r.rng.Float64()-0.5)*0.001}
}

func (r *registryRun) step(t *testing.T, seed uint64) {
	t.Helper()
	if r.rng.IntN(400) == 0 {
		r.cutUntil = r.now.Add(time.Duration(r.rng.IntN(40)) * time.Second)
	}
	if r.rng.IntN(500) == 0 {
		r.restartPeer()
	}
	if int64(r.now)%int64(heartbeatInterval) == 0 {
		r.sendLeaderHeartbeat()
		r.sendPeerHeartbeat()
	}
	r.deliver()
	if peerNow := r.peer.now(r.now); r.peer.MayRenew(peerNow, ident.MakeFencingToken(1, 0)) {
		r.peer.RecordRenewal(peerNow)
		r.lastRenewal = r.now
		r.renewals++
	}
	bound := r.registry.LatestRenewal(r.now)
	if bound < r.lastRenewal.Add(-10*time.Millisecond) && r.lastRenewal > 0 {
		t.Fatalf("seed %d at %v: peer renewed at %v, want a bound no earlier, got %v",
			seed, r.now.Sub(0), r.lastRenewal.Sub(0), bound.Sub(0))
	}
	if bound < r.now.Add(-time.Minute) {
		r.tightBounds++
	}
}

func (r *registryRun) sendLeaderHeartbeat() {
	r.newestID++
	id, echo, process := r.newestID, r.newestReceivedID, r.peer
	r.sent.Record(id, r.now)
	r.send(func(ident.MonotonicTime) {
		if r.peer != process {
			return
		}
		process.newestReceivedID = id
		if sentAt, ok := process.SentAt(echo); ok {
			process.Permit(1, sentAt, grace)
		}
	})
}

func (r *registryRun) sendPeerHeartbeat() {
	r.newestID++
	id, echo := r.newestID, r.peer.newestReceivedID
	peerNow := r.peer.now(r.now)
	r.peer.Record(id, peerNow)
	status := PeerStatus{ProcessAge: peerNow.Sub(0), SinceLeader: time.Hour}
	if silence, ok := r.peer.SinceLeader(peerNow); ok {
		status.SinceLeader = silence
	}
	status.SinceRenewal, status.HasRenewed = r.peer.SinceRenewal(peerNow)
	r.send(func(at ident.MonotonicTime) {
		r.newestReceivedID = id
		if sentAt, ok := r.sent.SentAt(echo); ok {
			r.registry.ObserveEcho("s", at, sentAt, status)
		} else {
			r.registry.ObserveHeartbeat("s", at)
		}
	})
}

// send delivers a heartbeat after a few milliseconds. While the link is down, and at random otherwise, the
// heartbeat is lost or delayed until the link is up again.
func (r *registryRun) send(receive func(at ident.MonotonicTime)) {
	delay := time.Duration(r.rng.IntN(5)) * time.Millisecond
	if r.now < r.cutUntil || r.rng.IntN(20) == 0 {
		if r.rng.IntN(2) == 0 {
			return
		}
		delay = max(r.cutUntil.Sub(r.now), 0) + time.Duration(r.rng.IntN(2000))*time.Millisecond
	}
	r.inTransit = append(r.inTransit, delivery{at: r.now.Add(delay), receive: receive})
}

// deliver delivers all heartbeats that are due, in the order in which they were sent.
func (r *registryRun) deliver() {
	var remaining []delivery
	for _, d := range r.inTransit {
		if d.at <= r.now {
			d.receive(r.now)
		} else {
			remaining = append(remaining, d)
		}
	}
	r.inTransit = remaining
}

// TestRegistry checks that the leader's bound is never earlier than the peer's last renewal, with a
// tolerance of 10 ms. Heartbeats are lost or delayed, and the peer restarts and renews leases whenever it
// may.
func TestRegistry(t *testing.T) {
	renewals, tightBounds := 0, 0
	for seed := range uint64(200) {
		r := newRegistryRun(seed)
		for r.now < ident.MonotonicTime(5*time.Minute) {
			r.step(t, seed)
			r.now = r.now.Add(registryStep)
		}
		renewals += r.renewals
		tightBounds += r.tightBounds
	}
	if renewals == 0 || tightBounds == 0 {
		t.Errorf("got %d renewals and %d bounds more than a minute old, want both above 0", renewals, tightBounds)
	}
}

// TestMayRenew checks that a node renews leases only after MinLeaderSilence, within the leader's allowance,
// and for a worker whose fencing token is known and not of a later term.
func TestMayRenew(t *testing.T) {
	var renewer Renewer
	token := ident.MakeFencingToken(7, 2)
	if renewer.MayRenew(ident.MonotonicTime(time.Hour), token) {
		t.Error("MayRenew = true without a permit, want false")
	}
	at := ident.MonotonicTime(time.Minute)
	renewer.Permit(7, at, grace)
	renewer.Permit(6, at.Add(time.Minute), grace) // delayed permit of an earlier term, must be ignored
	for _, c := range []struct {
		name  string
		after time.Duration
		token ident.FencingToken
		want  bool
	}{
		{"leader silent for too short", 3 * time.Second, token, false},
		{"leader silent", 5 * time.Second, token, true},
		{"end of the allowance", 19 * time.Second, token, true},
		{"allowance used up", 20 * time.Second, token, false},
		{"token of a later term", 5 * time.Second, ident.MakeFencingToken(8, 0), false},
		{"token of an earlier term", 5 * time.Second, ident.MakeFencingToken(6, 9), true},
		{"no token", 5 * time.Second, 0, false},
	} {
		if got := renewer.MayRenew(at.Add(c.after), c.token); got != c.want {
			t.Errorf("%s: MayRenew = %v, want %v", c.name, got, c.want)
		}
	}
}
