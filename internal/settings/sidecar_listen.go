package settings

// SidecarListen holds the addresses of a sidecar's listeners, ip:port.
type SidecarListen struct {
	// Callers accepts calls from the callers on the VM.
	Callers string `json:"callers" validate:"required,ip_port"`
	// Nodes accepts calls from other nodes.
	Nodes string `json:"nodes" validate:"required,ip_port"`
	// Control accepts control messages from other nodes.
	Control string `json:"control" validate:"required,ip_port"`
	// Ready serves the readiness probe.
	Ready string `json:"ready" validate:"required,ip_port"`
	// Metrics serves metrics; empty disables them.
	Metrics string `json:"metrics" validate:"omitempty,ip_port"`
}
