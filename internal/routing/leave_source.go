package routing

// LeaveSource names where the first sign came from that an upstream leaves.
type LeaveSource string

// The sources.
const (
	LeaveMember   LeaveSource = "member"
	LeaveVMList   LeaveSource = "vm-list"
	LeaveUpstream LeaveSource = "upstream"
	LeaveAnswer   LeaveSource = "answer"
	LeaveSelf     LeaveSource = "self"
)
