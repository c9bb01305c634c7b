package migration

import (
	"testing"
	"time"

	"opaldale/internal/commit"
	"opaldale/internal/golden"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
	"opaldale/internal/rebalance"
)

// TestGoldenHistory pins the keys and values of the stored records of moves.
func TestGoldenHistory(t *testing.T) {
	r := kvstoretest.NewRecordingStore()
	c := commit.New(r, testLimits, kvstore.Compare{Key: "leader", Revision: 61}, func(err error) { t.Error(err) })
	h := NewHistory(c, func() int64 { return 1_700_000_000_123 })
	move := rebalance.Move{
		Purpose:        rebalance.FreesCapacity,
		Task:           ident.TaskID{Job: "j-11", Index: 5},
		Team:           "red",
		From:           "host-1",
		To:             "host-2",
		BeneficiaryID:  ident.TaskID{Job: "j-12", Index: 6},
		ExpectedWait:   71 * time.Second,
		Gain:           72500 * time.Millisecond,
		Cost:           73250 * time.Millisecond,
		CheckpointTime: 74 * time.Second,
		ImagePullTime:  75 * time.Second,
	}
	for _, purpose := range []rebalance.Purpose{rebalance.FreesCapacity, rebalance.LeavesSlowMachine} {
		move.Purpose = purpose
		h.RecordMove(&Move{Move: move, Attempt: 8}, nil)
		r.FlushAndRun(c)
	}
	h.Forget("j-11")
	r.FlushAndRun(c)
	var d golden.Document
	d.Add("requests", r.Requests())
	golden.RoundTrip(t, &d, "record", golden.Filled[Record](0))
	d.Compare(t, "history")
}
