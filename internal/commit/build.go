package commit

import (
	"time"

	"opaldale/internal/kvstore"
)

// txn is one transaction. Its request never changes: a repetition is the same request, so the
// revisions that it compares let it be applied at most once.
type txn struct {
	documents  []*Document
	records    []inFlightRecord
	request    kvstore.Request
	uncertain  bool // a copy of it may have been applied, or may yet be
	retryDelay time.Duration
}

// hasUncertainKeys reports whether a transaction that was given up may yet change, or have
// changed, a key of this one.
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

// firstPut returns the first key that the transaction puts, or "" if it only deletes.
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
	size      int // estimated, in bytes
}

// add adds compares and mutations to the draft. valueBytes is the size of the values.
func (d *txnDraft) add(compares []kvstore.Compare, mutations []kvstore.Mutation, valueBytes int) {
	d.compares = append(d.compares, compares...)
	d.mutations = append(d.mutations, mutations...)
	d.size += mutationsBytes(mutations, valueBytes)
}

// fits reports whether compares and mutations can be added within the limits. An empty draft takes
// any: a transaction of one document can't be made smaller.
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

// buildTxn makes a transaction of queued content: records of the log first, then urgent documents
// and, if there is capacity to spare, others. It returns nil if nothing is queued.
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

// addLogRecords adds records with the pending entries of the log.
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

// addDocuments adds documents from the front of a queue as far as the limits allow, and returns
// the rest of the queue.
func (c *Committer) addDocuments(draft *txnDraft, queue []*Document, u urgency) []*Document {
	taken := 0
	for _, d := range queue {
		if d.queuedAs != u || d.state != dirty {
			taken++ // sent from the other queue
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
