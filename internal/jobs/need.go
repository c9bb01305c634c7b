package jobs

import (
	"math"

	"opaldale/internal/api"
)

// Need is what a task takes of its machine.
type Need struct{ VCPUs, Cards, MemoryGB float64 }

// NeedOf returns what a task of a job takes.
func NeedOf(s *api.Spec) Need { return Need{s.VCPUs, s.Cards, s.MemoryGB} }

// NoNeed is where Least begins: more than anything takes.
func NoNeed() Need { return Need{math.Inf(1), math.Inf(1), math.Inf(1)} }

// Least lowers each amount to what a task of the job needs.
func (n *Need) Least(s *api.Spec) {
	n.VCPUs, n.Cards, n.MemoryGB = min(n.VCPUs, s.VCPUs), min(n.Cards, s.Cards), min(n.MemoryGB, s.MemoryGB)
}

// Places returns how many tasks of a job find room in as much.
func (n Need) Places(s *api.Spec) int {
	k := math.MaxInt32
	for _, x := range [][2]float64{{n.VCPUs, s.VCPUs}, {n.Cards, s.Cards}, {n.MemoryGB, s.MemoryGB}} {
		if x[1] > 0 {
			k = min(k, int((x[0]+slack)/x[1]))
		}
	}
	return k
}

// Minus returns the amounts less others.
func (n Need) Minus(o Need) Need {
	return Need{n.VCPUs - o.VCPUs, n.Cards - o.Cards, n.MemoryGB - o.MemoryGB}
}

// Plus returns the amounts and others together.
func (n Need) Plus(o Need) Need {
	return Need{n.VCPUs + o.VCPUs, n.Cards + o.Cards, n.MemoryGB + o.MemoryGB}
}

// Covers says whether something finds room in as much.
func (n Need) Covers(o Need) bool {
	return o.VCPUs <= n.VCPUs+slack && o.Cards <= n.Cards+slack && o.MemoryGB <= n.MemoryGB+slack
}

// slack forgives rounding in sums of amounts.
const slack = 1e-6
