package gang

// Reason describes why an attempt changed its state. It appears only in log messages.
type Reason string

// Reasons for stopping a gang with Table.Stop.
const (
	ReasonPreempted     Reason = "preempted"      // other work needs its machines
	ReasonReclaimNotice Reason = "reclaim notice" // the cloud provider reclaims one of its machines
)

const (
	reasonDurable            Reason = "all placements are durable"
	reasonAllRunning         Reason = "all tasks are running"
	reasonIncomplete         Reason = "attempt of an earlier term is incomplete"
	reasonTaskStopped        Reason = "a task was stopped"
	reasonTaskLost           Reason = "a task was lost"
	reasonLostAfterStart     Reason = "a task was lost after another task had started"
	reasonMachinesUnknown    Reason = "a task was lost, and not all machines used by the attempt are known"
	reasonReplacementTimeout Reason = "a task was lost and not replaced in time"
	reasonCheckpointTimeout  Reason = "gang did not stop within the checkpoint grace period"
)
