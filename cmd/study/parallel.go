package main

import (
	"runtime"
	"sync"
)

// runAll returns the results of n runs, as many at a time as there are cores.
func runAll[T any](n int, run func(i int) T) []T {
	results := make([]T, n)
	var all sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for i := range n {
		all.Go(func() {
			slots <- struct{}{}
			results[i] = run(i)
			<-slots
		})
	}
	all.Wait()
	return results
}
