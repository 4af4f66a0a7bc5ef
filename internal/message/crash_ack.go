package message

// CrashAck confirms that the node that sends it has recorded a CrashReport. ID is
// that of the report.
type CrashAck struct {
	VM string `json:"vm"`
	ID uint64 `json:"id"`
}

// Kind implements Message.
func (*CrashAck) Kind() Kind { return KindCrashAck }
