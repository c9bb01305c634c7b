package main

import (
	"runtime"
	"sync"
)

// inParallel plays n days, as many at a time as there are cores.
func inParallel(n int, play func(i int)) {
	var all sync.WaitGroup
	turns := make(chan struct{}, runtime.NumCPU())
	for i := range n {
		all.Go(func() {
			turns <- struct{}{}
			play(i)
			<-turns
		})
	}
	all.Wait()
}
