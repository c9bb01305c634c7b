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

// TestActionsRequireCertainLeadership checks the permitted actions for all combinations of facts. Each
// action requires loaded state and a valid leader lease; worker leases may also be renewed within the grace
// period. A handover and an unwritable store restrict the actions further.
func TestActionsRequireCertainLeadership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFacts(t)
		s := Evaluate(f)
		certain := f.StateLoaded && f.Leadership == LeaseValid
		for a := Place; a < actionCount; a++ {
			allowed := s.Allows(a)
			switch {
			case !allowed:
			case a == RenewWorkerLeases && f.StateLoaded && f.Leadership >= LeaseInGrace:
			case !certain:
				t.Fatalf("%+v: got state %v, which allows %v; want it denied without a valid lease and loaded state", f, s, a)
			case f.HandingOver && a != ServeReads && a != CommandWorkers && a != RenewWorkerLeases:
				t.Fatalf("%+v: got state %v, which allows %v; want it denied during a handover", f, s, a)
			case !f.StoreWritable && (a == Place || a == Scale || a == Fence):
				t.Fatalf("%+v: got state %v, which allows %v; want it denied while the store is not writable", f, s, a)
			}
		}
		if certain && f.StoreWritable && !f.HandingOver && s != Active {
			t.Fatalf("%+v: state is %v, want %v", f, s, Active)
		}
	})
}

// TestWeakerFactsAddNoPermission checks that weakening one fact never permits an additional action. It
// skips RenewWorkerLeases, which Grace allows as well.
func TestWeakerFactsAddNoPermission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFacts(t)
		weaker := f
		switch rapid.IntRange(0, 3).Draw(t, "lost") {
		case 0:
			weaker.Leadership = Leadership(rapid.IntRange(int(NotLeader), int(f.Leadership)).Draw(t, "fewer leadership"))
		case 1:
			weaker.StateLoaded = false
		case 2:
			weaker.StoreWritable = false
		case 3:
			weaker.HandingOver = true
		}
		for a := Place; a < actionCount; a++ {
			if Evaluate(weaker).Allows(a) && !Evaluate(f).Allows(a) && a != RenewWorkerLeases {
				t.Fatalf("got state %v for weaker facts, which allows %v; want it denied, as in state %v",
					Evaluate(weaker), a, Evaluate(f))
			}
		}
	})
}

// TestTracker checks that Update returns the previous and the new state, and that unknown states and actions
// are not allowed anything.
func TestTracker(t *testing.T) {
	var tracker Tracker
	all := Facts{Leadership: LeaseValid, StateLoaded: true, StoreWritable: true}
	if from, to := tracker.Update(all); from != None || to != Active || tracker.State() != Active {
		t.Errorf("first update: from %v to %v, current state %v, want from %v to %v", from, to, tracker.State(), None, Active)
	}
	if from, to := tracker.Update(all); from != to {
		t.Errorf("update with the same facts: got a change from %v to %v, want none", from, to)
	}
	if State(99).Allows(Place) || Active.Allows(Action(99)) {
		t.Error("State(99) allows Place or Active allows Action(99), want neither")
	}
}
