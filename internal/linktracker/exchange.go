package linktracker

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

// capabilityCheckInterval paces the look for peers that can read frames about links.
const capabilityCheckInterval = 3 * time.Second

// capabilities is what is known of the frames that peers can read.
type capabilities struct {
	linkState    map[ident.NodeID]bool // peers that can read frames about links
	checkedAt    ident.MonotonicTime   // 0: not yet
	checkPending bool
}

// droppedAdvertisements counts the advertisements of peers that were not taken.
type droppedAdvertisements struct {
	byReason map[links.MergeResult]uint64
	undated  uint64 // messages that echo no recent heartbeat of this node
}

// refreshCapabilities looks for peers that can read frames about links, until all can.
func (t *Tracker) refreshCapabilities(now ident.MonotonicTime) {
	packed := t.node.FormatLevel() >= ident.FormatPacked
	known := &t.capabilities
	allKnown := len(known.linkState) == len(t.peers) && packed
	checkedLately := known.checkedAt > 0 && now.Sub(known.checkedAt) < capabilityCheckInterval
	if known.checkPending || allKnown || checkedLately {
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

// SupportsLinks reports whether a peer can read frames about links.
func (t *Tracker) SupportsLinks(n ident.NodeID) bool {
	return t.capabilities.linkState[n] && t.node.FormatLevel() >= ident.FormatPacked
}

// OwnAdvertisement returns a new advertisement of this node's links. A leader's names machines to probe as well.
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

// SendAdvertisements sends a peer this node's advertisement, and those of the others.
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

// MergeAdvertisements takes in the advertisements that a peer sends. They were made after the peer had received the
// heartbeat that the frame names, which bounds their age; without a recent heartbeat they can't be dated.
func (t *Tracker) MergeAdvertisements(frame *transport.Frame) {
	if t == nil {
		return
	}
	now := t.env.Now()
	sentAt, ok := t.node.HeartbeatSentAt(frame.ID)
	if !ok {
		t.dropped.undated++
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
