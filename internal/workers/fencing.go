package workers

import (
	"slices"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// fencing is the state of a worker's fencing token in this term. A worker rejects commands whose token
// is lower than the highest token that it has seen. An attempt that the worker has cleared could be started again
// by a late copy of the call that launched it, so its clear command is sent only with a higher token than that
// call had.
type fencing struct {
	count    uint32             // number of times the token was raised in this term
	launched []taskAttempt      // attempts that calls with the current token launch
	lastSent ident.FencingToken // token in the latest response to a heartbeat in this term
}

func (f *fencing) token(term ident.Term) ident.FencingToken {
	return ident.MakeFencingToken(term, f.count)
}

// raise increments the token. The worker may execute a call that was sent with an earlier token, or a copy of
// one, at any later time until it has seen the raised token. raise returns false if the term has no higher token.
func (f *fencing) raise() bool {
	if f.count >= ident.MaxTokenCounter {
		return false
	}
	f.count++
	f.forgetLaunches()
	return true
}

// forgetLaunches is called when the token or the incarnation of the worker has become newer than that of all calls sent so far.
func (f *fencing) forgetLaunches() { f.launched = f.launched[:0] }

// adopt sets the token to a given one of the same term.
func (f *fencing) adopt(token ident.FencingToken, term ident.Term) {
	f.count = uint32(token - ident.MakeFencingToken(term, 0))
}

// recordLaunches records the launch commands of a call with the current token.
func (f *fencing) recordLaunches(commands []api.Command) {
	for _, command := range commands {
		if command.Verb == api.Launch {
			f.launched = append(f.launched, targetOf(command))
		}
	}
}

// clearRequiresRaise reports whether the token must be raised before an attempt is cleared.
func (f *fencing) clearRequiresRaise(attempt taskAttempt) bool {
	return slices.Contains(f.launched, attempt)
}

// FencingToken returns the newest fencing token of this term for commands to a worker.
func (tb *Table) FencingToken(w *Worker) ident.FencingToken { return w.fencing.token(tb.cfg.Term) }

// raiseToken raises a worker's fencing token, or ends the term if it has no higher token.
func (tb *Table) raiseToken(w *Worker) {
	if !w.fencing.raise() {
		tb.cfg.OnTokensExhausted()
	}
}

// raiseTokenForClears raises a worker's fencing token if a clear command among the given ones requires it.
func (tb *Table) raiseTokenForClears(w *Worker, commands []api.Command) {
	required := slices.ContainsFunc(commands, func(command api.Command) bool {
		return command.Verb == api.Clear && w.fencing.clearRequiresRaise(targetOf(command))
	})
	if required {
		tb.ClearFences++
		tb.raiseToken(w)
	}
}

// mayClearByResponse reports whether the response to a heartbeat may clear an attempt. If that requires a raised
// token, the worker would reject the call in flight.
func (w *Worker) mayClearByResponse(attempt taskAttempt) bool {
	return !w.commands.callInFlight() || !w.fencing.clearRequiresRaise(attempt)
}

// hasCurrentToken reports whether a heartbeat carries the newest token issued to its worker. If it does,
// the worker can no longer execute commands sent with an earlier token.
func (tb *Table) hasCurrentToken(w *Worker, heartbeat *api.Heartbeat) bool {
	return heartbeat.FencingToken == tb.FencingToken(w)
}
