package controller

// This file reports moves of running tasks to operators.

import (
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/migration"
	"opaldale/internal/settings"
)

// MoveReport is a report on moves of running tasks for operators.
type MoveReport struct {
	Node ident.NodeID       `json:"node"`
	Mode settings.Rebalance `json:"mode"`
	// Leader reports whether the moves come from the leader's memory, with their current states. Other nodes list the
	// moves that are recorded in the store.
	Leader bool        `json:"leads"`
	Moves  []MoveEntry `json:"moves"`
	// Truncated reports whether the store holds more moves than are listed.
	Truncated bool `json:"truncated,omitempty"`
	// Error is the reason why the moves could not be read; empty if they were read.
	Error string `json:"error,omitempty"`
}

// MoveEntry is one move in a MoveReport.
type MoveEntry struct {
	Task          string          `json:"task"`
	Team          string          `json:"team,omitempty"`
	From          ident.MachineID `json:"from"`
	To            ident.MachineID `json:"to"`
	For           string          `json:"for,omitempty"`
	Source        string          `json:"source"`
	State         string          `json:"state"`
	Reason        string          `json:"reason,omitempty"`
	AgeS          float64         `json:"age_s"`
	ExpectedGainS float64         `json:"expected_gain_s"`
	CostS         float64         `json:"cost_s"`
	// RealizedGainS is the observed gain of a move that has ended; nil until then.
	RealizedGainS *float64 `json:"realised_gain_s,omitempty"`
}

// stateRecorded is the state listed for a move that was read from the store. Only the leader knows its current state.
const stateRecorded = "recorded"

// MoveReport passes a report on moves to reply: a leader reports the moves in its memory, another node reads them from the
// store. reply is called once, during this call or in a later event.
func (c *Controller) MoveReport(reply func(MoveReport)) {
	report := MoveReport{Node: c.settings.Node, Mode: c.settings.Tuning.Rebalance, Moves: []MoveEntry{}}
	if l := c.leader; l != nil && l.loaded() && l.rebalancer != nil {
		report.Leader = true
		report.Moves = moveEntries(l.rebalancer.Moves(), c.env.Now())
		reply(report)
		return
	}
	if !c.pollLimiter.allow(c.env.Now(), 1) {
		report.Error = "too many questions at present"
		reply(report)
		return
	}
	list := kvstore.Request{Op: kvstore.List, Prefix: migration.Prefix, Timeout: storeTimeout}
	c.env.Store(list, func(r kvstore.Response) {
		if r.Outcome != kvstore.OK {
			report.Error = errStoreUnavailable.Error()
		}
		report.Truncated = r.Truncated
		for _, pair := range r.KeyValues {
			report.Moves = append(report.Moves, recordedMoves(pair, c.env.WallMS())...)
		}
		reply(report)
	})
}

// recordedMoves returns the moves in the stored record of one job.
func recordedMoves(pair kvstore.KeyValue, nowMS int64) []MoveEntry {
	record, err := migration.ReadRecord(pair.Value)
	if err != nil {
		slog.Error("unreadable move record in store", "path", pair.Key, "err", err)
		return nil
	}
	job := ident.JobID(pair.Key[len(migration.Prefix):])
	var out []MoveEntry
	for _, e := range record.Moves {
		age := time.Duration(max(0, nowMS-e.AtMS)) * time.Millisecond
		out = append(out, MoveEntry{
			Task:          ident.TaskID{Job: job, Index: e.Index}.String(),
			From:          e.From,
			To:            e.To,
			For:           e.BeneficiaryID,
			Source:        e.Purpose,
			State:         stateRecorded,
			AgeS:          age.Seconds(),
			ExpectedGainS: e.GainS,
			CostS:         e.CostS,
		})
	}
	return out
}

// moveEntries returns the entries for the moves in a leader's memory.
func moveEntries(moves []*migration.Move, now ident.MonotonicTime) []MoveEntry {
	out := []MoveEntry{}
	for _, move := range moves {
		entry := MoveEntry{
			Task:          move.Task.String(),
			Team:          move.Team,
			From:          move.From,
			To:            move.To,
			For:           move.Beneficiary(),
			Source:        move.Purpose.String(),
			State:         move.State.String(),
			Reason:        move.Reason.String(),
			AgeS:          now.Sub(move.StartedAt).Seconds(),
			ExpectedGainS: move.Gain.Seconds(),
			CostS:         move.Cost.Seconds(),
		}
		if move.State.Ended() {
			gain := move.RealizedGain().Seconds()
			entry.RealizedGainS = &gain
		}
		out = append(out, entry)
	}
	return out
}
