package peer

import (
	"bufio"
	"io"
	"net"

	"github.com/klauspost/compress/zstd"
)

// incomingConn reads from an accepted connection, decompressed if the sender
// compresses, and fails if nothing arrives for idleLimit and a bit.
type incomingConn struct {
	net.Conn
	in io.Reader
	// dec is set if the sender compresses.
	dec *zstd.Decoder
}

// newIncomingConn waits for the first bytes. A zstd stream starts with its magic
// number, whose second byte is never that of a plain stream: a length below 128
// is followed by an opening brace, and longer lengths start with a high bit.
func newIncomingConn(conn net.Conn) (*incomingConn, error) {
	c := &incomingConn{Conn: conn}
	buffered := bufio.NewReaderSize(deadlineReader{conn}, 2<<10)
	c.in = buffered
	head, err := buffered.Peek(2)
	if err != nil {
		return nil, &CompressionError{Err: err}
	}
	if head[0] != 0x28 || head[1] != 0xb5 {
		return c, nil
	}
	dec, err := zstd.NewReader(buffered, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxWindow(streamWindow))
	if err != nil {
		return nil, &CompressionError{Err: err}
	}
	c.in, c.dec = dec, dec
	return c, nil
}

// Read implements net.Conn.
func (c *incomingConn) Read(b []byte) (int, error) { return c.in.Read(b) }

// release frees the decoder once nothing reads from the connection any more.
func (c *incomingConn) release() {
	if c.dec != nil {
		c.dec.Close()
	}
}
