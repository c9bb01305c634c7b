package fleet

import (
	"log/slog"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/workers"
)

const (
	// maxTerminateBatch bounds the number of machines in one termination request.
	maxTerminateBatch = 100
	// A failed termination request is retried with exponential backoff between these bounds.
	minTerminateBackoff = 300 * time.Millisecond
	maxTerminateBackoff = 5 * time.Second
)

// terminator requests the termination of machines from the provider.
type terminator struct {
	requester *requester
	machines  *workers.Table
	counters  *Counters
	pending   []*workers.Worker // machines for which no request has been sent yet
}

// terminate marks a machine as terminating and queues it for the next request.
func (t *terminator) terminate(w *workers.Worker, reason workers.Reason) {
	if w.State == workers.Terminating || w.State == workers.Terminated {
		return
	}
	slog.Info("terminating machine", "machine", w.ID, "reason", reason, "tasks", len(w.Tasks))
	t.machines.MarkTerminating(w, reason)
	t.pending = append(t.pending, w)
}

// flush requests the queued terminations in batches, until all are requested or the rate limit is reached.
func (t *terminator) flush() {
	for len(t.pending) > 0 && t.requester.acquire() {
		size := min(len(t.pending), maxTerminateBatch)
		batch := t.pending[:size:size]
		t.pending = t.pending[size:]
		t.send(batch, minTerminateBackoff)
	}
}

// send requests the termination of a batch of machines, and retries until the provider confirms it.
func (t *terminator) send(batch []*workers.Worker, backoff time.Duration) {
	request := cloud.Request{Op: cloud.Terminate}
	for _, w := range batch {
		request.MachineIDs = append(request.MachineIDs, w.ID)
	}
	t.requester.call(request, func(response cloud.Response) {
		if response.Outcome != cloud.OK {
			slog.Warn("machine termination failed, will retry", "machines", len(batch), "err", response.Error)
			t.requester.retryAfter(backoff, func() { t.send(batch, min(2*backoff, maxTerminateBackoff)) })
			return
		}
		for _, w := range batch {
			t.counters.Terminated++
			t.machines.MarkTerminated(w, workers.ReasonTerminated)
		}
	})
}
