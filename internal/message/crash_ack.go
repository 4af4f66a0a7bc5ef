package message

// CrashAck acknowledges a CrashReport that its sender has recorded. ID is that of
// the report.
type CrashAck struct {
	VM string `json:"vm"`
	ID uint64 `json:"id"`
}

// Kind implements Message.
func (*CrashAck) Kind() Kind { return KindCrashAck }
