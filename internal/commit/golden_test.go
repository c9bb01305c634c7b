package commit

import (
	"encoding/json"
	"fmt"
	"testing"

	"opaldale/internal/golden"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// goldenEntry is an entry with a fixed group and line.
type goldenEntry struct {
	document    *Document
	group, line string
	pin         Pin
}

func (e *goldenEntry) JSONLine() any              { return map[string]string{e.group: e.line} }
func (e *goldenEntry) Document() *Document        { return e.document }
func (e *goldenEntry) TextLine() (string, string) { return e.group, e.line }
func (e *goldenEntry) Pin() *Pin                  { return &e.pin }

// recordTransactions writes documents and log records, and returns a description of the transactions.
func recordTransactions(t *testing.T, useTextFormat bool) string {
	t.Helper()
	r := kvstoretest.NewRecordingStore()
	r.Revision = 100
	c := New(r, Limits{MutationsPerTxn: 16, MutationsPerSecond: 1e9, MaxValueBytes: 2048},
		kvstore.Compare{Key: "leader", Revision: 17}, func(err error) { t.Error(err) })
	if useTextFormat {
		c.UseTextFormat()
	}
	value := json.RawMessage(`{"first":1}`)
	first := &Document{Key: "docs/1", MustNotExist: []string{"over/1"}, Render: func() json.RawMessage { return value }}
	second := &Document{Key: "docs/2", Revision: 23, Render: func() json.RawMessage { return nil }}
	second.ExtraMutations = func() []kvstore.Mutation {
		return []kvstore.Mutation{{Put: "over/2", Value: json.RawMessage(`"second"`)}}
	}
	c.MarkDirty(first, nil)
	c.MarkDirty(second, nil)
	r.FlushAndRun(c)
	entries := []*goldenEntry{
		{document: first, group: "a", line: "0,1"},
		{document: first, group: "a", line: "1,2,+"},
		{document: first, group: "b", line: "2,3,host,4"},
	}
	for _, e := range entries {
		c.Append(e, nil)
	}
	r.FlushAndRun(c)
	c.Append(entries[1], nil)
	r.FlushAndRun(c)
	value = json.RawMessage(`{"first":2}`)
	c.MarkDirty(first, nil)
	r.FlushAndRun(c)
	return r.Requests()
}

// TestGoldenTransactions compares the transactions that write documents and log records with the golden file, for
// both formats of the log.
func TestGoldenTransactions(t *testing.T) {
	var d golden.Document
	for _, packed := range []bool{false, true} {
		d.Add(fmt.Sprintf("packed %v", packed), recordTransactions(t, packed))
	}
	d.JSON(t, "record of the log", golden.Filled[logRecord](0))
	d.Compare(t, "transactions")
}
