package loopback

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Delays are the delays of messages between controllers and workers. Those of commands, answers and heartbeats are independent of
// each other.
type Delays struct {
	// SlowLink is the longest delay of each command, answer and heartbeat of the machines whose link is slow, which are every
	// second one by name.
	SlowLink time.Duration
	// LateCommands is the share of command calls that are held up for up to MaxHoldUp and executed then, and LateHeartbeats that
	// of heartbeats of which a copy arrives again up to MaxHoldUp later.
	LateCommands, LateHeartbeats float64
	MaxHoldUp                    time.Duration
	// CopiedCommands is the share of executed command calls of which a copy arrives again up to MaxCopyDelay later.
	CopiedCommands float64
	MaxCopyDelay   time.Duration
}

// delayer draws the delays of messages. Its methods may be called concurrently.
type delayer struct {
	mu             sync.Mutex
	rng            *rand.Rand
	delays         Delays
	lateCommands   int // number of command calls held up
	copiedCommands int // number of command calls of which a copy was or will be delivered
}

func newDelayer(seed uint64) *delayer { return &delayer{rng: rand.New(rand.NewPCG(seed, 2))} }

// set replaces the delays. Messages that are on their way keep theirs.
func (d *delayer) set(delays Delays) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delays = delays
}

// lateCommandCount returns the number of command calls held up.
func (d *delayer) lateCommandCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lateCommands
}

// copiedCommandCount returns the number of command calls of which a copy was or will be delivered.
func (d *delayer) copiedCommandCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.copiedCommands
}

// link returns the delay of a message on the link of a machine.
func (d *delayer) link(slow bool) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slow {
		return 0
	}
	return d.upTo(d.delays.SlowLink)
}

// command returns the delay of a command call.
func (d *delayer) command(slow bool) time.Duration {
	delay := d.link(slow)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rng.Float64() < d.delays.LateCommands {
		d.lateCommands++
		delay += d.upTo(d.delays.MaxHoldUp)
	}
	return delay
}

// commandCopy returns when a copy of an executed command call arrives, or 0 for none.
func (d *delayer) commandCopy() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.delays.CopiedCommands == 0 || d.rng.Float64() >= d.delays.CopiedCommands {
		return 0
	}
	d.copiedCommands++
	return d.upTo(d.delays.MaxCopyDelay)
}

// heartbeatCopy returns when a copy of a heartbeat arrives, or 0 for none.
func (d *delayer) heartbeatCopy() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rng.Float64() >= d.delays.LateHeartbeats {
		return 0
	}
	return d.upTo(d.delays.MaxHoldUp)
}

// upTo returns a random duration. The caller must hold d.mu.
func (d *delayer) upTo(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(d.rng.Int64N(int64(most)))
}
