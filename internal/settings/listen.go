package settings

// Listen holds the addresses of a node's listeners, ip:port.
type Listen struct {
	// Calls accepts calls from callers, upstreams and other nodes.
	Calls string `json:"calls" validate:"required,ip_port"`
	// Peers accepts control messages from other nodes.
	Peers string `json:"peers" validate:"required,ip_port"`
	// Admin serves the administration API.
	Admin string `json:"admin" validate:"required,ip_port"`
}
