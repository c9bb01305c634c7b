package commit

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"opaldale/internal/golden"
	"opaldale/internal/statesvc"
	"opaldale/internal/statetest"
)

// recorder is a state service that keeps the requests that came, in words.
type recorder struct {
	*statetest.Queue
	requests strings.Builder
}

func (r *recorder) State(q statesvc.Request, f func(statesvc.Reply)) {
	r.requests.WriteString(statetest.Describe(q))
	r.Queue.State(q, f)
}

// goldenEntry is a small part of a document.
type goldenEntry struct {
	home        *Doc
	group, line string
	pin         Pin
}

func (e *goldenEntry) Line() any              { return map[string]string{e.group: e.line} }
func (e *goldenEntry) Home() *Doc             { return e.home }
func (e *goldenEntry) Text() (string, string) { return e.group, e.line }
func (e *goldenEntry) Pin() *Pin              { return &e.pin }

// TestGoldenTransactions pins the transactions in which documents and records of the log are
// written, in either format of the log.
func TestGoldenTransactions(t *testing.T) {
	var d golden.Document
	for _, packed := range []bool{false, true} {
		r := &recorder{Queue: statetest.NewQueue(statetest.New())}
		r.Ledger = 100
		c := New(r, Limits{Ops: 16, PerSecond: 1e9, ValueBytes: 2048}, statesvc.Cond{Path: "leader", Stamp: 17}, func(why string) { t.Error(why) })
		if packed {
			c.Pack()
		}
		settle := func() {
			c.Flush()
			r.Run()
		}
		value := json.RawMessage(`{"first":1}`)
		first := &Doc{Path: "docs/1", Absent: []string{"over/1"}, Render: func() json.RawMessage { return value }}
		second := &Doc{Path: "docs/2", Stamp: 23, Render: func() json.RawMessage { return nil }}
		second.Also = func() []statesvc.Change {
			return []statesvc.Change{{Put: "over/2", Value: json.RawMessage(`"second"`)}}
		}
		c.Mark(first, nil)
		c.Mark(second, nil)
		settle()
		entries := []*goldenEntry{{home: first, group: "a", line: "0,1"}, {home: first, group: "a", line: "1,2,+"}, {home: first, group: "b", line: "2,3,host,4"}}
		for _, e := range entries {
			c.Append(e, nil)
		}
		settle()
		c.Append(entries[1], nil)
		settle()
		value = json.RawMessage(`{"first":2}`)
		c.Mark(first, nil)
		settle()
		d.Add(fmt.Sprintf("packed %v", packed), r.requests.String())
	}
	d.JSON(t, "record of the log", golden.Filled[record](0))
	d.Compare(t, "transactions")
}
