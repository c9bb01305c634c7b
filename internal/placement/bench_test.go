package placement

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// BenchmarkASM1 computes plans for clusters of increasing size. Each image is cached on a third of the
// machines, and jobs have 20 tasks on average.
func BenchmarkASM1(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("%d machines", machines), func(b *testing.B) {
			gs, _, _ := randomGroups(rand.New(rand.NewPCG(5, 6)), 3*machines/20, machines, 39, 0.33)
			for b.Loop() {
				ASM1(machines, gs)
			}
		})
	}
}

// fleetSizes are the cluster sizes in machines, up to the largest supported size.
var fleetSizes = []int{500, 1000, 2000, 4500}

// BenchmarkFill places three tasks per machine in an empty cluster.
func BenchmarkFill(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("%d machines", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				c := newTestCluster(n)
				b.StartTimer()
				c.dispatchAll()
			}
		})
	}
}

// BenchmarkDispatch dispatches one service job in a cluster with free capacity, and in a full cluster.
func BenchmarkDispatch(b *testing.B) {
	for _, n := range fleetSizes {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d machines, full %v", n, full), func(b *testing.B) {
				c := newTestCluster(n)
				for i := 0; full && i < 2*n/20; i++ {
					c.submit(api.Batch, 20, 4)
				}
				c.dispatchAll()
				for _, w := range c.machines.Sorted() {
					c.heartbeat(w)
				}
				for b.Loop() {
					c.submit(api.Service, 8, 2)
					c.planner.Dispatch()
					b.StopTimer()
					c.cancel()
					b.StartTimer()
				}
			})
		}
	}
}

// BenchmarkHeartbeat parses and answers a heartbeat that reports no changes, from a machine with four
// running tasks.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("%d machines", n), func(b *testing.B) {
			c := newTestCluster(n)
			c.dispatchAll()
			w := c.machines.Sorted()[1]
			r := &api.Heartbeat{
				MachineID:    w.ID,
				Addr:         "a",
				Model:        "m16",
				Zone:         "east",
				Incarnation:  1,
				FencingToken: ident.MakeFencingToken(1, 0),
			}
			for _, t := range c.machines.SortedTasks(w) {
				r.Tasks = append(r.Tasks, api.TaskReport{TaskID: t.TaskID(), Attempt: t.Attempt, Status: api.Running})
			}
			body, _ := json.Marshal(r)
			for b.Loop() {
				got, err := api.ParseHeartbeat(body)
				if err != nil {
					b.Fatal(err)
				}
				c.sequence++
				got.SequenceNumber = c.sequence
				api.JSON(c.machines.HandleHeartbeat(got))
			}
		})
	}
}

// BenchmarkBorrowerBacklog places one guaranteed job of 40 tasks in a cluster of 1,900 machines that is
// filled by a borrower, which has another 25,000 tasks and 800 small jobs waiting.
func BenchmarkBorrowerBacklog(b *testing.B) {
	c := newBorrowedCluster(1900, 0)
	c.submitAs("borrower", api.BestEffort, 25_000)
	for range 800 {
		c.submitAs("borrower", api.BestEffort, 1)
	}
	c.planner.Round()
	for b.Loop() {
		c.submitAs("red", api.Standard, 40)
		c.now = c.now.Add(time.Second)
		c.planner.Dispatch()
		b.StopTimer()
		c.cancel()
		b.StartTimer()
	}
}
