package effect

// TimerKind is the purpose of a timer.
type TimerKind uint8

// The purposes of timers.
const (
	// TimerTick runs the periodic work, such as heartbeats.
	TimerTick TimerKind = iota
	// TimerTransfer continues the transfer of a snapshot.
	TimerTransfer
	// TimerSuspicion ends the time that a suspect member has to refute.
	TimerSuspicion
	// TimerFlushUpdates sends the collected member updates.
	TimerFlushUpdates
	// TimerJoin repeats a join request.
	TimerJoin
	// TimerFallback reads the platform unless another node did so meanwhile.
	TimerFallback
)
