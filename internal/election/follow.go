package election

import (
	"log/slog"
	"time"

	"opaldale/internal/decode"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

const (
	// minRecheckDelay is the minimum delay before the leader key is read again after a failure.
	// Jitter of up to the same duration is added.
	minRecheckDelay = 300 * time.Millisecond
	// watchBlock is how long the store may hold a watch open without a change. The request times out
	// watchTimeoutMargin after that.
	watchBlock         = 10 * time.Second
	watchTimeoutMargin = 2 * time.Second
)

// retryLater returns the node to Following and schedules another read of the leader key.
func (e *Elector) retryLater(reason transitionReason) {
	e.setState(Following, reason)
	e.checkLeaderLater()
}

func (e *Elector) checkLeaderLater() {
	jitter := time.Duration(e.rng.Int64N(int64(minRecheckDelay)))
	e.afterInState(minRecheckDelay+jitter, e.checkLeader)
}

// checkLeader reads the leader key. The node then follows the holder of the key, or campaigns if the key
// does not exist.
func (e *Elector) checkLeader() {
	e.setState(Following, checkingLeader)
	request := kvstore.Request{Op: kvstore.Get, Key: LeaderKey, Timeout: callTimeout}
	e.callStore(request, func(response kvstore.Response) {
		switch response.Outcome {
		case kvstore.OK:
			e.followOrCampaign(response)
		case kvstore.NotFound:
			e.campaign(0)
		default:
			e.checkLeaderLater()
		}
	})
}

// followOrCampaign follows the holder of an existing leader key. If the key is a stale one that this node
// wrote, the node campaigns.
func (e *Elector) followOrCampaign(response kvstore.Response) {
	var record leaderRecord
	if err := decode.JSON(response.Value, &record); err != nil {
		slog.Error("cannot decode leader key", "err", err)
		e.checkLeaderLater()
		return
	}
	if record.Node == e.self {
		// The key was written by an earlier process of this node, which no longer runs, by a claim of
		// this process whose response was lost, or in a term that this process no longer leads.
		e.campaign(response.Revision)
		return
	}
	e.setKnownLeader(record)
	e.watchLeader(response.Revision)
}

// setKnownLeader records the holder of the leader key, unless a leader of a later term is known.
func (e *Elector) setKnownLeader(record leaderRecord) {
	e.campaignDelayed = false
	if record.Term >= e.knownLeader.Term {
		e.knownLeader = knownLeader{leaderRecord: record}
	}
}

// watchLeader watches the leader key for changes after a revision of the store.
func (e *Elector) watchLeader(fromRevision ident.Revision) {
	request := kvstore.Request{
		Op:       kvstore.Watch,
		Prefix:   LeaderKey,
		Revision: fromRevision,
		Block:    watchBlock,
		Timeout:  watchBlock + watchTimeoutMargin,
	}
	e.callStore(request, func(response kvstore.Response) {
		if response.Outcome != kvstore.OK {
			e.checkLeaderLater()
			return
		}
		e.applyWatchEvents(response.Events, max(response.StoreRevision, fromRevision))
	})
}

// applyWatchEvents applies the changes of the leader key up to a revision of the store, then campaigns
// if the key was deleted, and otherwise watches for further changes.
func (e *Elector) applyWatchEvents(events []kvstore.WatchEvent, revision ident.Revision) {
	deleted := false
	for _, event := range events {
		switch {
		case event.Delete == LeaderKey:
			deleted = true
		case event.Put == LeaderKey:
			deleted = false
			record, ok := e.decodePeerRecord(event.Value)
			if !ok {
				e.checkLeader()
				return
			}
			e.setKnownLeader(record)
		}
	}
	if deleted {
		e.knownLeader.keyDeleted = true
		e.campaign(0)
		return
	}
	e.watchLeader(revision)
}

// decodePeerRecord returns the leader record of another node. It returns false if the value is
// malformed or is a record of this node.
func (e *Elector) decodePeerRecord(value []byte) (leaderRecord, bool) {
	var record leaderRecord
	err := decode.JSON(value, &record)
	return record, err == nil && record.Node != e.self
}
