package placement

import (
	"fmt"
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// holders makes a fleet of which so many machines hold the image of a job to come.
func holders(machines, holding int) *large {
	l := newLarge(0)
	for i := range machines {
		w := l.fleet.Add(ident.MachineID(fmt.Sprintf("host-%06d", i)), "m16", "east", true, l.now)
		l.report(w)
	}
	warm := l.submitAs("red", api.Standard, holding)
	for i := range holding {
		l.Place(&warm.Tasks[i], l.fleet.Sorted()[i])
	}
	l.commits.Flush()
	for _, w := range l.fleet.Sorted() {
		l.report(w)
	}
	return l
}

// used returns the CPUs in use on the fullest and on the emptiest of the first machines.
func used(l *large, machines int) (most, least float64) {
	least = 1e9
	for _, w := range l.fleet.Sorted()[:machines] {
		most, least = max(most, w.VCPUs), min(least, w.VCPUs)
	}
	return most, least
}

// TestEvenSpreadsOverHolders: with even placement the tasks of a job go to its holders in
// turn; without it the first by name are filled. Neither goes to machines that would fetch.
func TestEvenSpreadsOverHolders(t *testing.T) {
	for _, even := range []bool{false, true} {
		l := holders(12, 8)
		l.planner.Even = func() bool { return even }
		l.submitAs("red", api.Standard, 48)
		l.fill()
		most, least := used(l, 8)
		if even && most-least > 1 || !even && most-least < 8 {
			t.Errorf("even %v: between %v and %v CPUs are in use", even, least, most)
		}
		for _, w := range l.fleet.Sorted()[8:] {
			if w.VCPUs > 0 {
				t.Errorf("even %v: %s, which doesn't hold the image, has work", even, w.ID)
			}
		}
	}
}

// TestEvenServices: replicas go to the least used holder.
func TestEvenServices(t *testing.T) {
	for _, even := range []bool{false, true} {
		l := holders(6, 6)
		l.planner.Even = func() bool { return even }
		j := l.submitAs("red", api.Critical, 12)
		j.Spec.Shape = api.Service
		l.fill()
		held := 0
		for i := range j.Tasks {
			if j.Tasks[i].State != jobs.Waiting {
				held++
			}
		}
		most, least := used(l, 6)
		if held != 12 || even && most-least > 1 || !even && most-least < 4 {
			t.Errorf("even %v: %d replicas are placed, between %v and %v CPUs in use", even, held, least, most)
		}
	}
}
