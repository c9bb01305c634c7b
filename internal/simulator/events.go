package simulator

// eventName names a kind of event that a run counts, so that tests can check that what they inject takes place.
type eventName string

// The events that the simulator counts by itself.
const (
	allNodesCrashedEvent               eventName = "all nodes crashed"
	attemptFailedEvent                 eventName = "attempt failed"
	bootFailedEvent                    eventName = "boot failed"
	bootSlowEvent                      eventName = "boot slow"
	borrowerJobEvent                   eventName = "borrower's job"
	cancelledAtCompletionEvent         eventName = "cancelled at completion"
	cancelledWhileRunningEvent         eventName = "cancelled while running"
	commandDelayedEvent                eventName = "command delayed"
	commandWhileOutboundBlockedEvent   eventName = "command to a machine that cannot send"
	doneJobCancelledEvent              eventName = "done job cancelled"
	edgeCaseRequestEvent               eventName = "edge-case request"
	fleetMachineEvent                  eventName = "machine of the fleet"
	handoverAnnouncedEvent             eventName = "handover announced"
	heartbeatOfEarlierIncarnationEvent eventName = "heartbeat of an earlier incarnation"
	heldHeartbeatDeliveredEvent        eventName = "held heartbeat delivered"
	lateWriteEvent                     eventName = "write after newer ones"
	launchWithoutLeadershipEvent       eventName = "launch without leadership"
	leaderCrashedEvent                 eventName = "leader crashed"
	leaderPausedEvent                  eventName = "leader paused within an event"
	legacyNodeEvent                    eventName = "legacy node"
	limitsBelowAnnouncedEvent          eventName = "limits lower than announced"
	linkSlowEvent                      eventName = "slow link"
	moveFaultInjectedEvent             eventName = "fault in a move"
	newTermEvent                       eventName = "new term"
	nodesProbedEvent                   eventName = "nodes probed"
	onlyHotTeamEvent                   eventName = "one hot team"
	partitionedEvent                   eventName = "partition"
	processPausedEvent                 eventName = "paused within an event"
	reclaimNoticeEvent                 eventName = "reclaim notice"
	replyDroppedEvent                  eventName = "reply dropped"
	rowsRedeliveredEvent               eventName = "rows delivered late"
	rowsSentEvent                      eventName = "rows sent"
	staleHeartbeatEvent                eventName = "heartbeat after newer ones"
	storeOutageEvent                   eventName = "store outage"
	storeSlowEvent                     eventName = "slow store"
	submissionChangedEvent             eventName = "submission repeated with another body"
)

// moveStateEvent counts the moves that reach a state.
func moveStateEvent(state string) eventName { return eventName("move " + state) }

// moveEndEvent counts the moves that end for a reason.
func moveEndEvent(reason string) eventName { return eventName("move ended: " + reason) }

// countEvent counts an event.
func (sim *Simulation) countEvent(name eventName) { sim.eventCounts[name]++ }

// countEvents counts an event n times.
func (sim *Simulation) countEvents(name eventName, n int) { sim.eventCounts[name] += n }
