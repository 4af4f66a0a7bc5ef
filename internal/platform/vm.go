package platform

// VM is an entry of the platform's VM list. The list lags behind the VMs that
// actually run.
type VM struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Service is the service of the upstream on the VM.
	Service string `json:"service"`
	// PeerAddr and CallAddr are the addresses at which the VM's node accepts
	// control messages and calls.
	PeerAddr string  `json:"peerAddr"`
	CallAddr string  `json:"callAddr"`
	State    VMState `json:"state"`
	// LeavingSince is when the VM began to leave, in Unix milliseconds; 0 for
	// live VMs.
	LeavingSince int64 `json:"leavingSince,omitempty"`
}
