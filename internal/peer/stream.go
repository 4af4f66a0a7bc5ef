package peer

import (
	"io"
	"log"
	"net"

	"github.com/sourcegraph/jsonrpc2"
)

// newStream frames JSON objects on a connection with a varint length prefix.
func newStream(conn net.Conn, traffic Traffic) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, messageCodec{traffic: traffic})
}

// discardLibraryLog keeps the library from writing to the standard logger.
// Traffic counts malformed messages and unresponsive connections instead.
var discardLibraryLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
