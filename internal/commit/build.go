package commit

import (
	"encoding/json"
	"strings"

	"opaldale/internal/kvstore"
)

// queuedEntry is an entry in a record that is under way.
type queuedEntry struct {
	entry     Entry
	callbacks []func()
}

// txnDraft is a transaction while it is put together.
type txnDraft struct {
	txn       *txn
	compares  []kvstore.Compare
	mutations []kvstore.Mutation
	size      int
}

func (c *Committer) buildTxn() *txn {
	draft := &txnDraft{txn: &txn{retryDelay: initialRetryDelay}, compares: []kvstore.Compare{c.leaderCompare}}
	draft.txn.textFormat = c.textFormat
	c.addLogRecords(draft)
	c.urgentQueue = c.addDocuments(draft, c.urgentQueue, urgent)
	if len(c.urgentQueue) == 0 && c.hasSpareTokens() {
		c.lazyQueue = c.addDocuments(draft, c.lazyQueue, lazy)
	}
	if len(draft.txn.documents) == 0 && len(draft.txn.slots) == 0 {
		return nil
	}
	draft.txn.request = kvstore.Request{Op: kvstore.Txn, Compares: draft.compares, Mutations: draft.mutations, Timeout: txnTimeout}
	return draft.txn
}

// addLogRecords packs the lines that wait into records.
func (c *Committer) addLogRecords(draft *txnDraft) {
	for n := 0; n < min(maxRecordsPerTxn, c.limits.MutationsPerTxn) && len(c.pendingEntries) > 0; n++ {
		c.lastLSN++
		c.lastRecordAt = c.port.Now()
		c.LogRecords++
		record := logRecord{LSN: c.lastLSN}
		var batch []Entry
		if c.textFormat {
			batch = c.fillText(&record)
		} else {
			linesPerRecord := max(1, (c.limits.MaxValueBytes-64)/MaxLineBytes)
			batch = c.pendingEntries[:min(linesPerRecord, len(c.pendingEntries))]
			for _, e := range batch {
				record.Lines = append(record.Lines, e.JSONLine())
			}
		}
		c.pendingEntries = c.pendingEntries[len(batch):]
		queued := make([]queuedEntry, len(batch))
		for i, e := range batch {
			queued[i] = queuedEntry{e, c.entryCallbacks[e]}
			delete(c.entryCallbacks, e)
		}
		value, err := json.Marshal(record)
		if err != nil {
			panic(err)
		}
		slot := c.allocateSlot()
		slot.lsn = c.lastLSN
		c.inFlightLSNs[c.lastLSN] = true
		draft.txn.slots = append(draft.txn.slots, slot)
		draft.txn.entries = append(draft.txn.entries, queued)
		draft.compares = append(draft.compares, kvstore.Compare{Key: slot.key, Revision: slot.revision})
		draft.mutations = append(draft.mutations, kvstore.Mutation{Put: slot.key, Value: value})
		draft.size += len(value) + mutationOverheadBytes
	}
	if len(c.pendingEntries) == 0 {
		c.pendingEntries = nil
	}
}

// fillText fills a record with lines of text, as many as surely fit into a value, and
// returns their entries.
func (c *Committer) fillText(record *logRecord) []Entry {
	const envelope = 64 // the record without its text
	var text strings.Builder
	lastGroup, count, size := "", 0, envelope
	for _, e := range c.pendingEntries {
		group, line := e.TextLine()
		added := len(line) + 1
		if group != lastGroup {
			added += len(group) + 2 // the end of a line takes two bytes in JSON
		}
		if count > 0 && size+added > c.limits.MaxValueBytes {
			break
		}
		if group != lastGroup {
			if count > 0 {
				text.WriteByte('\n')
			}
			text.WriteString(group)
			lastGroup = group
		}
		text.WriteByte(' ')
		text.WriteString(line)
		size += added
		count++
	}
	record.Text = text.String()
	return c.pendingEntries[:count]
}

// ParseText calls f for each line of a record's text.
func ParseText(text string, visit func(group, line string) error) error {
	for len(text) > 0 {
		var groupLine string
		groupLine, text, _ = strings.Cut(text, "\n")
		group, rest, _ := strings.Cut(groupLine, " ")
		for len(rest) > 0 {
			var line string
			line, rest, _ = strings.Cut(rest, " ")
			if err := visit(group, line); err != nil {
				return err
			}
		}
	}
	return nil
}

// addDocuments adds documents from the front of a queue as far as the limits allow,
// and returns the rest of it.
func (c *Committer) addDocuments(draft *txnDraft, queue []*Document, u urgency) []*Document {
	taken := 0
	for _, d := range queue {
		if d.queuedAs != u || d.state != dirty {
			taken++ // went with the other queue
			continue
		}
		var mutations []kvstore.Mutation
		value := d.Render()
		if value == nil {
			if d.Revision != 0 {
				mutations = append(mutations, kvstore.Mutation{Delete: d.Key})
			}
		} else {
			mutations = append(mutations, kvstore.Mutation{Put: d.Key, Value: value})
		}
		if d.ExtraMutations != nil {
			mutations = append(mutations, d.ExtraMutations()...)
		}
		added := len(value) + mutationOverheadBytes*len(mutations)
		if len(draft.mutations) > 0 && (len(draft.mutations)+len(mutations) > c.limits.MutationsPerTxn || draft.size+added > maxTxnBytes ||
			float64(len(draft.mutations)+len(mutations)) > c.rateTokens || len(draft.compares)+len(d.MustNotExist)+1 > 4*c.limits.MutationsPerTxn) {
			break
		}
		taken++
		draft.size += added
		draft.compares = append(draft.compares, kvstore.Compare{Key: d.Key, Revision: d.Revision})
		for _, key := range d.MustNotExist {
			draft.compares = append(draft.compares, kvstore.Compare{Key: key})
		}
		draft.mutations = append(draft.mutations, mutations...)
		d.inFlightCallbacks, d.pendingCallbacks = d.pendingCallbacks, nil
		d.renderedLSN = c.LSN()
		d.queuedAs = notQueued
		d.setState(inFlight)
		draft.txn.documents = append(draft.txn.documents, d)
	}
	return append(queue[:0], queue[taken:]...)
}
