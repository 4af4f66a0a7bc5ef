package settings

import "net"

// Advertise holds the addresses that other nodes connect to, where they differ
// from the listening addresses.
type Advertise struct {
	Calls string `json:"calls" validate:"omitempty,ip_port"`
	Peers string `json:"peers" validate:"omitempty,ip_port"`
}

// CallAddr returns the address that other nodes send calls to.
func (n *Node) CallAddr() string {
	if n.Advertise.Calls != "" {
		return n.Advertise.Calls
	}
	return n.Listen.Calls
}

// PeerAddr returns the address that other nodes send control messages to.
func (n *Node) PeerAddr() string {
	if n.Advertise.Peers != "" {
		return n.Advertise.Peers
	}
	return n.Listen.Peers
}

// LocalIP returns the source address of outgoing connections, or "" if the
// listening address for control messages is invalid.
func (n *Node) LocalIP() string {
	host, _, err := net.SplitHostPort(n.Listen.Peers)
	if err != nil {
		return ""
	}
	return host
}
