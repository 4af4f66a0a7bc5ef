package settings

// MeshListen holds the addresses of a mesh node's listeners.
type MeshListen struct {
	// Callers takes calls of the callers on the VM.
	Callers string `json:"callers" validate:"required,ip_port"`
	// Nodes takes calls of other nodes.
	Nodes string `json:"nodes" validate:"required,ip_port"`
	// Control takes control messages of other nodes.
	Control string `json:"control" validate:"required,ip_port"`
	// Ready answers whether the node may get callers.
	Ready string `json:"ready" validate:"required,ip_port"`
	// Metrics serves metrics; empty if they are not served.
	Metrics string `json:"metrics" validate:"omitempty,ip_port"`
}
