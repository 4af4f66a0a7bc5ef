package peer

import (
	"net"

	"github.com/sourcegraph/jsonrpc2"
)

// newStream frames JSON objects with a length prefix.
func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
}
