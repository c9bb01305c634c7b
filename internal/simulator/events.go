package simulator

// eventName names a kind of event that a run counts. Tests use the counts to check that an injected fault took effect.
type eventName string

// Events that the simulator itself counts. Tests define further ones.
const (
	allNodesCrashedEvent               eventName = "all nodes crashed"
	attemptFailedEvent                 eventName = "attempt failed"
	bootFailedEvent                    eventName = "boot failed"
	bootSlowEvent                      eventName = "boot slow"
	borrowerJobEvent                   eventName = "borrower's job"
	cancelledAtCompletionEvent         eventName = "cancelled at completion"
	cancelledWhileRunningEvent         eventName = "cancelled while running"
	cloudRequestCopiedEvent            eventName = "request to the cloud copied"
	commandDelayedEvent                eventName = "command delayed"
	commandWhileOutboundBlockedEvent   eventName = "command to a machine that cannot send"
	copiedCallExecutedEvent            eventName = "copy of an executed call executed"
	copiedCallRejectedEvent            eventName = "copy of an executed call rejected"
	doneJobCancelledEvent              eventName = "done job cancelled"
	edgeCaseRequestEvent               eventName = "edge-case request"
	fleetMachineEvent                  eventName = "machine of the fleet"
	frameCopiedEvent                   eventName = "frame copied"
	handoverAnnouncedEvent             eventName = "handover announced"
	heartbeatOfEarlierIncarnationEvent eventName = "heartbeat of an earlier incarnation"
	heldHeartbeatDeliveredEvent        eventName = "held heartbeat delivered"
	lateWriteEvent                     eventName = "late write executed after newer ones"
	launchOfClearedAttemptCopiedEvent  eventName = "copy of the launch of a cleared attempt"
	launchWithoutLeadershipEvent       eventName = "launch without leadership"
	leaderCrashedEvent                 eventName = "leader crashed"
	leaderPausedEvent                  eventName = "leader paused in the middle of an event"
	leaseRequestCopiedEvent            eventName = "lease request copied"
	legacyNodeEvent                    eventName = "legacy node"
	limitsBelowAnnouncedEvent          eventName = "limits lower than announced"
	linkSlowEvent                      eventName = "slow link"
	linkStatesRedeliveredEvent         eventName = "stale link states delivered"
	linkStatesSentEvent                eventName = "link states sent"
	moveFaultInjectedEvent             eventName = "fault in a move"
	newTermEvent                       eventName = "new term"
	nodesProbedEvent                   eventName = "nodes probed"
	onlyOneTeamOverloadedEvent         eventName = "one hot team"
	partitionedEvent                   eventName = "partition"
	processPausedEvent                 eventName = "process paused in the middle of an event"
	reclaimNoticeEvent                 eventName = "reclaim notice"
	replyDroppedEvent                  eventName = "reply dropped"
	staleHeartbeatEvent                eventName = "stale heartbeat delivered"
	storeOutageEvent                   eventName = "store outage"
	storeSlowEvent                     eventName = "slow store"
	submissionChangedEvent             eventName = "submission repeated with another body"
	transactionCopiedEvent             eventName = "transaction copied"
	transactionSlowEvent               eventName = "slow transaction"
	userRequestCopiedEvent             eventName = "user's request copied"
)

// moveStateEvent returns the event of a move that reaches the given state.
func moveStateEvent(state string) eventName { return eventName("move " + state) }

// moveEndEvent returns the event of a move that ends for the given reason.
func moveEndEvent(reason string) eventName { return eventName("move ended: " + reason) }

// countEvent counts one occurrence of an event.
func (sim *Simulation) countEvent(name eventName) { sim.eventCounts[name]++ }

// countEvents counts n occurrences of an event.
func (sim *Simulation) countEvents(name eventName, n int) { sim.eventCounts[name] += n }
