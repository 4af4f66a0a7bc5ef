package effect

// TimerKind tells what a timer is for.
type TimerKind uint8

// The kinds.
const (
	TimerTick TimerKind = iota
	TimerTransfer
	TimerSuspicion
	TimerFlushUpdates
	TimerJoin
	TimerFallback
)
