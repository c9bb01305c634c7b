package authority

import (
	"testing"

	"pgregory.net/rapid"
)

func drawFacts(t *rapid.T) Facts {
	return Facts{
		Leadership:    Leadership(rapid.IntRange(int(NotLeader), int(LeaseValid)).Draw(t, "leadership")),
		StateLoaded:   rapid.Bool().Draw(t, "state loaded"),
		StoreWritable: rapid.Bool().Draw(t, "store writable"),
		HandingOver:   rapid.Bool().Draw(t, "handing over"),
	}
}

// TestActionsRequireCertainLeadership: for all facts, a node takes only actions for which its leadership is
// certain enough, its state is loaded and its writes are accepted, and it places nothing during a
// handover.
func TestActionsRequireCertainLeadership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFacts(t)
		s := Evaluate(f)
		sure := f.StateLoaded && f.Leadership == LeaseValid
		for a := Place; a < actionCount; a++ {
			allowed := s.Allows(a)
			switch {
			case !allowed:
			case a == RenewWorkerLeases && f.StateLoaded && f.Leadership >= LeaseInGrace:
			case !sure:
				t.Fatalf("%+v: %v may %v without sure leadership", f, s, a)
			case f.HandingOver && a != ServeReads && a != CommandWorkers && a != RenewWorkerLeases:
				t.Fatalf("%+v: %v may %v during a handover", f, s, a)
			case !f.StoreWritable && (a == Place || a == Scale || a == Fence):
				t.Fatalf("%+v: %v may %v while the store is down", f, s, a)
			}
		}
		if sure && f.StoreWritable && !f.HandingOver && s != Active {
			t.Fatalf("%+v: only %v", f, s)
		}
	})
}

// TestWeakerFactsAddNoPermission: weaker facts never add a permission, except for the renewal of worker
// leases, which Grace allows as well.
func TestWeakerFactsAddNoPermission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFacts(t)
		fewer := f
		switch rapid.IntRange(0, 3).Draw(t, "lost") {
		case 0:
			fewer.Leadership = Leadership(rapid.IntRange(int(NotLeader), int(f.Leadership)).Draw(t, "fewer leadership"))
		case 1:
			fewer.StateLoaded = false
		case 2:
			fewer.StoreWritable = false
		case 3:
			fewer.HandingOver = true
		}
		for a := Place; a < actionCount; a++ {
			if Evaluate(fewer).Allows(a) && !Evaluate(f).Allows(a) && a != RenewWorkerLeases {
				t.Fatalf("%v may %v, and %v may not", Evaluate(fewer), a, Evaluate(f))
			}
		}
	})
}

// TestTracker: an update returns the states before and after.
func TestTracker(t *testing.T) {
	var tracker Tracker
	all := Facts{Leadership: LeaseValid, StateLoaded: true, StoreWritable: true}
	if from, to := tracker.Update(all); from != None || to != Active || tracker.State() != Active {
		t.Errorf("from %v to %v, now %v", from, to, tracker.State())
	}
	if from, to := tracker.Update(all); from != to {
		t.Error("the same facts changed the state")
	}
	if State(99).Allows(Place) || Active.Allows(Action(99)) {
		t.Error("an impossible state or action is allowed")
	}
}
