package peers

import (
	"net"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxResponseBytes bounds a message from the node that serves a fetch. The longest
	// one holds the items of a fleet of 7,300 servers and the configuration.
	maxResponseBytes = 16 << 20
	// maxRequestBytes bounds a message to this node, of which it reads up to maxConns
	// at once.
	maxRequestBytes = 256 << 10
)

// limitedStream reads and writes JSON-RPC messages and bounds those that it reads: the
// library would keep as many bytes as the other side sends.
type limitedStream struct {
	jsonrpc2.ObjectStream
	conn *limitedConn
}

// newStream returns a stream on a connection that reads messages of up to maxBytes.
func newStream(c net.Conn, maxBytes int) jsonrpc2.ObjectStream {
	conn := &limitedConn{Conn: c, limit: maxBytes}
	return &limitedStream{ObjectStream: jsonrpc2.NewBufferedStream(conn, jsonrpc2.VSCodeObjectCodec{}), conn: conn}
}

// ReadObject implements jsonrpc2.ObjectStream. Its errors are those of the library and
// *MessageTooLongError.
func (s *limitedStream) ReadObject(v any) error {
	s.conn.beginMessage()
	return s.ObjectStream.ReadObject(v)
}
