package platform

// VM is an entry of the platform's VM list. The list lags behind the fleet.
type VM struct {
	ID       string  `json:"id"`
	Zone     string  `json:"zone"`
	Region   string  `json:"region"`
	Service  string  `json:"service"`
	PeerAddr string  `json:"peerAddr"`
	CallAddr string  `json:"callAddr"`
	State    VMState `json:"state"`
	// LeavingSince is set for leaving VMs, in Unix milliseconds.
	LeavingSince int64 `json:"leavingSince,omitempty"`
}
