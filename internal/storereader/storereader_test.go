package storereader

import (
	"slices"
	"testing"
	"time"

	"opaldale/internal/kvstore"
)

// scriptedEnv responds to requests with a list of prepared responses, in order, and runs timers immediately.
type scriptedEnv struct {
	responses []kvstore.Response
	requests  []kvstore.Request
	waits     []time.Duration
}

func (e *scriptedEnv) After(d time.Duration, f func()) {
	e.waits = append(e.waits, d)
	f()
}

func (e *scriptedEnv) Store(r kvstore.Request, done func(kvstore.Response)) {
	e.requests = append(e.requests, r)
	next := e.responses[0]
	e.responses = e.responses[1:]
	done(next)
}

func neverClosed() bool { return false }

// TestGetRetries: a read is retried until the store returns the key or reports that the key does not exist.
func TestGetRetries(t *testing.T) {
	for _, final := range []kvstore.Outcome{kvstore.OK, kvstore.NotFound} {
		env := &scriptedEnv{responses: []kvstore.Response{
			{Outcome: kvstore.NoResponse}, {Outcome: kvstore.Unavailable}, {Outcome: kvstore.RateLimited}, {Outcome: final},
		}}
		var got []kvstore.Outcome
		New(env, neverClosed).Get("key", func(r kvstore.Response) { got = append(got, r.Outcome) })
		if !slices.Equal(got, []kvstore.Outcome{final}) {
			t.Errorf("outcomes %v, want only %v", got, final)
		}
		if want := []time.Duration{retryInterval, retryInterval, retryInterval}; !slices.Equal(env.waits, want) {
			t.Errorf("delays of the retries %v, want %v", env.waits, want)
		}
	}
}

// TestListAllPages: all pages are read, each starting after the last key of the previous page, and the read of a page
// is retried if it fails.
func TestListAllPages(t *testing.T) {
	page := func(truncated bool, keys ...string) kvstore.Response {
		r := kvstore.Response{Outcome: kvstore.OK, Truncated: truncated}
		for _, k := range keys {
			r.KeyValues = append(r.KeyValues, kvstore.KeyValue{Key: k})
		}
		return r
	}
	env := &scriptedEnv{responses: []kvstore.Response{
		page(true, "p/1", "p/2"), {Outcome: kvstore.NoResponse}, page(true, "p/3"), page(false, "p/4"),
	}}
	var got []string
	New(env, neverClosed).ListAll("p/", func(pairs []kvstore.KeyValue) {
		for _, p := range pairs {
			got = append(got, p.Key)
		}
	})
	if want := []string{"p/1", "p/2", "p/3", "p/4"}; !slices.Equal(got, want) {
		t.Errorf("keys %v, want %v", got, want)
	}
	var starts []string
	for _, r := range env.requests {
		starts = append(starts, r.StartAfter)
	}
	if want := []string{"", "p/2", "p/2", "p/3"}; !slices.Equal(starts, want) {
		t.Errorf("pages were requested after the keys %q, want %q", starts, want)
	}
}

// TestClosedReaderIsSilent: if the owner is closed before a response, the reader calls no callback and does not retry.
func TestClosedReaderIsSilent(t *testing.T) {
	for _, outcome := range []kvstore.Outcome{kvstore.OK, kvstore.NoResponse} {
		env := &scriptedEnv{responses: []kvstore.Response{{Outcome: outcome}}}
		New(env, func() bool { return true }).Get("key", func(kvstore.Response) {
			t.Errorf("outcome %v: got a call of the callback, want none", outcome)
		})
		if len(env.requests) != 1 || len(env.waits) != 0 {
			t.Errorf("outcome %v: %d requests, want 1; %d timers, want 0", outcome, len(env.requests), len(env.waits))
		}
	}
}
