package peer

import (
	"net"

	"github.com/sourcegraph/jsonrpc2"
)

// newStream frames JSON objects with a length prefix.
func newStream(conn net.Conn, traffic Traffic) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, messageCodec{traffic: traffic})
}
