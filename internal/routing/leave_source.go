package routing

// LeaveSource is the source of a notice that an upstream is leaving.
type LeaveSource string

// The sources: the member view, the platform's VM list, the upstream, a response
// of the upstream's node, and the local node.
const (
	LeaveMember   LeaveSource = "member"
	LeaveVMList   LeaveSource = "vm-list"
	LeaveUpstream LeaveSource = "upstream"
	LeaveResponse LeaveSource = "answer"
	LeaveSelf     LeaveSource = "self"
)
