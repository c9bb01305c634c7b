package main

import (
	"runtime"
	"sync"
)

// runAll calls run for each i below n, on as many goroutines at a time as there are CPUs, and returns the results in order.
func runAll[T any](n int, run func(i int) T) []T {
	results := make([]T, n)
	var runs sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for i := range n {
		runs.Go(func() {
			slots <- struct{}{}
			results[i] = run(i)
			<-slots
		})
	}
	runs.Wait()
	return results
}
