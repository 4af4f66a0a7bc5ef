package platform

// VMState is the state of a VM in the platform's list.
type VMState string

// The states.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)
