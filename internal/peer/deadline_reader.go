package peer

import (
	"net"
	"time"
)

// deadlineReader bounds each read, so that connections whose dialling side
// vanished do not stay open for ever.
type deadlineReader struct {
	conn net.Conn
}

func (r deadlineReader) Read(b []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(incomingLimit)); err != nil {
		return 0, err
	}
	return r.conn.Read(b)
}
