package platform

// VMList is the platform's list of VMs at a revision.
type VMList struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}
