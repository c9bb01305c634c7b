package gang

// Reason says why an attempt changed its state. It is written to the log only.
type Reason string

// The reasons for which the owner of a table stops a gang.
const (
	ReasonPreempted     Reason = "preempted"      // other work needs its machines
	ReasonReclaimNotice Reason = "reclaim notice" // the provider takes back one of its machines
)

const (
	reasonDurable            Reason = "all placements are durable"
	reasonAllRunning         Reason = "all tasks run"
	reasonPartial            Reason = "the earlier term left a part of it"
	reasonTaskStopped        Reason = "a task was stopped"
	reasonTaskLost           Reason = "a task was lost"
	reasonLostAfterStart     Reason = "a task was lost after the start"
	reasonMachinesUnknown    Reason = "a task was lost, and its earlier machines are not all known"
	reasonReplacementTimeout Reason = "a task was lost and not replaced in time"
	reasonCheckpointTimeout  Reason = "checkpoint timeout"
)
