package effect

import "github.com/filbertpier/filbertpier/snapshot"

// Timer identifies a timer of the control logic.
type Timer struct {
	Kind TimerKind
	// SnapshotID is set for TimerTransfer.
	SnapshotID snapshot.ID
	// VM, Boot and Incarnation are set for TimerSuspicion.
	VM          string
	Boot        uint64
	Incarnation uint64
}
