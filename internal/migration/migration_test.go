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

// proposal is a move of a task in its third attempt.
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

// observationAt returns the observation of a task in a state, with no reason to abandon its move.
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

// moveHarness takes one move through its states.
type moveHarness struct {
	table *Table
	move  *Move
	now   ident.MonotonicTime
}

// newMoveHarness begins a move.
func newMoveHarness() *moveHarness {
	w := &moveHarness{table: NewTable(DefaultConfig(time.Second)), now: ident.MonotonicTime(time.Hour)}
	w.move = w.table.Begin(proposal(), 3, w.now)
	return w
}

// advance advances the table after a time, and returns the effects.
func (w *moveHarness) advance(d time.Duration, o Observation) []EffectKind {
	w.now = w.now.Add(d)
	var kinds []EffectKind
	for _, e := range w.table.Advance(w.now, func(*Move) Observation { return o }) {
		kinds = append(kinds, e.Kind)
	}
	return kinds
}

// advanceTo takes the move to a state without a reason to abandon it.
func (w *moveHarness) advanceTo(s State) *moveHarness {
	if s >= Stopping {
		w.table.MarkRecorded(w.move)
		w.advance(time.Millisecond, observationAt(jobs.Assigned, 3, source))
	}
	if s >= Stopped {
		o := observationAt(jobs.Waiting, 3, "")
		o.HasAuthority = s > Stopped
		w.advance(time.Second, o)
	}
	return w
}

// TestSuccessfulMove: a move is recorded, its task is stopped, placed once it is proven to have left its
// machine, and runs.
func TestSuccessfulMove(t *testing.T) {
	w := newMoveHarness()
	for i, step := range []struct {
		record bool
		see    Observation
		want   []EffectKind
		state  State
	}{
		{false, observationAt(jobs.Assigned, 3, source), nil, Proposed},
		{true, observationAt(jobs.Assigned, 3, source), []EffectKind{StopTask}, Stopping},
		{false, observationAt(jobs.Stopping, 3, source), nil, Stopping},
		{false, observationAt(jobs.Waiting, 3, ""), []EffectKind{PlaceTask}, Placing},
		{false, observationAt(jobs.Placing, 4, destination), nil, Placing},
		{false, observationAt(jobs.Assigned, 4, destination), nil, Placing},
	} {
		if step.record {
			w.table.MarkRecorded(w.move)
		}
		if got := w.advance(100*time.Millisecond, step.see); !slices.Equal(got, step.want) || w.move.State != step.state {
			t.Fatalf("step %d: %v in %s", i, got, w.move.State)
		}
	}
	o := observationAt(jobs.Assigned, 4, destination)
	o.TaskRunning = true
	got := w.advance(time.Second, o)
	if !slices.Equal(got, []EffectKind{ReleaseReservation, ReportEnd}) || w.move.Reason != Arrived || len(w.table.Active()) > 0 {
		t.Fatalf("%v in %s, %d active", got, w.move.State, len(w.table.Active()))
	}
	o.BeneficiaryPlaced = true
	w.advance(time.Second, o)
	if got := w.table.TotalGain; got != w.move.RealizedGain() || got < 45*time.Second || got > time.Minute {
		t.Errorf("gained %v, realized %v", got, w.move.RealizedGain())
	}
}

// with returns an observation with a change.
func with(o Observation, change func(*Observation)) Observation {
	change(&o)
	return o
}

// Changes of an observation that are reasons to abandon a move.
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

// TestAbandoned: each reason for abandoning a move in a state ends it for that reason, and its
// reservations are released.
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
		{"nothing can be recorded", Proposed, 0, with(here, unauthorized), AuthorityLost},
		{"a link is in doubt", Proposed, 0, with(here, linkSuspected), LinkSuspected},
		{"the destination is unschedulable", Proposed, 0, with(here, unschedulable), DestinationClosed},
		{"the room is taken", Proposed, 0, with(here, full), DestinationTaken},
		{"an overloaded team recovers", Proposed, 0, with(here, recovered), TeamRecovered},
		{"the beneficiary waits no longer", Proposed, 0, with(here, noneWaiting), NotNeeded},
		{"the record is late", Proposed, 3 * time.Second, here, RecordOverdue},
		{"it completes as it is stopped", Stopping, 0, observationAt(jobs.Completed, 3, ""), TaskCompleted},
		{"its job is cancelled meanwhile", Stopping, 0, with(leaving, closed), JobClosed},
		{"the destination is lost meanwhile", Stopping, 0, with(leaving, unschedulable), DestinationClosed},
		{"the proof is late", Stopping, 5 * time.Second, leaving, StopOverdue},
		{"something else placed it", Stopping, 0, observationAt(jobs.Placing, 4, "host-3"), TaskChanged},
		{"its job is cancelled after the stop", Stopped, 0, with(gone, closed), JobClosed},
		{"the destination is lost after the stop", Stopped, 0, with(gone, unschedulable), DestinationClosed},
		{"the room is taken after the stop", Stopped, 0, with(gone, full), DestinationTaken},
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
			w := newMoveHarness().advanceTo(c.state)
			if w.move.State != c.state {
				t.Fatalf("brought to %s", w.move.State)
			}
			got := w.advance(c.after, c.see)
			if w.move.State != Abandoned || w.move.Reason != c.want ||
				!slices.Equal(got, []EffectKind{ReleaseReservation, ReportEnd}) || w.table.EndedByReason[c.want] != 1 {
				t.Errorf("%s, %s, %v", w.move.State, w.move.Reason, got)
			}
		})
	}
}

// TestIrrelevantObservationsKeepMove: an observation that doesn't matter in a state doesn't end a move.
func TestIrrelevantObservationsKeepMove(t *testing.T) {
	leaving := observationAt(jobs.Stopping, 3, source)
	leaving.HasAuthority = false
	leaving.LinksHealthy = false
	leaving.BeneficiaryWaiting = false
	leaving.DemandRecovered = true
	leaving.TeamAllows = false
	if w := newMoveHarness().advanceTo(Stopping); w.advance(time.Second, leaving) != nil || w.move.State != Stopping {
		t.Errorf("stopping: %s, %s", w.move.State, w.move.Reason)
	}
	gone := observationAt(jobs.Waiting, 3, "")
	gone.ReportedElsewhere = true
	w := newMoveHarness().advanceTo(Stopped)
	if w.advance(time.Second, gone) != nil || w.move.State != Stopped {
		t.Errorf("stopped: %s, %s", w.move.State, w.move.Reason)
	}
	gone.ReportedElsewhere = false
	if got := w.advance(time.Second, gone); !slices.Equal(got, []EffectKind{PlaceTask}) {
		t.Errorf("once it may be placed: %v in %s", got, w.move.State)
	}
}

// drawObservation draws an observation of a move in a state: mostly a usual one with some changes,
// sometimes an arbitrary one.
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

// add counts an effect, and checks that what was observed allows it.
func (n *effectCounts) add(t *rapid.T, kind EffectKind, m *Move, o Observation) {
	switch kind {
	case StopTask:
		n.stopped++
		if !m.recorded || o.Task != jobs.Assigned || o.Machine != source || !o.JobOpen {
			t.Fatalf("stopped in %+v", o)
		}
	case PlaceTask:
		n.placed++
		if o.Task != jobs.Waiting || o.Attempt != 3 || o.ReportedElsewhere || !o.JobOpen ||
			!o.HasAuthority || !o.TeamAllows || o.Destination != DestinationReady {
			t.Fatalf("placed in %+v", o)
		}
	case ReleaseReservation:
		n.released++
	}
}

// TestEffectsInAnyOrder: for observations in any order, the task is stopped once at the most and only
// after the record, it is placed only while it waits in the attempt that was stopped, and the
// reservations are released exactly once, however the move ends.
func TestEffectsInAnyOrder(t *testing.T) {
	ends := map[Reason]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newMoveHarness()
		var counts effectCounts
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "record") {
				w.table.MarkRecorded(w.move)
			}
			o := drawObservation(t, w.move.State)
			was := w.move.State
			after := time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			for _, k := range w.advance(after, o) {
				counts.add(t, k, w.move, o)
			}
			if was.Ended() && w.move.State != was {
				t.Fatalf("from %s to %s", was, w.move.State)
			}
		}
		ended := 0
		if w.move.State.Ended() {
			ended = 1
			ends[w.move.Reason]++
		}
		if counts.stopped > 1 || counts.placed > counts.stopped || counts.released != ended {
			t.Fatalf("%+v in %s", counts, w.move.State)
		}
	})
	if len(ends) < 10 {
		t.Errorf("only these ends came about: %v", ends)
	}
}
