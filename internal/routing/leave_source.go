package routing

// LeaveSource is the source of a notice that an upstream is leaving.
type LeaveSource string

// The sources: the member view, the platform's VM list, the upstream's own
// notice, a response of its node, and the node itself.
const (
	LeaveMember   LeaveSource = "member"
	LeaveVMList   LeaveSource = "vm-list"
	LeaveUpstream LeaveSource = "upstream"
	LeaveResponse LeaveSource = "answer"
	LeaveSelf     LeaveSource = "self"
)
