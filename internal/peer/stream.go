package peer

import (
	"io"
	"log"
	"net"

	"github.com/sourcegraph/jsonrpc2"
)

// newStream frames JSON objects with a length prefix.
func newStream(conn net.Conn, traffic Traffic) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, messageCodec{traffic: traffic})
}

// quiet keeps the library from writing to the standard logger: failed and bad
// connections are counted.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
