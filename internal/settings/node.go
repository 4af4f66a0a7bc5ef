package settings

// Node is the settings of a node that command fpnode runs; Sidecar is its
// counterpart for fpsidecar. It is read-only after Parse.
type Node struct {
	// Preset names a deployment whose defaults apply; empty means none.
	Preset string `json:"preset,omitempty" validate:"omitempty,oneof=nadroka formosa-heralds"`
	// VM is the id of the VM in the platform's list.
	VM string `json:"vm" validate:"required,max=128"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone" validate:"required,max=128"`
	// Region is the region of Zone.
	Region string `json:"region" validate:"required,max=128"`
	// Service is the service label of the upstream on the VM.
	Service string `json:"service" validate:"required,max=128"`
	// Listen holds the addresses that the node listens on.
	Listen Listen `json:"listen"`
	// Advertise holds the addresses for other nodes, where they differ from the
	// listening addresses.
	Advertise Advertise `json:"advertise"`
	// Upstream is the address of the upstream on the VM, ip:port.
	Upstream string `json:"upstream" validate:"required,ip_port"`
	// Platform holds the platform's address and region.
	Platform Platform `json:"platform"`
	// Seeds are peer addresses to join through; some may be out of date.
	Seeds []string `json:"seeds" validate:"dive,ip_port"`
	// Keys holds the public keys of both leads.
	Keys Keys `json:"keys"`
	// JoinTimeoutMs limits how long a starting node waits for replies of nodes
	// that already serve, in milliseconds; 0 means 5,000. After it, a version
	// that only the platform reported suffices.
	JoinTimeoutMs int64 `json:"joinTimeoutMs" validate:"min=0,max=60000"`
	// DrainMs limits how long a graceful stop waits for calls in flight, in
	// milliseconds; 0 means 30,000.
	DrainMs int64 `json:"drainMs" validate:"min=0,max=600000"`
	// MemoryBytes is the node's memory limit; 0 means 256 MiB.
	MemoryBytes int64 `json:"memoryBytes" validate:"min=0"`
	// MaxDescriptors is the node's limit of file descriptors; 0 means 4,096.
	MaxDescriptors int `json:"maxDescriptors" validate:"min=0"`
	// Log configures the node's log.
	Log Log `json:"log"`
	// FatalInvariants makes a violated invariant end the process; for tests.
	FatalInvariants bool `json:"fatalInvariants"`
}
