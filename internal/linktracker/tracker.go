// Package linktracker watches a node's links to the store, the cloud, its peers and the machines of each zone.
// What the node sends and receives anyway is the evidence; links without traffic are probed. Nodes exchange
// their verdicts, so that each knows whom its peers reach, and the leader can hand over to a peer that is
// better placed.
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
	// evaluateInterval paces the verdicts on links.
	evaluateInterval = 250 * time.Millisecond
	storeTimeout     = time.Second
	// dampedCandidacyDelay is for how long a node whose own link to the store is damped lets others campaign
	// first.
	dampedCandidacyDelay = 2 * time.Second
)

// Node is the controller whose links are watched.
type Node interface {
	IsLeader() bool
	FormatLevel() ident.FormatLevel
	// RefreshFormatLevel reads the format level from the store, and calls done either way.
	RefreshFormatLevel(done func())
	// ProbeStore sends the store a request whose only use is the answer.
	ProbeStore()
	// Reachable reports whether frames to a peer probably arrive.
	Reachable(ident.NodeID) bool
	// LastHeartbeatID returns the ID of the newest heartbeat of a peer.
	LastHeartbeatID(ident.NodeID) uint64
	// HeartbeatSentAt returns when a recent heartbeat of this node was sent.
	HeartbeatSentAt(id uint64) (sentAt ident.MonotonicTime, ok bool)
	// LinksEvaluated is called when the verdicts are up to date.
	LinksEvaluated(now ident.MonotonicTime)
}

// Config says which node's links are watched.
type Config struct {
	Node  ident.NodeID
	Peers []ident.NodeID
	Links settings.Links
}

// Tracker is what a node knows of its own links and of its peers' links.
//
// A nil Tracker is that of a node which doesn't watch its links: the methods that note an event do nothing, and
// those that ask for a fault find none.
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
	handovers     []HandoverRecord // the last ones that this node has made
	handoverCount uint64
}

// New returns the tracker of a node, which acts by env once it is started.
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

// Env returns the environment by which the node has to act: what is sent and answered there is evidence.
func (t *Tracker) Env() Env { return t.env }

// Enabled reports whether links are watched.
func (t *Tracker) Enabled() bool { return t != nil }

// LeaderHistory returns what is known of recent changes of the leader.
func (t *Tracker) LeaderHistory() *handover.History { return &t.leaderHistory }

// Start evaluates the links now and at intervals from then on.
func (t *Tracker) Start() {
	if t != nil {
		t.evaluate()
	}
}

// evaluate brings the verdicts up to date, and probes what carries no traffic.
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

// logVerdictChange logs a change of a verdict. One that is no more than a suspicion is a matter of debugging.
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

// ObserveTerm notes that a node leads in a term.
func (t *Tracker) ObserveTerm(term ident.Term, now ident.MonotonicTime) {
	if t != nil {
		t.leaderHistory.ObserveTerm(term, now)
	}
}

// HeartbeatSent notes a heartbeat to a peer.
func (t *Tracker) HeartbeatSent(to ident.NodeID, now ident.MonotonicTime) {
	if t != nil {
		t.monitor.Sent(peerEndpoint(to), now)
	}
}

// HeartbeatEchoed notes that a peer has received the heartbeat that was sent to it at a time.
func (t *Tracker) HeartbeatEchoed(from ident.NodeID, sentAt, now ident.MonotonicTime) {
	if t != nil {
		t.monitor.Echoed(peerEndpoint(from), sentAt, now)
	}
}

// FrameReceived notes a message of a peer.
func (t *Tracker) FrameReceived(from ident.NodeID, now ident.MonotonicTime) {
	if t != nil {
		t.monitor.Received(peerEndpoint(from), now)
	}
}

// CandidacyDelay returns for how long other nodes may campaign first.
func (t *Tracker) CandidacyDelay() time.Duration {
	if t.monitor.Verdict(storeEndpoint, links.Outbound).Damped {
		return dampedCandidacyDelay
	}
	return 0
}

// PeerDelivering reports whether frames to a peer arrive, as far as is known.
func (t *Tracker) PeerDelivering(n ident.NodeID) bool {
	return t == nil || t.monitor.Delivering(peerEndpoint(n))
}

// StoreDelivering reports whether the store serves this node at this moment. The verdict is no measure of
// that: a link that flaps is down most of the time by its verdict, and transactions pass all the same.
func (t *Tracker) StoreDelivering() bool {
	return t.monitor.Delivering(storeEndpoint) && !t.monitor.Refusing(storeEndpoint)
}

// PeerDownFor returns for how long the link to a peer has counted as down in either direction, and whether it
// does. A link that passes messages at this moment may count as down, for breaking again and again.
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

// RelayFor returns a peer that this node reaches, and that reaches another node by its own account.
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

// Assess compares this node with its peers as a leader, by what their links reach. machines is how many machines
// each zone has.
func (t *Tracker) Assess(machines map[string]int, peers []ident.NodeID, now ident.MonotonicTime) links.Assessment {
	cluster := links.Cluster{Peers: peers, Machines: machines}
	return cluster.Assess(t.OwnAdvertisement(), t.advertisements, now)
}
