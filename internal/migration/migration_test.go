package migration

import (
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/propertytest"
	"opaldale/internal/rebalance"
)

func TestMain(m *testing.M) { os.Exit(propertytest.Main(m)) }

const (
	source      = ident.MachineID("host-1")
	destination = ident.MachineID("host-2")
)

// proposal returns a proposed move from source to destination, for a beneficiary that would wait a minute.
func proposal() rebalance.Move {
	return rebalance.Move{
		Task:           ident.TaskID{Job: "j-1"},
		From:           source,
		To:             destination,
		BeneficiaryID:  ident.TaskID{Job: "j-9"},
		ExpectedWait:   time.Minute,
		Gain:           50 * time.Second,
		Cost:           4 * time.Second,
		CheckpointTime: time.Second,
		ImagePullTime:  2 * time.Second,
	}
}

// observationAt returns an observation of a task, with no reason to abandon its move.
func observationAt(task jobs.State, attempt ident.Attempt, machine ident.MachineID) Observation {
	return Observation{
		JobOpen:            true,
		Task:               task,
		Attempt:            attempt,
		Machine:            machine,
		BeneficiaryWaiting: true,
		HasAuthority:       true,
		LinksHealthy:       true,
		TeamAllows:         true,
	}
}

// moveHarness moves one move through its states.
type moveHarness struct {
	table *Table
	move  *Move
	now   ident.MonotonicTime
}

// newMoveHarness returns a harness with a new move of a task in its third attempt.
func newMoveHarness() *moveHarness {
	h := &moveHarness{table: NewTable(DefaultConfig(time.Second)), now: ident.MonotonicTime(time.Hour)}
	h.move = h.table.Begin(proposal(), 3, h.now)
	return h
}

// advance advances the clock by d and the table with an observation, and returns the kinds of the effects.
func (h *moveHarness) advance(d time.Duration, o Observation) []EffectKind {
	h.now = h.now.Add(d)
	var kinds []EffectKind
	for _, e := range h.table.Advance(h.now, func(*Move) Observation { return o }) {
		kinds = append(kinds, e.Kind)
	}
	return kinds
}

// advanceTo advances the move to a state by observations without a reason to abandon it.
func (h *moveHarness) advanceTo(s State) *moveHarness {
	if s >= Stopping {
		h.table.MarkRecorded(h.move)
		h.advance(time.Millisecond, observationAt(jobs.Assigned, 3, source))
	}
	if s >= Stopped {
		o := observationAt(jobs.Waiting, 3, "")
		o.HasAuthority = s > Stopped
		h.advance(time.Second, o)
	}
	return h
}

// TestSuccessfulMove: a move is recorded, its task is stopped, placed once it no longer runs on the source,
// and runs on the destination.
func TestSuccessfulMove(t *testing.T) {
	h := newMoveHarness()
	for i, step := range []struct {
		record      bool
		observation Observation
		want        []EffectKind
		state       State
	}{
		{false, observationAt(jobs.Assigned, 3, source), nil, Proposed},
		{true, observationAt(jobs.Assigned, 3, source), []EffectKind{StopTask}, Stopping},
		{false, observationAt(jobs.Stopping, 3, source), nil, Stopping},
		{false, observationAt(jobs.Waiting, 3, ""), []EffectKind{PlaceTask}, Placing},
		{false, observationAt(jobs.Placing, 4, destination), nil, Placing},
		{false, observationAt(jobs.Assigned, 4, destination), nil, Placing},
	} {
		if step.record {
			h.table.MarkRecorded(h.move)
		}
		if got := h.advance(100*time.Millisecond, step.observation); !slices.Equal(got, step.want) || h.move.State != step.state {
			t.Fatalf("step %d: got effects %v, state %s; want %v, %s", i, got, h.move.State, step.want, step.state)
		}
	}
	o := observationAt(jobs.Assigned, 4, destination)
	o.TaskRunning = true
	got := h.advance(time.Second, o)
	if !slices.Equal(got, []EffectKind{ReleaseReservation, ReportEnd}) || h.move.Reason != Arrived || len(h.table.Active()) > 0 {
		t.Fatalf("got effects %v, state %s, reason %q, %d active moves; want %v, reason %q, 0 active moves",
			got, h.move.State, h.move.Reason, len(h.table.Active()), []EffectKind{ReleaseReservation, ReportEnd}, Arrived)
	}
	o.BeneficiaryPlaced = true
	h.advance(time.Second, o)
	if got := h.table.TotalGain; got != h.move.RealizedGain() || got < 45*time.Second || got > time.Minute {
		t.Errorf("got total gain %v, want the realized gain %v, between 45s and 1m", got, h.move.RealizedGain())
	}
}

// with returns a copy of an observation to which change was applied.
func with(o Observation, change func(*Observation)) Observation {
	change(&o)
	return o
}

// Changes of an observation that may be reasons to abandon a move.
var (
	closed            = func(o *Observation) { o.JobOpen = false }
	unauthorized      = func(o *Observation) { o.HasAuthority = false }
	unschedulable     = func(o *Observation) { o.Destination = DestinationUnschedulable }
	full              = func(o *Observation) { o.Destination = DestinationFull }
	linkSuspected     = func(o *Observation) { o.LinksHealthy = false }
	recovered         = func(o *Observation) { o.DemandRecovered = true }
	noneWaiting       = func(o *Observation) { o.BeneficiaryWaiting = false }
	atLimit           = func(o *Observation) { o.TeamAllows = false }
	reportedElsewhere = func(o *Observation) { o.ReportedElsewhere = true }
)

// TestAbandoned: an observation that is a reason for abandoning a move in its state ends the move for that
// reason, and releases its reservations.
func TestAbandoned(t *testing.T) {
	here := observationAt(jobs.Assigned, 3, source)
	leaving := observationAt(jobs.Stopping, 3, source)
	gone := observationAt(jobs.Waiting, 3, "")
	there := observationAt(jobs.Assigned, 4, destination)
	for _, c := range []struct {
		name  string
		state State
		after time.Duration
		see   Observation
		want  Reason
	}{
		{"it completes", Proposed, 0, observationAt(jobs.Completed, 3, ""), TaskCompleted},
		{"its job is cancelled", Proposed, 0, with(here, closed), JobClosed},
		{"it is stopped by something else", Proposed, 0, leaving, TaskChanged},
		{"it was placed anew", Proposed, 0, observationAt(jobs.Assigned, 4, source), TaskChanged},
		{"the node has no authority", Proposed, 0, with(here, unauthorized), AuthorityLost},
		{"a link is suspected", Proposed, 0, with(here, linkSuspected), LinkSuspected},
		{"the destination is unschedulable", Proposed, 0, with(here, unschedulable), DestinationClosed},
		{"the destination is full", Proposed, 0, with(here, full), DestinationTaken},
		{"an overloaded team recovers", Proposed, 0, with(here, recovered), TeamRecovered},
		{"the beneficiary waits no longer", Proposed, 0, with(here, noneWaiting), NotNeeded},
		{"the record is late", Proposed, 3 * time.Second, here, RecordOverdue},
		{"it completes as it is stopped", Stopping, 0, observationAt(jobs.Completed, 3, ""), TaskCompleted},
		{"its job is cancelled meanwhile", Stopping, 0, with(leaving, closed), JobClosed},
		{"the destination is lost meanwhile", Stopping, 0, with(leaving, unschedulable), DestinationClosed},
		{"the stop is not confirmed in time", Stopping, 5 * time.Second, leaving, StopOverdue},
		{"something else placed it", Stopping, 0, observationAt(jobs.Placing, 4, "host-3"), TaskChanged},
		{"its job is cancelled after the stop", Stopped, 0, with(gone, closed), JobClosed},
		{"the destination is lost after the stop", Stopped, 0, with(gone, unschedulable), DestinationClosed},
		{"the destination is full after the stop", Stopped, 0, with(gone, full), DestinationTaken},
		{"its team is at its limit", Stopped, 0, with(gone, atLimit), TeamAtLimit},
		{"it can't be placed in time", Stopped, 6 * time.Second, with(gone, unauthorized), PlacementOverdue},
		{"another machine still reports it", Stopped, 6 * time.Second, with(gone, reportedElsewhere), PlacementOverdue},
		{"it is placed by something else", Stopped, 0, observationAt(jobs.Placing, 4, "host-3"), TaskChanged},
		{"it is lost at the destination", Placing, 0, observationAt(jobs.Waiting, 4, ""), LostAtDestination},
		{"it is placed elsewhere", Placing, 0, observationAt(jobs.Assigned, 5, "host-3"), LostAtDestination},
		{"its job is cancelled as it starts", Placing, 0, with(there, closed), JobClosed},
		{"it doesn't start", Placing, 8 * time.Second, there, StartOverdue},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newMoveHarness().advanceTo(c.state)
			if h.move.State != c.state {
				t.Fatalf("advanceTo: got state %s, want %s", h.move.State, c.state)
			}
			got := h.advance(c.after, c.see)
			if h.move.State != Abandoned || h.move.Reason != c.want ||
				!slices.Equal(got, []EffectKind{ReleaseReservation, ReportEnd}) || h.table.EndedByReason[c.want] != 1 {
				t.Errorf("got state %s, reason %q, effects %v, %d moves ended for %q; want %s, %q, %v, 1",
					h.move.State, h.move.Reason, got, h.table.EndedByReason[c.want], c.want,
					Abandoned, c.want, []EffectKind{ReleaseReservation, ReportEnd})
			}
		})
	}
}

// TestIrrelevantObservationsKeepMove: observations that are irrelevant in the state of a move don't end the
// move.
func TestIrrelevantObservationsKeepMove(t *testing.T) {
	leaving := observationAt(jobs.Stopping, 3, source)
	leaving.HasAuthority = false
	leaving.LinksHealthy = false
	leaving.BeneficiaryWaiting = false
	leaving.DemandRecovered = true
	leaving.TeamAllows = false
	if h := newMoveHarness().advanceTo(Stopping); h.advance(time.Second, leaving) != nil || h.move.State != Stopping {
		t.Errorf("got state %s, reason %q after a second in stopping; want stopping", h.move.State, h.move.Reason)
	}
	gone := observationAt(jobs.Waiting, 3, "")
	gone.ReportedElsewhere = true
	h := newMoveHarness().advanceTo(Stopped)
	if h.advance(time.Second, gone) != nil || h.move.State != Stopped {
		t.Errorf("got state %s, reason %q after a second in stopped; want stopped", h.move.State, h.move.Reason)
	}
	gone.ReportedElsewhere = false
	if got := h.advance(time.Second, gone); !slices.Equal(got, []EffectKind{PlaceTask}) {
		t.Errorf("once the task may be placed: got effects %v, state %s; want %v", got, h.move.State, []EffectKind{PlaceTask})
	}
}

// drawObservation draws an observation of a move in a state. Most observations are usual ones with some
// changes, and some are arbitrary.
func drawObservation(t *rapid.T, s State) Observation {
	usual := map[State][]Observation{
		Proposed: {observationAt(jobs.Assigned, 3, source)},
		Stopping: {observationAt(jobs.Stopping, 3, source), observationAt(jobs.Waiting, 3, "")},
		Stopped:  {observationAt(jobs.Waiting, 3, "")},
		Placing:  {observationAt(jobs.Placing, 4, destination), observationAt(jobs.Assigned, 4, destination)},
	}[s]
	if s.Ended() {
		usual = []Observation{observationAt(jobs.Waiting, 3, ""), observationAt(jobs.Assigned, 3, source)}
	}
	o := rapid.SampledFrom(usual).Draw(t, "usual")
	if rapid.IntRange(0, 19).Draw(t, "odd") == 0 {
		states := []jobs.State{jobs.Assigned, jobs.Stopping, jobs.Waiting, jobs.Placing, jobs.Completed}
		o.Task = rapid.SampledFrom(states).Draw(t, "task")
		o.Attempt = rapid.SampledFrom([]ident.Attempt{3, 3, 4}).Draw(t, "attempt")
		o.Machine = rapid.SampledFrom([]ident.MachineID{source, source, destination, ""}).Draw(t, "host")
	}
	unless := func(name string) bool { return rapid.IntRange(0, 59).Draw(t, name) > 0 }
	o.TaskRunning = rapid.Bool().Draw(t, "runs")
	o.JobOpen, o.BeneficiaryWaiting, o.HasAuthority = unless("open"), unless("waits"), unless("may decide")
	o.LinksHealthy, o.TeamAllows, o.ReportedElsewhere = unless("links clear"), unless("team allows"), !unless("elsewhere")
	if !unless("destination") {
		o.Destination = DestinationFull
	}
	return o
}

// effectCounts counts the effects of a move.
type effectCounts struct{ stopped, placed, released int }

// add counts an effect, and checks that the observation permits it.
func (n *effectCounts) add(t *rapid.T, kind EffectKind, m *Move, o Observation) {
	switch kind {
	case StopTask:
		n.stopped++
		if !m.recorded || o.Task != jobs.Assigned || o.Machine != source || !o.JobOpen {
			t.Fatalf("task stopped: got recorded %v, observation %+v; want a durable record, an open job, a task assigned to %s",
				m.recorded, o, source)
		}
	case PlaceTask:
		n.placed++
		if o.Task != jobs.Waiting || o.Attempt != 3 || o.ReportedElsewhere || !o.JobOpen ||
			!o.HasAuthority || !o.TeamAllows || o.Destination != DestinationReady {
			t.Fatalf("task placed: got observation %+v; want a task that waits in attempt 3 and may be placed", o)
		}
	case ReleaseReservation:
		n.released++
	}
}

// TestEffectsInAnyOrder: for observations in any order, the task is stopped at most once and only after the
// move was recorded, the task is placed only while it waits in the attempt that was stopped, and the
// reservations are released exactly once, however the move ends.
func TestEffectsInAnyOrder(t *testing.T) {
	ends := map[Reason]int{}
	rapid.Check(t, func(t *rapid.T) {
		h := newMoveHarness()
		var counts effectCounts
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "record") {
				h.table.MarkRecorded(h.move)
			}
			o := drawObservation(t, h.move.State)
			was := h.move.State
			after := time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			for _, k := range h.advance(after, o) {
				counts.add(t, k, h.move, o)
			}
			if was.Ended() && h.move.State != was {
				t.Fatalf("got state %s of a move that had ended, want %s as before", h.move.State, was)
			}
		}
		ended := 0
		if h.move.State.Ended() {
			ended = 1
			ends[h.move.Reason]++
		}
		if counts.stopped > 1 || counts.placed > counts.stopped || counts.released != ended {
			t.Fatalf("got effects %+v in state %s; want stopped at most 1, placed at most stopped, released %d",
				counts, h.move.State, ended)
		}
	})
	if len(ends) < 10 {
		t.Errorf("moves ended for %d different reasons, want at least 10: %v", len(ends), ends)
	}
}
