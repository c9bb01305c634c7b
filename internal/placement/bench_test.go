package placement

import (
	"math/rand/v2"
	"testing"
)

// BenchmarkASM1 plans as many tasks as a plan may cover for the machines of a
// large deployment, each image on a third of them.
func BenchmarkASM1(b *testing.B) {
	g := graph(rand.New(rand.NewPCG(5, 6)), maxPlanned, 64, 0.33)
	for b.Loop() {
		ASM1(maxPlanned, g)
	}
}
