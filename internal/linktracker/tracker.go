// Package linktracker watches a node's links to the store, the cloud, its peers and the machines of each zone.
// The node's regular traffic is the evidence; links without traffic are probed. Nodes exchange their verdicts, so that
// each knows which links its peers have, and the leader can hand over to a peer with better links.
package linktracker

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"opaldale/internal/handover"
	"opaldale/internal/ident"
	"opaldale/internal/links"
	"opaldale/internal/settings"
)

const (
	// evaluateInterval is the interval between evaluations of all links.
	evaluateInterval = 250 * time.Millisecond
	storeTimeout     = time.Second
	// dampedCandidacyDelay is how long a node with a damped link to the store waits before it campaigns.
	dampedCandidacyDelay = 2 * time.Second
)

// Node is the controller whose links are watched.
type Node interface {
	IsLeader() bool
	FormatLevel() ident.FormatLevel
	// RefreshFormatLevel reads the format level from the store, and calls done whether or not the store has answered.
	RefreshFormatLevel(done func())
	// ProbeStore sends the store a request whose only use is the answer.
	ProbeStore()
	// Reachable reports whether frames to a peer probably arrive.
	Reachable(ident.NodeID) bool
	// LastHeartbeatID returns the ID of the newest heartbeat of a peer.
	LastHeartbeatID(ident.NodeID) uint64
	// HeartbeatSentAt returns when a recent heartbeat of this node was sent.
	HeartbeatSentAt(id uint64) (sentAt ident.MonotonicTime, ok bool)
	// LinksEvaluated is called after each evaluation of the links.
	LinksEvaluated(now ident.MonotonicTime)
}

// Config configures a Tracker.
type Config struct {
	Node  ident.NodeID
	Peers []ident.NodeID
	Links settings.Links
}

// Tracker tracks a node's own links, and those that its peers advertise. It is not safe for concurrent use.
//
// A nil Tracker is that of a node that doesn't watch its links: Enabled returns false, methods that record an event do
// nothing, and methods that look for a fault find none. The other methods must not be called on it.
type Tracker struct {
	node           Node
	env            Env
	rng            *rand.Rand
	id             ident.NodeID
	peers          map[ident.NodeID]bool
	monitor        *links.Monitor
	advertisements *links.Database
	leaderHistory  handover.History
	incarnation    uint64 // of this process, by the wall clock at its start
	sequence       uint64 // of the newest advertisement

	capabilities  capabilities
	probes        probes
	dropped       droppedAdvertisements
	handovers     []HandoverRecord // the last handovers by this node, oldest first
	handoverCount uint64
}

// New returns the tracker of a node. It does nothing before Start, except that calls through its Env are monitored.
func New(config Config, node Node, env Env, rng *rand.Rand) *Tracker {
	monitorConfig := links.Config{SuspectGrace: config.Links.SuspectGrace, PenaltyHalfLife: config.Links.PenaltyHalfLife}
	t := &Tracker{
		node:           node,
		rng:            rng,
		id:             config.Node,
		peers:          map[ident.NodeID]bool{},
		monitor:        links.NewMonitor(monitorConfig),
		advertisements: links.NewDatabase(config.Peers),
		incarnation:    uint64(max(1, env.WallMS())),
		capabilities:   capabilities{linkState: map[ident.NodeID]bool{}},
		probes:         newProbes(),
		dropped:        droppedAdvertisements{byReason: map[links.MergeResult]uint64{}},
	}
	t.env = monitoredEnv{Env: env, monitor: t.monitor}
	t.monitor.Watch(storeEndpoint)
	t.monitor.Watch(cloudEndpoint)
	for _, n := range config.Peers {
		t.peers[n] = true
		t.monitor.Watch(peerEndpoint(n))
	}
	return t
}

// Env returns the environment through which the node must make its calls, so that they are monitored.
func (t *Tracker) Env() Env { return t.env }

// Enabled reports whether links are watched.
func (t *Tracker) Enabled() bool { return t != nil }

// LeaderHistory returns the history of recent changes of the leader, which ObserveTerm extends.
func (t *Tracker) LeaderHistory() *handover.History { return &t.leaderHistory }

// Start evaluates the links now and at intervals from then on.
func (t *Tracker) Start() {
	if t != nil {
		t.evaluate()
	}
}

// evaluate updates the verdicts, probes idle links, and schedules the next evaluation.
func (t *Tracker) evaluate() {
	now := t.env.Now()
	for _, change := range t.monitor.Evaluate(now) {
		logVerdictChange(change)
	}
	t.probeIdleLinks(now)
	t.refreshCapabilities(now)
	t.node.LinksEvaluated(now)
	t.env.After(evaluateInterval, t.evaluate)
}

// logVerdictChange logs a change of a verdict, at debug level unless the link goes down or comes up again.
func logVerdictChange(change links.VerdictChange) {
	level := slog.LevelInfo
	if change.From.State != links.Down && change.To.State != links.Down {
		level = slog.LevelDebug
	}
	slog.Log(context.Background(), level, "link state changed",
		"peer", change.Endpoint.String(), "direction", change.Direction.String(),
		"from", change.From.State.String(), "to", change.To.State.String(),
		"evidence", change.To.Evidence.String(), "damped", change.To.Damped)
}

// ObserveTerm records that some node leads in a term.
func (t *Tracker) ObserveTerm(term ident.Term, now ident.MonotonicTime) {
	if t != nil {
		t.leaderHistory.ObserveTerm(term, now)
	}
}

// HeartbeatSent records a heartbeat to a peer.
func (t *Tracker) HeartbeatSent(to ident.NodeID, now ident.MonotonicTime) {
	if t != nil {
		t.monitor.Sent(peerEndpoint(to), now)
	}
}

// HeartbeatEchoed records that a peer has received the heartbeat that this node sent at sentAt.
func (t *Tracker) HeartbeatEchoed(from ident.NodeID, sentAt, now ident.MonotonicTime) {
	if t != nil {
		t.monitor.Echoed(peerEndpoint(from), sentAt, now)
	}
}

// FrameReceived records that a message from a peer has arrived.
func (t *Tracker) FrameReceived(from ident.NodeID, now ident.MonotonicTime) {
	if t != nil {
		t.monitor.Received(peerEndpoint(from), now)
	}
}

// CandidacyDelay returns how long this node waits before it campaigns, so that nodes with better links come first.
func (t *Tracker) CandidacyDelay() time.Duration {
	if t.monitor.Verdict(storeEndpoint, links.Outbound).Damped {
		return dampedCandidacyDelay
	}
	return 0
}

// PeerDelivering reports whether frames to a peer arrive, as far as this node can tell.
func (t *Tracker) PeerDelivering(n ident.NodeID) bool {
	return t == nil || t.monitor.Delivering(peerEndpoint(n))
}

// StoreDelivering reports whether the store serves this node at this moment. That differs from the verdict: a flapping link
// counts as down most of the time, although transactions still succeed.
func (t *Tracker) StoreDelivering() bool {
	return t.monitor.Delivering(storeEndpoint) && !t.monitor.Refusing(storeEndpoint)
}

// PeerDownFor returns for how long the link to a peer has counted as down in either direction, and whether it does. A
// flapping link may count as down while it delivers messages.
func (t *Tracker) PeerDownFor(n ident.NodeID) (longest time.Duration, down bool) {
	if t == nil {
		return 0, false
	}
	now := t.env.Now()
	for _, direction := range directions {
		if verdict := t.monitor.Verdict(peerEndpoint(n), direction); verdict.State == links.Down {
			longest, down = max(longest, now.Sub(verdict.Since)), true
		}
	}
	return longest, down
}

// PeerDown reports whether the link to a peer counts as down.
func (t *Tracker) PeerDown(n ident.NodeID) bool {
	_, down := t.PeerDownFor(n)
	return down
}

// RelayFor returns a peer through which requests to another node can be relayed: this node reaches the peer, and the peer
// advertises a working link to the other node.
func (t *Tracker) RelayFor(to ident.NodeID) (relay ident.NodeID, ok bool) {
	if t == nil {
		return "", false
	}
	for _, advertisement := range t.advertisements.Advertisements(t.env.Now()) {
		n := advertisement.Origin
		if n == to || !t.SupportsLinks(n) || !t.node.Reachable(n) || t.PeerDown(n) {
			continue
		}
		if link := advertisement.Link(peerEndpoint(to)); link.In == links.Up && link.Out == links.Up {
			return n, true
		}
	}
	return "", false
}

// Assess compares how well this node and its peers are suited to lead, by their links. machines is the number of machines in
// each zone.
func (t *Tracker) Assess(machines map[string]int, peers []ident.NodeID, now ident.MonotonicTime) links.Assessment {
	cluster := links.Cluster{Peers: peers, Machines: machines}
	return cluster.Assess(t.OwnAdvertisement(), t.advertisements, now)
}
