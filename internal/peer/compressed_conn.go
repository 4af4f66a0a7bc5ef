package peer

import (
	"net"

	"github.com/klauspost/compress/zstd"
)

// compressedConn compresses what is written as one zstd stream, flushed with
// each write, so that a message refers to those before it: heartbeats differ in
// a few bytes. Reading is not changed. Only connections across regions, whose
// traffic is charged by volume, are compressed: an encoder takes some hundred
// kilobytes.
type compressedConn struct {
	net.Conn
	enc *zstd.Encoder
}

// newCompressedConn returns a *CompressionError if the encoder cannot be made.
func newCompressedConn(conn net.Conn) (*compressedConn, error) {
	enc, err := zstd.NewWriter(conn, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(streamWindow), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))
	if err != nil {
		return nil, &CompressionError{Err: err}
	}
	return &compressedConn{Conn: conn, enc: enc}, nil
}

// Write implements net.Conn. The stream on top serialises writes.
func (c *compressedConn) Write(b []byte) (int, error) {
	n, err := c.enc.Write(b)
	if err != nil {
		return n, err
	}
	return n, c.enc.Flush()
}
