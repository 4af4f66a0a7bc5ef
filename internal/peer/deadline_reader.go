package peer

import (
	"net"
	"time"
)

// deadlineReader sets a deadline for each read, so that connections whose
// dialling side is gone do not stay open forever.
type deadlineReader struct {
	conn net.Conn
}

func (r deadlineReader) Read(b []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(incomingIdleTimeout)); err != nil {
		return 0, err
	}
	return r.conn.Read(b)
}
