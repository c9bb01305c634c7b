package controller

import "opaldale/internal/election"

// The reasons for which a controller gives up leadership, beside those of the election itself.
const (
	unreadableRecord       election.StepDownReason = "a stored record is unreadable"
	machinesReachPeersOnly election.StepDownReason = "machines reach peers only"
	isolated               election.StepDownReason = "neither machines nor peers send heartbeats"
	noHeartbeats           election.StepDownReason = "nobody sends heartbeats"
	laterTermSeen          election.StepDownReason = "a worker has seen a later term"
)
