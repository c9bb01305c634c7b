package workers

// Reason says why a machine changed its state or why a task was lost with it. It is
// written to the log only.
type Reason string

// The reasons for which a machine is in use, unreachable or terminated.
const (
	ReasonOnRecord       Reason = "on record"           // the record of an earlier term has its address
	ReasonHeartbeat      Reason = "heartbeat"           // its worker reported
	ReasonNoHeartbeat    Reason = "no heartbeat"        // its worker has not reported in time
	ReasonNotNeeded      Reason = "not needed"          // scale in
	ReasonFailedToStart  Reason = "failed to start"     // the provider lists it as failed
	ReasonBootTimeout    Reason = "boot timeout"        // its worker never reported
	ReasonZonePartition  Reason = "zone is partitioned" // no machine of its zone is reachable
	ReasonReclaimed      Reason = "reclaimed"           // the provider takes it back
	ReasonFaulty         Reason = "faulty"              // jobs that run well elsewhere fail on it
	ReasonSlow           Reason = "slow"                // its tasks take much longer than elsewhere
	ReasonUnresponsive   Reason = "unresponsive"        // its worker does not receive what is sent to it
	ReasonNotOnRecord    Reason = "not on record"       // a task names it, and its record is deleted
	ReasonTerminated     Reason = "terminated"          // the provider has confirmed its termination
	ReasonLeaseExpired   Reason = "lease expired"       // its worker has killed its tasks by now
	reasonNewIncarnation Reason = "newer incarnation"   // its worker has begun one without the task
	reasonNotReported    Reason = "not in heartbeat"    // a current heartbeat does not have the task
	reasonNeverStarted   Reason = "stopped before start"
)
