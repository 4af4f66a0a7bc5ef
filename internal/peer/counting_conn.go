package peer

import "net"

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	traffic     Traffic
	crossRegion bool
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent(c.crossRegion, n)
	return n, err
}
