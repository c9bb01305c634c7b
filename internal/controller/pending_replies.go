package controller

// This file holds the replies to requests that wait for the store, with their timeouts.

import (
	"maps"
	"slices"
	"time"
)

// pendingReplies holds the replies to requests that wait for the store. Each is called once: with the response, or with a
// refusal if the store becomes unavailable or takes longer than storeTimeout.
type pendingReplies struct {
	after  func(time.Duration, func())
	refuse func(reply func(Response), reason refusal)
	byID   map[uint64]func(Response)
	lastID uint64
}

func newPendingReplies(after func(time.Duration, func()), refuse func(func(Response), refusal)) *pendingReplies {
	return &pendingReplies{after: after, refuse: refuse, byID: map[uint64]func(Response){}}
}

// withTimeout registers a reply, and returns the function to call in its place. The request is refused after storeTimeout;
// later calls of the returned function have no effect.
func (p *pendingReplies) withTimeout(reply func(Response)) func(Response) {
	p.lastID++
	id := p.lastID
	p.byID[id] = reply
	p.after(storeTimeout, func() {
		if p.remove(id) {
			p.refuse(reply, storeTimedOut)
		}
	})
	return func(r Response) {
		if p.remove(id) {
			reply(r)
		}
	}
}

// remove removes a reply, and reports whether it was still pending.
func (p *pendingReplies) remove(id uint64) bool {
	_, pending := p.byID[id]
	delete(p.byID, id)
	return pending
}

// failAll refuses all pending requests, in order of arrival.
func (p *pendingReplies) failAll() {
	for _, id := range slices.Sorted(maps.Keys(p.byID)) {
		reply := p.byID[id]
		delete(p.byID, id)
		p.refuse(reply, storeUnavailable)
	}
}
