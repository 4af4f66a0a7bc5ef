package peers

import "net"

// limitedConn bounds how much is read from a connection for one message. It is read by
// one goroutine at a time.
type limitedConn struct {
	net.Conn
	limit int
	// left is the number of bytes that may still be read for the message.
	left int
}

// beginMessage allows the next message to be read.
func (c *limitedConn) beginMessage() { c.left = c.limit }

// Read implements io.Reader. It returns a *MessageTooLongError once the bound is
// reached.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, &MessageTooLongError{Limit: c.limit}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}
