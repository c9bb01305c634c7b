package authority

import (
	"testing"

	"pgregory.net/rapid"
)

func drawFacts(t *rapid.T) Facts {
	return Facts{
		Leads: rapid.Bool().Draw(t, "leads"), Sure: rapid.Bool().Draw(t, "sure"), InGrace: rapid.Bool().Draw(t, "in grace"),
		Loaded: rapid.Bool().Draw(t, "loaded"), Recording: rapid.Bool().Draw(t, "recording"), Yields: rapid.Bool().Draw(t, "yields"),
	}
}

// TestNothingUnconfirmed: whatever the facts, a node decides only what it is sure of, has
// loaded and can record, and nothing while it hands the lead over.
func TestNothingUnconfirmed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFacts(t)
		s := Of(f)
		sure := f.Leads && f.Loaded && f.Sure
		for a := Place; a < actionCount; a++ {
			allowed := s.Allows(a)
			switch {
			case !allowed:
			case a == KeepLeases && f.Leads && f.Loaded && (f.Sure || f.InGrace):
			case !sure:
				t.Fatalf("%+v: %v may %v without sure leadership", f, s, a)
			case f.Yields && a != Answer && a != Command && a != KeepLeases:
				t.Fatalf("%+v: %v may %v while it yields", f, s, a)
			case !f.Recording && (a == Place || a == Rent || a == Fence):
				t.Fatalf("%+v: %v may %v without recording it", f, s, a)
			}
		}
		if sure && f.Recording && !f.Yields && s != Deciding {
			t.Fatalf("%+v: only %v", f, s)
		}
	})
}

// TestMoreFactsMoreAuthority: to lose a fact never gives a permission, but for keeping
// leases, which grace has as well.
func TestMoreFactsMoreAuthority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFacts(t)
		less := f
		switch rapid.IntRange(0, 4).Draw(t, "lost") {
		case 0:
			less.Leads = false
		case 1:
			less.Sure = false
		case 2:
			less.Loaded = false
		case 3:
			less.Recording = false
		case 4:
			less.Yields = true
		}
		for a := Place; a < actionCount; a++ {
			if Of(less).Allows(a) && !Of(f).Allows(a) && a != KeepLeases {
				t.Fatalf("%v may %v, and %v may not", Of(less), a, Of(f))
			}
		}
	})
}

// TestMachine tells each change once.
func TestMachine(t *testing.T) {
	var m Machine
	all := Facts{Leads: true, Sure: true, Loaded: true, Recording: true}
	if before, changed := m.Move(all); before != None || !changed || m.State() != Deciding {
		t.Errorf("from %v, changed %v, now %v", before, changed, m.State())
	}
	if _, changed := m.Move(all); changed {
		t.Error("the same facts are a change")
	}
	if State(99).Allows(Place) || Deciding.Allows(Action(99)) {
		t.Error("an impossible state or action is allowed")
	}
}
