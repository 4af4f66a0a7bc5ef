package effect

// TimerKind selects what the control logic does when a timer fires.
type TimerKind uint8

// The kinds of timers.
const (
	// TimerTick runs the periodic work, such as heartbeats.
	TimerTick TimerKind = iota
	// TimerTransfer continues the transfer of a snapshot.
	TimerTransfer
	// TimerSuspicion marks a suspect member dead unless it has refuted.
	TimerSuspicion
	// TimerFlushUpdates sends the collected member updates.
	TimerFlushUpdates
	// TimerJoin repeats the join requests until the node is ready.
	TimerJoin
	// TimerFallback reads the platform if no other node has read it in the
	// meantime or the read is forced.
	TimerFallback
)
