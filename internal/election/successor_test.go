package election

import (
	"testing"
	"time"
)

// TestHandOver checks that a handover deletes the leader key in one transaction. The preferred successor
// claims the key immediately, other nodes claim it only if the successor does not, and the former leader
// does not campaign.
func TestHandOver(t *testing.T) {
	for _, alive := range []bool{true, false} {
		s := newFakeStore()
		old, preferred, other := s.newElector("a"), s.newElector("b"), s.newElector("c")
		old.Start()
		s.Advance(100 * time.Millisecond)
		if !old.LeaseValid() {
			t.Fatalf("first node is %v without a valid lease, want leading", old.State())
		}
		preferred.PreferSuccessor("b", old.Term())
		other.PreferSuccessor("b", old.Term())
		old.HandOver(15*time.Second, "a test")
		if old.LeaseValid() || old.State() == Leading {
			t.Fatalf("after the handover the former leader is %v, lease valid %v, want neither leading nor valid",
				old.State(), old.LeaseValid())
		}
		s.Advance(5 * time.Millisecond)
		if _, held := s.Entries[LeaderKey]; held {
			t.Fatal("leader key still exists after the handover, want it deleted")
		}
		other.Start()
		s.Advance(20 * time.Millisecond)
		if other.State() != Following {
			t.Errorf("other node is %v, want following", other.State())
		}
		if alive {
			preferred.Start()
		}
		s.Advance(2 * time.Second)
		if preferred.LeaseValid() != alive || other.LeaseValid() == alive || old.LeaseValid() {
			t.Errorf("successor alive %v: successor leads %v, other node leads %v, former leader leads %v",
				alive, preferred.LeaseValid(), other.LeaseValid(), old.LeaseValid())
		}
	}
}

// TestHandOverLost checks that the former leader steps down even if the transaction is lost, and that no node
// leads until the lease has expired and the leader key is deleted.
func TestHandOverLost(t *testing.T) {
	s := newFakeStore()
	old, other := s.newElector("a"), s.newElector("b")
	old.Start()
	s.Advance(100 * time.Millisecond)
	s.loseDeletes = true
	old.HandOver(15*time.Second, "a test")
	s.Advance(time.Second)
	other.Start()
	s.Advance(time.Second)
	if old.LeaseValid() || other.LeaseValid() {
		t.Errorf("former leader leads %v, other node leads %v while the leader key exists, want neither",
			old.LeaseValid(), other.LeaseValid())
	}
	delete(s.Entries, LeaderKey) // its lease has expired
	other.checkLeader()
	s.Advance(time.Second)
	if !other.LeaseValid() {
		t.Errorf("other node is %v after the leader key was deleted, want leading", other.State())
	}
}

// TestPreferSuccessor checks that a successor announced in an earlier term is ignored, and that
// CampaignDelay is applied once.
func TestPreferSuccessor(t *testing.T) {
	s := newFakeStore()
	elector := s.newElector("c")
	elector.ObserveLeader("a", 7)
	elector.PreferSuccessor("b", 6)
	if elector.preferred.node != "" {
		t.Errorf("preferred successor is %q after an announcement of an earlier term, want none", elector.preferred.node)
	}
	delays := 0
	elector.CampaignDelay = func() time.Duration { delays++; return time.Second }
	elector.Start()
	s.Advance(500 * time.Millisecond)
	if elector.State() == Leading {
		t.Error("node leads after 500 ms, want it to wait for the campaign delay of 1 s")
	}
	s.Advance(2 * time.Second)
	if !elector.LeaseValid() || delays != 1 {
		t.Errorf("node leads %v after %d campaign delays, want true after 1", elector.LeaseValid(), delays)
	}
}
