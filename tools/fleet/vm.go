package fleet

import "fmt"

// VM is one VM of the fleet with the addresses of its processes.
type VM struct {
	ID      string
	Zone    string
	Region  string
	Service string
	IP      string
	// LinkIP is the address at which the link stands in front of the node.
	LinkIP string
}

// Ports of the processes on each VM's address.
const (
	callPort     = 8080
	peerPort     = 8081
	adminPort    = 8082
	upstreamPort = 8090
)

// CallURL returns the base URL for callers.
func (v VM) CallURL() string { return fmt.Sprintf("http://%s:%d", v.IP, callPort) }

// AdminURL returns the base URL of the administration API.
func (v VM) AdminURL() string { return fmt.Sprintf("http://%s:%d", v.IP, adminPort) }

// UpstreamURL returns the base URL of the upstream itself.
func (v VM) UpstreamURL() string { return fmt.Sprintf("http://%s:%d", v.IP, upstreamPort) }

func (v VM) addr(port int) string { return fmt.Sprintf("%s:%d", v.IP, port) }

func (v VM) linkAddr(port int) string { return fmt.Sprintf("%s:%d", v.LinkIP, port) }
