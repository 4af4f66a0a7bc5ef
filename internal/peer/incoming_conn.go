package peer

import (
	"bufio"
	"io"
	"net"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// incomingConn reads from an accepted connection, decompressed if the sender
// compresses, and fails if nothing arrives for idleLimit and a bit.
type incomingConn struct {
	net.Conn
	in io.Reader
	// mu serialises reading and release: the library's reading goroutine may
	// outlive the connection for a moment.
	mu sync.Mutex
	// dec is set if the sender compresses; released once it is closed.
	dec      *zstd.Decoder
	released bool
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
func (c *incomingConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return 0, net.ErrClosed
	}
	return c.in.Read(b)
}

// release frees the decoder. The connection must be closed before, so that a
// read in progress ends.
func (c *incomingConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
	if c.dec != nil {
		c.dec.Close()
	}
}
