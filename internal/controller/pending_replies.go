package controller

// This file holds replies that wait for the store, with their timeouts.

import (
	"maps"
	"slices"
	"time"
)

// pendingReplies holds the replies to requests that wait for the store. Each is answered once: by the request, or by a
// refusal when that takes too long.
type pendingReplies struct {
	after  func(time.Duration, func())
	refuse func(reply func(Response), reason refusal)
	byID   map[uint64]func(Response)
	lastID uint64
}

func newPendingReplies(after func(time.Duration, func()), refuse func(func(Response), refusal)) *pendingReplies {
	return &pendingReplies{after: after, refuse: refuse, byID: map[uint64]func(Response){}}
}

// withTimeout returns a reply to a request that waits for the store. The request is refused when the store doesn't
// answer in time; what the returned function is called with after that is dropped.
func (p *pendingReplies) withTimeout(reply func(Response)) func(Response) {
	p.lastID++
	id := p.lastID
	p.byID[id] = reply
	p.after(storeTimeout, func() {
		if p.remove(id) {
			p.refuse(reply, storeSlow)
		}
	})
	return func(r Response) {
		if p.remove(id) {
			reply(r)
		}
	}
}

// remove takes a reply out, and reports whether it was still pending.
func (p *pendingReplies) remove(id uint64) bool {
	_, pending := p.byID[id]
	delete(p.byID, id)
	return pending
}

// failAll refuses all requests that wait, for a store that doesn't answer.
func (p *pendingReplies) failAll() {
	for _, id := range slices.Sorted(maps.Keys(p.byID)) {
		reply := p.byID[id]
		delete(p.byID, id)
		p.refuse(reply, storeUnavailable)
	}
}
