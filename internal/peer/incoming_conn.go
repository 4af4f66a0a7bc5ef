package peer

import (
	"bufio"
	"io"
	"net"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// incomingConn reads from an accepted connection and decompresses the data if the
// sender compresses. A read fails if nothing arrives for incomingIdleTimeout.
type incomingConn struct {
	net.Conn
	reader io.Reader
	// mu serialises Read and release: the reading goroutine of the JSON-RPC
	// library may briefly outlive the connection.
	mu sync.Mutex
	// dec is set if the sender compresses. released is set once dec may no
	// longer be used.
	dec      *zstd.Decoder
	released bool
}

// newIncomingConn waits for the first two bytes to detect compression. A zstd
// stream starts with the magic number 0x28 0xb5. A plain stream does not: there
// 0x28 is a complete varint length, and the next byte is the opening brace of a
// JSON object. It returns a *CompressionError.
func newIncomingConn(conn net.Conn) (*incomingConn, error) {
	c := &incomingConn{Conn: conn}
	buffered := bufio.NewReaderSize(deadlineReader{conn}, 2<<10)
	c.reader = buffered
	head, err := buffered.Peek(2)
	if err != nil {
		return nil, &CompressionError{Err: err}
	}
	if head[0] != 0x28 || head[1] != 0xb5 {
		return c, nil
	}
	dec, err := zstd.NewReader(buffered, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxWindow(streamWindowBytes))
	if err != nil {
		return nil, &CompressionError{Err: err}
	}
	c.reader, c.dec = dec, dec
	return c, nil
}

// Read implements net.Conn.
func (c *incomingConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return 0, net.ErrClosed
	}
	return c.reader.Read(b)
}

// release frees the decoder. The caller closes the connection first, so that a
// read in progress returns.
func (c *incomingConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
	if c.dec != nil {
		c.dec.Close()
	}
}
