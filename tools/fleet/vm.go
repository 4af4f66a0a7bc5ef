package fleet

import "fmt"

// VM is one VM of the fleet with the addresses of its processes.
type VM struct {
	ID      string
	Zone    string
	Region  string
	Service string
	IP      string
	// LinkIP is the address on which the link accepts connections to the node.
	LinkIP string
}

// Ports of the processes on each VM's address.
const (
	callPort     = 8080
	peerPort     = 8081
	adminPort    = 8082
	upstreamPort = 8090
)

// CallURL returns the base URL of the node's call port.
func (v VM) CallURL() string { return fmt.Sprintf("http://%s:%d", v.IP, callPort) }

// AdminURL returns the base URL of the node's administration API.
func (v VM) AdminURL() string { return fmt.Sprintf("http://%s:%d", v.IP, adminPort) }

// UpstreamURL returns the base URL of the upstream, past the node.
func (v VM) UpstreamURL() string { return fmt.Sprintf("http://%s:%d", v.IP, upstreamPort) }

func (v VM) addr(port int) string { return fmt.Sprintf("%s:%d", v.IP, port) }

func (v VM) linkAddr(port int) string { return fmt.Sprintf("%s:%d", v.LinkIP, port) }
