package effect

// Event names a decision or observation of the control logic. The name is used
// in logs and as a metric label, so it must not change.
type Event string

// The events that the control logic logs.
const (
	EventVersionAdopted       Event = "version-adopted"
	EventVersionRefused       Event = "version-refused"
	EventVersionConflict      Event = "version-conflict"
	EventMemberChanged        Event = "member-changed"
	EventMemberRefuted        Event = "member-refuted"
	EventReady                Event = "ready"
	EventPauseDetected        Event = "pause-detected"
	EventPlatformReadFailed   Event = "platform-read-failed"
	EventPlatformFallbackRead Event = "platform-fallback-read"
	EventSectionInvalid       Event = "section-invalid"
	EventTransferStarted      Event = "transfer-started"
	EventTransferAbandoned    Event = "transfer-abandoned"
)
