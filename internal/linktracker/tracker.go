// Package linktracker monitors a node's links to the store, the cloud provider, its peers and the machines of each zone.
// It uses the node's regular traffic as evidence, and probes idle links. Nodes exchange their verdicts, so that each node
// knows the links of its peers, and the leader can hand over leadership to a peer with better links.
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
	// dampedCandidacyDelay is how long a node with a damped link to the store waits before it becomes a candidate for leadership.
	dampedCandidacyDelay = 2 * time.Second
)

// Node is the controller whose links are monitored.
type Node interface {
	IsLeader() bool
	FormatLevel() ident.FormatLevel
	// RefreshFormatLevel reads the format level from the store, and calls done whether or not the store has answered.
	RefreshFormatLevel(done func())
	// ProbeStore sends the store a request to check that it responds.
	ProbeStore()
	// Reachable reports whether frames to a peer are expected to arrive.
	Reachable(ident.NodeID) bool
	// LastHeartbeatID returns the ID of the newest heartbeat received from a peer.
	LastHeartbeatID(ident.NodeID) uint64
	// HeartbeatSentAt returns when this node sent a heartbeat. ok is false if the heartbeat is not a recent one.
	HeartbeatSentAt(id uint64) (sentAt ident.MonotonicTime, ok bool)
	// LinksEvaluated is called after each evaluation of all links.
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
// A node that doesn't monitor its links has a nil Tracker. On a nil Tracker, Enabled returns false; Start and the methods that
// record terms, heartbeats and frames do nothing; PeerDelivering, PeerDownFor, PeerDown and ZoneHealthy report healthy links;
// and RelayFor finds no relay. The other methods must not be called on it.
type Tracker struct {
	node           Node
	env            Env
	rng            *rand.Rand
	id             ident.NodeID
	peers          map[ident.NodeID]bool
	monitor        *links.Monitor
	advertisements *links.Database
	leaderHistory  handover.History
	incarnation    uint64 // of this process: the wall-clock time of its start in milliseconds
	sequence       uint64 // of the newest advertisement

	capabilities  capabilities
	probes        probes
	dropped       droppedAdvertisements
	handovers     []HandoverRecord // the newest handovers by this node, oldest first
	handoverCount uint64
}

// New returns the tracker of a node. Calls through its Env are monitored from the beginning. Evaluation and probing begin
// with Start.
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

// Env returns the environment through which the node must make its calls so that they are monitored.
func (t *Tracker) Env() Env { return t.env }

// Enabled reports whether links are monitored.
func (t *Tracker) Enabled() bool { return t != nil }

// LeaderHistory returns the history of recent leader changes, to which ObserveTerm adds.
func (t *Tracker) LeaderHistory() *handover.History { return &t.leaderHistory }

// Start evaluates the links immediately, and every evaluateInterval from then on.
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

// logVerdictChange logs a change of a verdict, at info level if the link goes down or comes up again, otherwise at debug
// level.
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

// ObserveTerm records a term in which this node or a peer is the leader.
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

// FrameReceived records the arrival of a message from a peer.
func (t *Tracker) FrameReceived(from ident.NodeID, now ident.MonotonicTime) {
	if t != nil {
		t.monitor.Received(peerEndpoint(from), now)
	}
}

// CandidacyDelay returns how long this node must wait before it becomes a candidate, so that nodes with better links are
// elected first.
func (t *Tracker) CandidacyDelay() time.Duration {
	if t.monitor.Verdict(storeEndpoint, links.Outbound).Damped {
		return dampedCandidacyDelay
	}
	return 0
}

// PeerDelivering reports whether the failure detector assumes that frames to a peer currently arrive.
func (t *Tracker) PeerDelivering(n ident.NodeID) bool {
	return t == nil || t.monitor.Delivering(peerEndpoint(n))
}

// StoreDelivering reports whether the store currently serves this node. That differs from the verdict: a flapping link counts
// as down most of the time, although transactions still succeed.
func (t *Tracker) StoreDelivering() bool {
	return t.monitor.Delivering(storeEndpoint) && !t.monitor.Refusing(storeEndpoint)
}

// PeerDownFor reports whether the link to a peer counts as down in either direction, and returns for how long. A flapping
// link may count as down while it delivers messages.
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

// PeerDown reports whether the link to a peer counts as down in either direction.
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

// Assess compares the links of this node with those of its peers, to find the node with the best links for a leader. machines
// is the number of machines that are up, by zone.
func (t *Tracker) Assess(machines map[string]int, peers []ident.NodeID, now ident.MonotonicTime) links.Assessment {
	cluster := links.Cluster{Peers: peers, Machines: machines}
	return cluster.Assess(t.OwnAdvertisement(), t.advertisements, now)
}
