package workers

import (
	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// fencing is the state of a worker's fencing token in this term. A worker refuses commands whose
// token is lower than the highest that it has seen.
type fencing struct {
	count uint32             // how often the token was raised in this term
	sent  ident.FencingToken // token in the newest response to a heartbeat of this term
}

func (f *fencing) token(term ident.Term) ident.FencingToken {
	return ident.MakeFencingToken(term, f.count)
}

// raise fences off a command without a response: it may be carried out at any later time, until
// the worker has seen a higher token.
func (f *fencing) raise() { f.count++ }

// raiseAbove raises the token above one of the same term.
func (f *fencing) raiseAbove(token ident.FencingToken, term ident.Term) {
	f.count = uint32(token-ident.MakeFencingToken(term, 0)) + 1
}

// fencingToken returns the token for commands to a worker.
func (tb *Table) fencingToken(w *Worker) ident.FencingToken { return w.fencing.token(tb.cfg.Term) }

// hasCurrentToken reports whether a heartbeat has the newest token of its worker. Then no earlier
// command can be carried out any more.
func (tb *Table) hasCurrentToken(w *Worker, heartbeat *api.Heartbeat) bool {
	return heartbeat.FencingToken == tb.fencingToken(w)
}
