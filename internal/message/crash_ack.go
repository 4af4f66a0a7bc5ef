package message

// CrashAck acknowledges a CrashReport that the sender has recorded.
type CrashAck struct {
	VM string `json:"vm"`
	ID uint64 `json:"id"`
}

// Kind implements Message.
func (*CrashAck) Kind() Kind { return KindCrashAck }
