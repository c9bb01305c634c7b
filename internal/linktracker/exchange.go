package linktracker

// This file exchanges link state advertisements with the peers.

import (
	"maps"
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/links"
	"opaldale/internal/transport"
	"opaldale/internal/upgrade"
)

// capabilityCheckInterval is the interval between checks of which peers support link state frames.
const capabilityCheckInterval = 3 * time.Second

// capabilities records which peers support link state frames.
type capabilities struct {
	linkState    map[ident.NodeID]bool // peers that support link state frames
	checkedAt    ident.MonotonicTime   // time of the last check; 0 before the first one
	checkPending bool
}

// droppedAdvertisements counts advertisements and messages of peers that were dropped.
type droppedAdvertisements struct {
	byReason   map[links.MergeResult]uint64
	unknownAge uint64 // messages that do not echo a recent heartbeat of this node
}

// refreshCapabilities periodically reads from the store which peers support link state frames, and the cluster's format
// level, until all peers support the frames and the level allows them.
func (t *Tracker) refreshCapabilities(now ident.MonotonicTime) {
	packed := t.node.FormatLevel() >= ident.FormatPacked
	known := &t.capabilities
	allKnown := len(known.linkState) == len(t.peers) && packed
	checkedRecently := known.checkedAt > 0 && now.Sub(known.checkedAt) < capabilityCheckInterval
	if known.checkPending || allKnown || checkedRecently {
		return
	}
	known.checkedAt, known.checkPending = now, true
	list := kvstore.Request{Op: kvstore.List, Prefix: upgrade.NodeKeyPrefix, Timeout: storeTimeout}
	t.env.Store(list, func(r kvstore.Response) {
		known.checkPending = false
		if r.Outcome != kvstore.OK {
			return
		}
		for n, frames := range upgrade.FrameCapabilities(r.KeyValues) {
			if t.peers[n] && frames >= transport.LinkStateCapability {
				known.linkState[n] = true
			}
		}
	})
	if t.node.FormatLevel() < ident.FormatPacked {
		t.node.RefreshFormatLevel(func() {})
	}
}

// SupportsLinks reports whether a peer supports link state frames and the cluster's format level allows them.
func (t *Tracker) SupportsLinks(n ident.NodeID) bool {
	return t.capabilities.linkState[n] && t.node.FormatLevel() >= ident.FormatPacked
}

// OwnAdvertisement returns a new advertisement of this node's links. The advertisement of a leader also lists machines for its
// peers to probe.
func (t *Tracker) OwnAdvertisement() links.Advertisement {
	t.sequence++
	advertisement := t.monitor.Advertisement(t.id, t.incarnation, t.sequence)
	advertisement.Links = advertisement.Links[:min(len(advertisement.Links), links.MaxLinks)]
	if !t.node.IsLeader() {
		return advertisement
	}
	zones := slices.Sorted(maps.Keys(t.probes.targets))
	for _, zone := range zones[:min(len(zones), maxAdvertisedZones)] {
		advertisement.ProbeTargets = append(advertisement.ProbeTargets, t.probes.targets[zone]...)
	}
	return advertisement
}

// SendAdvertisements sends a peer this node's own advertisement and the advertisements received from other peers,
// the latter without probe targets.
func (t *Tracker) SendAdvertisements(to ident.NodeID, own links.Advertisement, now ident.MonotonicTime) {
	if !t.SupportsLinks(to) {
		return
	}
	advertisements := []links.Advertisement{own}
	for _, received := range t.advertisements.Advertisements(now) {
		if received.Origin != to && len(advertisements) < links.MaxAdvertisements {
			received.ProbeTargets = nil
			advertisements = append(advertisements, received)
		}
	}
	t.env.SendPeer(to, &transport.Frame{
		Type:      transport.MsgLinkState,
		ID:        t.node.LastHeartbeatID(to),
		LinkState: advertisements,
	})
}

// MergeAdvertisements merges the advertisements in a peer's frame. The frame has the ID of a heartbeat that the peer had
// received from this node before it sent the frame. The time since that heartbeat was sent is added to the ages, which makes
// them upper bounds. The frame is dropped if this node no longer knows when it sent the heartbeat.
func (t *Tracker) MergeAdvertisements(frame *transport.Frame) {
	if t == nil {
		return
	}
	now := t.env.Now()
	sentAt, ok := t.node.HeartbeatSentAt(frame.ID)
	if !ok {
		t.dropped.unknownAge++
		return
	}
	for _, advertisement := range frame.LinkState {
		advertisement.Age += now.Sub(sentAt)
		result := t.advertisements.Merge(advertisement, now)
		if result != links.Accepted && advertisement.Origin != t.id {
			t.dropped.byReason[result]++
		}
	}
}
