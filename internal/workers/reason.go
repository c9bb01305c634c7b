package workers

// Reason is the cause of a machine's state change or of the loss of a task. It appears only in the log.
type Reason string

// The reasons for state changes of machines and for lost tasks.
const (
	ReasonRestored       Reason = "restored from stored record"         // an earlier term stored the machine with its address
	ReasonHeartbeat      Reason = "heartbeat received"                  // first heartbeat after booting or being unreachable
	ReasonNoHeartbeat    Reason = "heartbeat timeout"                   // no heartbeat was received in time
	ReasonNotNeeded      Reason = "scale-in"                            // the capacity is not needed
	ReasonFailedToStart  Reason = "failed to start"                     // the provider lists the machine as failed
	ReasonBootTimeout    Reason = "boot timeout"                        // no heartbeat was received within the boot timeout
	ReasonZonePartition  Reason = "zone partitioned"                    // no machine in the zone is reachable
	ReasonReclaimed      Reason = "reclaimed by provider"               // reclaim of a spot machine
	ReasonFaulty         Reason = "faulty machine"                      // jobs that run on other machines fail on this one
	ReasonSlow           Reason = "slow machine"                        // tasks take much longer than on other machines
	ReasonUnresponsive   Reason = "worker unresponsive"                 // the worker does not receive responses or commands
	ReasonNoStoredRecord Reason = "no stored record"                    // a stored task names the machine; its record is deleted
	ReasonTerminated     Reason = "termination confirmed"               // by the provider
	ReasonLeaseExpired   Reason = "lease expired"                       // the worker has killed its tasks
	reasonNewIncarnation Reason = "not in newer incarnation"            // the worker's new incarnation does not have the task
	reasonNotReported    Reason = "not in heartbeat with current token" // no earlier command can start the task any more
	reasonNeverStarted   Reason = "stopped before it started"           // stopping and not in a heartbeat with the current token
)
