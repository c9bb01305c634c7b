// Package storereader reads from the key-value store and retries failed reads, for callers that can't proceed without the
// data.
package storereader

import (
	"time"

	"opaldale/internal/kvstore"
)

const (
	getTimeout    = time.Second
	listTimeout   = 3 * time.Second
	retryInterval = 200 * time.Millisecond
)

// Env provides timers and sends requests to the key-value store.
type Env interface {
	After(time.Duration, func())
	Store(kvstore.Request, func(kvstore.Response))
}

// Reader reads from the key-value store. It retries each read until it succeeds or the reader's owner is closed.
type Reader struct {
	env    Env
	closed func() bool
}

// New returns a reader. Once closed returns true, the reader calls no callbacks, and sends no requests for retries or for
// further pages of a list. It does not call closed before the first request of a read.
func New(env Env, closed func() bool) *Reader { return &Reader{env: env, closed: closed} }

// Get reads a key, and calls done with the response, whose outcome is either kvstore.OK or kvstore.NotFound.
func (r *Reader) Get(key string, done func(kvstore.Response)) {
	r.read(kvstore.Request{Op: kvstore.Get, Key: key, Timeout: getTimeout}, done)
}

// ListAll reads all keys with a prefix, page by page, and calls done with them in the order in which the store lists them.
func (r *Reader) ListAll(prefix string, done func([]kvstore.KeyValue)) {
	var all []kvstore.KeyValue
	var listAfter func(lastKey string)
	listAfter = func(lastKey string) {
		request := kvstore.Request{Op: kvstore.List, Prefix: prefix, StartAfter: lastKey, Timeout: listTimeout}
		r.read(request, func(page kvstore.Response) {
			all = append(all, page.KeyValues...)
			if page.Truncated && len(page.KeyValues) > 0 {
				listAfter(page.KeyValues[len(page.KeyValues)-1].Key)
				return
			}
			done(all)
		})
	}
	listAfter("")
}

// read sends a request, and retries until the outcome is kvstore.OK or kvstore.NotFound. It then calls done.
func (r *Reader) read(request kvstore.Request, done func(kvstore.Response)) {
	r.env.Store(request, func(response kvstore.Response) {
		switch {
		case r.closed():
		case response.Outcome == kvstore.OK || response.Outcome == kvstore.NotFound:
			done(response)
		default:
			r.env.After(retryInterval, func() {
				if !r.closed() {
					r.read(request, done)
				}
			})
		}
	})
}
