package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/sourcegraph/jsonrpc2"
)

// messageCodec is jsonrpc2.VarintObjectCodec with a bound on incoming messages:
// the library would read as many bytes as the length prefix claims.
type messageCodec struct {
	jsonrpc2.VarintObjectCodec
	traffic Traffic
}

// ReadObject implements jsonrpc2.ObjectCodec. It returns an *OversizedError for
// a message above maxMessageBytes and a *MalformedMessageError for one that is not
// valid JSON-RPC. Both end the connection, since the next frame cannot be
// located reliably.
func (c messageCodec) ReadObject(stream *bufio.Reader, v interface{}) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		c.traffic.Malformed()
		return &OversizedError{Bytes: size}
	}
	raw, err := io.ReadAll(io.LimitReader(stream, int64(size)))
	if err != nil {
		return err
	}
	if uint64(len(raw)) < size {
		return io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(raw, v); err != nil {
		c.traffic.Malformed()
		return &MalformedMessageError{Err: err}
	}
	return nil
}
