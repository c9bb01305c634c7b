package controller

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"opaldale/internal/ident"
)

// TestPendingRepliesAnswerOnce: a request is answered once, by the first of its response, its timeout and a store failure.
func TestPendingRepliesAnswerOnce(t *testing.T) {
	const done, slow, failed = http.StatusOK, http.StatusGatewayTimeout, http.StatusServiceUnavailable
	for _, x := range []struct {
		name string
		run  func(*fakeEnv, *pendingReplies, func(Response))
		want []int
	}{
		{"answered in time", func(env *fakeEnv, _ *pendingReplies, reply func(Response)) {
			reply(Response{Status: done})
			env.Advance(2 * storeTimeout)
		}, []int{done}},
		{"answered too late", func(env *fakeEnv, _ *pendingReplies, reply func(Response)) {
			env.Advance(2 * storeTimeout)
			reply(Response{Status: done})
		}, []int{slow}},
		{"answered after the store has failed", func(env *fakeEnv, p *pendingReplies, reply func(Response)) {
			p.failAll()
			reply(Response{Status: done})
			env.Advance(2 * storeTimeout)
		}, []int{failed}},
	} {
		t.Run(x.name, func(t *testing.T) {
			env := newFakeEnv(ident.MonotonicTime(time.Hour))
			refuse := func(reply func(Response), reason refusal) {
				if reason == storeTimedOut {
					reply(Response{Status: slow})
				} else {
					reply(Response{Status: failed})
				}
			}
			p := newPendingReplies(env.After, refuse)
			var got []int
			x.run(env, p, p.withTimeout(func(r Response) { got = append(got, r.Status) }))
			if !slices.Equal(got, x.want) {
				t.Errorf("replies: got statuses %v, want %v", got, x.want)
			}
		})
	}
}
