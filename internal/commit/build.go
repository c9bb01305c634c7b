package commit

import (
	"time"

	"opaldale/internal/kvstore"
)

// txn is one transaction. Retries send the same request again. The compared revisions change when the request
// is applied, so that it is applied at most once.
type txn struct {
	documents  []*Document
	records    []inFlightRecord
	request    kvstore.Request
	uncertain  bool // an earlier copy had no response: it may have been applied, or may still be applied
	retryDelay time.Duration
}

// hasUncertainKeys reports whether an abandoned transaction may have changed, or may still change, a key of
// this transaction.
func (t *txn) hasUncertainKeys() bool {
	for _, d := range t.documents {
		if d.uncertain {
			return true
		}
	}
	for _, record := range t.records {
		if record.slot.uncertain {
			return true
		}
	}
	return false
}

// firstPut returns the first key that the transaction puts, or "" if it only deletes keys.
func (t *txn) firstPut() string {
	for _, mutation := range t.request.Mutations {
		if mutation.Put != "" {
			return mutation.Put
		}
	}
	return ""
}

// txnDraft is a transaction under construction.
type txnDraft struct {
	txn       *txn
	compares  []kvstore.Compare
	mutations []kvstore.Mutation
	size      int // estimated size of the request, in bytes
}

// add adds compares and mutations to the draft. valueBytes is the total size of the values.
func (d *txnDraft) add(compares []kvstore.Compare, mutations []kvstore.Mutation, valueBytes int) {
	d.compares = append(d.compares, compares...)
	d.mutations = append(d.mutations, mutations...)
	d.size += mutationsBytes(mutations, valueBytes)
}

// fits reports whether compares and mutations can be added within the limits. It returns true for an empty
// draft, because the mutations of one document cannot be split.
func (d *txnDraft) fits(l *limiter, compares []kvstore.Compare, mutations []kvstore.Mutation, valueBytes int) bool {
	if len(d.mutations) == 0 {
		return true
	}
	total := len(d.mutations) + len(mutations)
	return total <= l.limits.MutationsPerTxn &&
		float64(total) <= l.tokens &&
		len(d.compares)+len(compares) <= comparesPerMutation*l.limits.MutationsPerTxn &&
		d.size+mutationsBytes(mutations, valueBytes) <= maxTxnBytes
}

func mutationsBytes(mutations []kvstore.Mutation, valueBytes int) int {
	return valueBytes + mutationOverheadBytes*len(mutations)
}

// buildTxn builds a transaction from the queues: first records of the log, then urgent documents and, if there
// is spare capacity, lazy documents. It returns nil if there is nothing to send.
func (c *Committer) buildTxn() *txn {
	draft := &txnDraft{txn: &txn{retryDelay: initialRetryDelay}, compares: []kvstore.Compare{c.leaderCompare}}
	c.addLogRecords(draft)
	c.urgentQueue = c.addDocuments(draft, c.urgentQueue, urgent)
	if len(c.urgentQueue) == 0 && c.limiter.hasSpareTokens() {
		c.lazyQueue = c.addDocuments(draft, c.lazyQueue, lazy)
	}
	if len(draft.txn.documents) == 0 && len(draft.txn.records) == 0 {
		return nil
	}
	draft.txn.request = kvstore.Request{
		Op:        kvstore.Txn,
		Compares:  draft.compares,
		Mutations: draft.mutations,
		Timeout:   txnTimeout,
	}
	return draft.txn
}

// addLogRecords adds up to maxRecordsPerTxn records with pending entries of the log.
func (c *Committer) addLogRecords(draft *txnDraft) {
	limits := c.limiter.limits
	maxRecords := min(maxRecordsPerTxn, limits.MutationsPerTxn)
	for len(draft.txn.records) < maxRecords && len(c.log.pending) > 0 {
		record, value := c.log.takeRecord(c.port.Now(), limits.MaxValueBytes)
		draft.txn.records = append(draft.txn.records, record)
		draft.add(
			[]kvstore.Compare{{Key: record.slot.key, Revision: record.slot.revision}},
			[]kvstore.Mutation{{Put: record.slot.key, Value: value}},
			len(value))
	}
}

// addDocuments adds documents from the front of a queue until the next one exceeds the limits, and returns the
// rest of the queue.
func (c *Committer) addDocuments(draft *txnDraft, queue []*Document, u urgency) []*Document {
	taken := 0
	for _, d := range queue {
		if d.queuedAs != u || d.state != dirty {
			taken++ // already sent from the other queue
			continue
		}
		mutations, valueBytes := d.mutations()
		compares := d.compares()
		if !draft.fits(&c.limiter, compares, mutations, valueBytes) {
			break
		}
		taken++
		draft.add(compares, mutations, valueBytes)
		d.markSent(c.LSN())
		draft.txn.documents = append(draft.txn.documents, d)
	}
	return append(queue[:0], queue[taken:]...)
}
