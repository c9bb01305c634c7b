package workers

import (
	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// fencing is the state of a worker's fencing token in this term. A worker rejects commands whose token
// is lower than the highest token that it has seen.
type fencing struct {
	count    uint32             // number of times the token was raised in this term
	lastSent ident.FencingToken // token in the latest response to a heartbeat in this term
}

func (f *fencing) token(term ident.Term) ident.FencingToken {
	return ident.MakeFencingToken(term, f.count)
}

// raise increments the token after a command without a response. The worker may execute such a command
// at any later time, until it has seen a higher token.
func (f *fencing) raise() { f.count++ }

// raiseAbove sets the token to one more than the given token of the same term.
func (f *fencing) raiseAbove(token ident.FencingToken, term ident.Term) {
	f.count = uint32(token-ident.MakeFencingToken(term, 0)) + 1
}

// FencingToken returns the newest fencing token of this term for commands to a worker.
func (tb *Table) FencingToken(w *Worker) ident.FencingToken { return w.fencing.token(tb.cfg.Term) }

// hasCurrentToken reports whether a heartbeat carries the newest token issued to its worker. If it does,
// the worker can no longer execute commands sent with an earlier token.
func (tb *Table) hasCurrentToken(w *Worker, heartbeat *api.Heartbeat) bool {
	return heartbeat.FencingToken == tb.FencingToken(w)
}
