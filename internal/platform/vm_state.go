package platform

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM in the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)
