package commit

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"opaldale/internal/golden"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// recorder is a state service that keeps the requests that came, in words.
type recorder struct {
	*kvstoretest.SteppedStore
	requests strings.Builder
}

func (r *recorder) Store(q kvstore.Request, f func(kvstore.Response)) {
	r.requests.WriteString(kvstoretest.Describe(q))
	r.SteppedStore.Store(q, f)
}

// goldenEntry is a small part of a document.
type goldenEntry struct {
	home        *Document
	group, line string
	pin         Pin
}

func (e *goldenEntry) JSONLine() any              { return map[string]string{e.group: e.line} }
func (e *goldenEntry) Document() *Document        { return e.home }
func (e *goldenEntry) TextLine() (string, string) { return e.group, e.line }
func (e *goldenEntry) Pin() *Pin                  { return &e.pin }

// TestGoldenTransactions pins the transactions in which documents and records of the log are
// written, in either format of the log.
func TestGoldenTransactions(t *testing.T) {
	var d golden.Document
	for _, packed := range []bool{false, true} {
		r := &recorder{SteppedStore: kvstoretest.NewSteppedStore(kvstoretest.NewMemoryStore())}
		r.Revision = 100
		c := New(r, Limits{MutationsPerTxn: 16, MutationsPerSecond: 1e9, MaxValueBytes: 2048}, kvstore.Compare{Key: "leader", Revision: 17}, func(err error) { t.Error(err) })
		if packed {
			c.UseTextFormat()
		}
		settle := func() {
			c.Flush()
			r.Run()
		}
		value := json.RawMessage(`{"first":1}`)
		first := &Document{Key: "docs/1", MustNotExist: []string{"over/1"}, Render: func() json.RawMessage { return value }}
		second := &Document{Key: "docs/2", Revision: 23, Render: func() json.RawMessage { return nil }}
		second.ExtraMutations = func() []kvstore.Mutation {
			return []kvstore.Mutation{{Put: "over/2", Value: json.RawMessage(`"second"`)}}
		}
		c.MarkDirty(first, nil)
		c.MarkDirty(second, nil)
		settle()
		entries := []*goldenEntry{{home: first, group: "a", line: "0,1"}, {home: first, group: "a", line: "1,2,+"}, {home: first, group: "b", line: "2,3,host,4"}}
		for _, e := range entries {
			c.Append(e, nil)
		}
		settle()
		c.Append(entries[1], nil)
		settle()
		value = json.RawMessage(`{"first":2}`)
		c.MarkDirty(first, nil)
		settle()
		d.Add(fmt.Sprintf("packed %v", packed), r.requests.String())
	}
	d.JSON(t, "record of the log", golden.Filled[logRecord](0))
	d.Compare(t, "transactions")
}
