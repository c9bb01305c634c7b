package election

import (
	"testing"
	"time"
)

// TestHandOver: a handover frees the leader key in one transaction. The preferred successor claims
// it at once, other nodes only if it does not, and the former leader abstains.
func TestHandOver(t *testing.T) {
	for _, alive := range []bool{true, false} {
		s := newFakeStore()
		old, preferred, other := s.newElector("a"), s.newElector("b"), s.newElector("c")
		old.Start()
		s.Advance(100 * time.Millisecond)
		if !old.LeaseValid() {
			t.Fatal("no node leads")
		}
		preferred.PreferSuccessor("b", old.Term())
		other.PreferSuccessor("b", old.Term())
		old.HandOver(15*time.Second, "a test")
		if old.LeaseValid() || old.State() == Leading {
			t.Fatal("the former leader still leads")
		}
		s.Advance(5 * time.Millisecond)
		if _, held := s.Entries[LeaderKey]; held {
			t.Fatal("the leader key is still there")
		}
		other.Start()
		s.Advance(20 * time.Millisecond)
		if other.State() != Following {
			t.Errorf("the other node is %v, want following", other.State())
		}
		if alive {
			preferred.Start()
		}
		s.Advance(2 * time.Second)
		if preferred.LeaseValid() != alive || other.LeaseValid() == alive || old.LeaseValid() {
			t.Errorf("successor alive %v: it leads %v, the other node %v, the former leader %v",
				alive, preferred.LeaseValid(), other.LeaseValid(), old.LeaseValid())
		}
	}
}

// TestHandOverLost: if the transaction is lost, the former leader steps down nevertheless, and the
// leader key remains until its lease expires.
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
		t.Errorf("the former leader leads %v, another node %v, while the key exists", old.LeaseValid(), other.LeaseValid())
	}
	delete(s.Entries, LeaderKey) // its lease has expired
	other.checkLeader()
	s.Advance(time.Second)
	if !other.LeaseValid() {
		t.Error("no other node leads")
	}
}

// TestPreferSuccessor: the preference of an earlier term's leader is ignored, and a campaign is
// delayed once.
func TestPreferSuccessor(t *testing.T) {
	s := newFakeStore()
	elector := s.newElector("c")
	elector.ObserveLeader("a", 7)
	elector.PreferSuccessor("b", 6)
	if elector.preferred.node != "" {
		t.Error("the preference of an earlier leader is applied")
	}
	delays := 0
	elector.CampaignDelay = func() time.Duration { delays++; return time.Second }
	elector.Start()
	s.Advance(500 * time.Millisecond)
	if elector.State() == Leading {
		t.Error("the campaign was not delayed")
	}
	s.Advance(2 * time.Second)
	if !elector.LeaseValid() || delays != 1 {
		t.Errorf("leads %v after %d delays", elector.LeaseValid(), delays)
	}
}
