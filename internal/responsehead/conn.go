package responsehead

import (
	"net"
	"sync"
)

// conn is a connection of a Transport. It is safe for concurrent use.
type conn struct {
	net.Conn
	// mu guards scanner.
	mu      sync.Mutex
	scanner Scanner
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Scan(p[:n])
	return n, err
}

// expect begins the search of the head of the next response.
func (c *conn) expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Expect()
}

// err returns the error of the scanner.
func (c *conn) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.Err()
}
